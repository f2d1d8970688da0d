#pragma once

#include "Records/BatchAppender.h"

#include <vector>

namespace Records {

struct spread_options {
    std::string topic;
    int parts { 1 };
    /// Part that is used as long as it answers.
    int firstPart { 0 };
    std::string writer;
    /// Records without an answer go to another part too after this time. An answer of the store takes 0.42 s when it is
    /// 60 times slower than usual.
    Common::millis failoverAfter { 600 };
    /// A part that failed is left alone for this time.
    Common::millis restTime { 700 };
    /// Records without an answer after this time may be stored, or may be later.
    Common::millis settleAfter { 2300 };
    Common::millis giveUpRefusedAfter { 80 };
};

/// Appends records that may be stored twice to one part of a topic, and to another when that one fails. With no part
/// left it refuses at once, or waits for those that have records and no answer yet.
class spread_appender : public std::enable_shared_from_this<spread_appender> {
public:
    using done_handler = batch_appender::done_handler;

    spread_appender(record_store&, timer_service&, const spread_options&);

    /// The handler learns `Stored`, `Refused` (nothing stored) or `Unknown`.
    void add(std::vector<keyed_record>, done_handler);

private:
    struct part_state {
        std::shared_ptr<batch_appender> appender;
        Common::instant restsUntil;
    };
    struct attempt {
        std::vector<keyed_record> records;
        done_handler done;
        std::vector<bool> tried;
        /// Parts that haven't settled yet.
        int open { 0 };
        bool isOver { false };
        bool mayBeStored { false };
    };

    void tryNext(const std::shared_ptr<attempt>&);
    void send(const std::shared_ptr<attempt>&, std::size_t part);
    void onSettled(const std::shared_ptr<attempt>&, std::size_t part, append_outcome, Common::instant sentAt);
    void rest(std::size_t part);
    void learnPace(Common::millis took);
    std::optional<std::size_t> nextPart(const attempt&) const;
    static void finish(attempt&, append_outcome);

    timer_service& m_timers;
    spread_options m_options;
    std::vector<part_state> m_parts;
    /// `failoverAfter`, or twice what answers took lately.
    Common::millis m_failoverAfter;
};

}
