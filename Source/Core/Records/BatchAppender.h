#pragma once

#include "Records/RecordStore.h"

#include <memory>

namespace Records {

struct appender_options {
    topic_part where;
    std::string writer;
    std::int64_t epoch { 1 };
    std::int64_t sequence { 0 };
    /// Shortest time between the beginnings of two appends.
    Common::millis gap { 0 };
    Common::millis callTimeout { 1000 };
    /// A batch without an answer is sent again for so long. Without a bound it is sent until stored or fenced.
    std::optional<Common::millis> giveUpAfter;
    /// A batch that was refused each time, so that nothing is stored, is given up after this time already.
    Common::millis giveUpRefusedAfter { 250 };
    std::size_t mostRecords { 400 };
    std::size_t mostBytes { 1000000 };
};

/// Appends records of one writer in batches, one batch at a time, each stored at most once.
class batch_appender : public std::enable_shared_from_this<batch_appender> {
public:
    using done_handler = std::function<void(append_outcome)>;

    batch_appender(record_store&, timer_service&, const appender_options&);

    /// Stores the records together. The handler learns `Stored`, `Refused` (nothing stored), `Unknown` or `Fenced`.
    void add(std::vector<keyed_record>, done_handler);
    /// Nothing more is sent; what waits is dropped without a word.
    void stop();
    /// Whether a batch has had no answer for so long.
    bool isStuck(Common::millis time) const { return m_isBusy && m_timers.now() - m_batchBegan >= time; }

private:
    struct entry {
        std::vector<keyed_record> records;
        done_handler done;
    };

    void pump();
    void send();
    void sendAgain();
    /// A slow store gets more time for each answer, up to `mostPatience` times as much.
    void learnPatience(const append_result&);
    void onResult(const append_result&);
    void finish(append_outcome);
    bool isOverdue() const;

    record_store& m_store;
    timer_service& m_timers;
    appender_options m_options;
    std::vector<entry> m_waiting;
    std::vector<entry> m_batch;
    append_request m_request;
    /// How long the next call may take.
    Common::millis m_patience;
    Common::instant m_batchBegan;
    Common::instant m_lastSend;
    bool m_isBusy { false };
    bool m_isStopped { false };
    /// A send of the batch had no answer, so a refusal of a later one proves nothing.
    bool m_mayBeStored { false };
};

}
