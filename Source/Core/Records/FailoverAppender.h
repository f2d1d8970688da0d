#pragma once

#include "Records/BatchAppender.h"

#include <vector>

namespace Records {

struct failover_options {
    std::string topic;
    int partitionCount { 1 };
    /// Partition that is used as long as it answers.
    int firstPartition { 0 };
    std::string writer;
    /// Records without an answer are sent to another partition too after this time. A store that is 60 times slower
    /// than usual answers after 0.42 s.
    Common::millis failoverAfter { 600 };
    /// A partition that failed isn't used for this time.
    Common::millis backoffTime { 700 };
    /// Records without an answer after this time are `Unknown`: they may be stored, now or later.
    Common::millis resultTimeout { 2300 };
    Common::millis giveUpRefusedAfter { 80 };
};

/// Appends records to one partition of a topic, and fails over to others; for records that may be stored twice. With no
/// partition left it refuses at once, or waits for the partitions whose answers are outstanding.
class failover_appender : public std::enable_shared_from_this<failover_appender> {
public:
    using done_handler = batch_appender::done_handler;

    failover_appender(record_store&, timer_service&, const failover_options&);

    /// The handler gets `Stored`, `Refused` (nothing stored) or `Unknown`.
    void add(std::vector<keyed_record>, done_handler);

private:
    struct partition_state {
        std::shared_ptr<batch_appender> appender;
        Common::instant backoffUntil;
    };
    struct attempt {
        std::vector<keyed_record> records;
        done_handler done;
        std::vector<bool> tried;
        /// Partitions whose answers are outstanding.
        int pending { 0 };
        bool isOver { false };
        bool mayBeStored { false };
    };

    void tryNext(const std::shared_ptr<attempt>&);
    void send(const std::shared_ptr<attempt>&, std::size_t partitionIndex);
    void onResult(const std::shared_ptr<attempt>&, std::size_t partitionIndex, append_outcome, Common::instant sentAt);
    void backOff(std::size_t partitionIndex);
    void adaptFailover(Common::millis took);
    std::optional<std::size_t> nextPartition(const attempt&) const;
    static void finish(attempt&, append_outcome);

    timer_service& m_timers;
    failover_options m_options;
    std::vector<partition_state> m_partitions;
    /// Twice the time of the latest answer, between `failoverAfter` and `resultTimeout`.
    Common::millis m_failoverAfter;
};

}
