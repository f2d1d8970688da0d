#pragma once

#include "Records/RecordStore.h"

#include <memory>

namespace Records {

struct appender_options {
    topic_partition partition;
    std::string writer;
    std::int64_t epoch { 1 };
    std::int64_t sequence { 0 };
    /// Shortest time between the starts of two appends.
    Common::millis appendInterval { 0 };
    Common::millis callTimeout { 1000 };
    /// How long a batch without an answer is retried. Empty to retry until it is stored or fenced.
    std::optional<Common::millis> giveUpAfter;
    /// How long a batch that is refused each time, so that nothing is stored, is retried when `giveUpAfter` is set.
    Common::millis giveUpRefusedAfter { 250 };
    std::size_t maxRecords { 400 };
    std::size_t maxBytes { 1000000 };
    /// Called with the records of each batch that was stored, and the offset of the first. May be empty.
    std::function<void(const std::vector<keyed_record>&, Common::log_offset)> onStored;
};

/// Appends records of one writer in batches, one batch at a time, each stored at most once.
class batch_appender : public std::enable_shared_from_this<batch_appender> {
public:
    using done_handler = std::function<void(append_outcome)>;

    batch_appender(record_store&, timer_service&, const appender_options&);

    /// Stores the records in one batch. The handler gets `Stored`, `Refused` (nothing stored), `Unknown` or `Fenced`.
    void add(std::vector<keyed_record>, done_handler);
    /// Sends nothing more. Open and waiting records are dropped and their handlers aren't called.
    void stop();
    /// Whether the present batch has been open for at least this time.
    bool isStuck(Common::millis time) const { return m_isBusy && m_timers.now() - m_batchBegan >= time; }

private:
    struct entry {
        std::vector<keyed_record> records;
        done_handler done;
    };

    void sendNext();
    void sendBatch();
    void sendRequest();
    /// Doubles the timeout of calls to a slow store, up to `maxTimeoutFactor` times `callTimeout`.
    void adaptTimeout(const append_result&);
    void onResult(const append_result&);
    void finish(append_outcome);
    bool isOverdue() const;

    record_store& m_store;
    timer_service& m_timers;
    appender_options m_options;
    std::vector<entry> m_waiting;
    std::vector<entry> m_batch;
    append_request m_request;
    /// Timeout of the next call.
    Common::millis m_timeout;
    Common::instant m_batchBegan;
    Common::instant m_lastSend;
    bool m_isBusy { false };
    bool m_isStopped { false };
    /// An earlier send of the batch had no answer, so a later refusal doesn't prove that nothing is stored.
    bool m_mayBeStored { false };
};

}
