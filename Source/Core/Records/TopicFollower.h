#pragma once

#include "Records/RecordStore.h"

#include <memory>

namespace Records {

/// Takes the records of one partition, in order.
class record_sink {
public:
    virtual ~record_sink() = default;

    /// All that was told before is void; the newest record of each key follows.
    virtual void restart() = 0;
    virtual void apply(const keyed_record&) = 0;
    /// The records of one answer have been applied.
    virtual void settled() { }
};

struct follower_options {
    topic_part where;
    /// Shortest time between two reads.
    Common::millis gap { 250 };
    /// How long a read waits at the store for a record.
    Common::millis wait { 1000 };
    /// How long a read may take beyond its wait.
    Common::millis patience { 1500 };
};

/// Follows one partition: first the newest of each key, then record by record; from the newest again
/// when the store no longer keeps what comes next.
class topic_follower : public std::enable_shared_from_this<topic_follower> {
public:
    topic_follower(record_store&, timer_service&, const follower_options&, record_sink&);

    void start();
    /// A shorter gap takes effect at once.
    void setGap(Common::millis gap);
    /// Calls back once a read that began no earlier than now has reached the end, or with false after `limit`.
    void refresh(Common::millis limit, std::function<void(bool)> action);
    /// When the read began that last confirmed the end. Empty before the first.
    std::optional<Common::instant> confirmedAt() const { return m_confirmedAt; }
    /// Offset after the last record applied.
    Common::log_offset next() const { return m_next; }
    bool isFollowing() const { return m_isFollowing; }

private:
    struct barrier {
        Common::instant since;
        std::function<void(bool)> action;
        bool isOver { false };
    };

    void listFrom(const std::string& afterKey);
    void onPage(const newest_result&, Common::instant began);
    void readOn();
    void onRead(const read_result&, Common::instant began, bool isLoop);
    void applyAll(const read_result&);
    void confirm(Common::instant began);
    void pause();
    void retryLater();
    void readForBarriers();

    record_store& m_store;
    timer_service& m_timers;
    follower_options m_options;
    record_sink& m_sink;
    std::vector<keyed_record> m_listed;
    std::optional<Common::log_offset> m_listedEnd;
    Common::log_offset m_next;
    bool m_isFollowing { false };
    bool m_isPausing { false };
    /// Grows with each pause, so that the timer of one that was cut short does nothing.
    std::uint64_t m_pauses { 0 };
    bool m_isBarrierReadOpen { false };
    std::optional<Common::instant> m_confirmedAt;
    std::vector<std::shared_ptr<barrier>> m_barriers;
};

}
