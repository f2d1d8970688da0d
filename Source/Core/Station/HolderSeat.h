#pragma once

#include "Records/TopicFollower.h"
#include "Station/JobFeeds.h"

#include <memory>

namespace Station {

struct seat_options {
    /// Unique to each start of the process.
    std::string member;
    Records::topic_part progressTopic;
    /// Writer name that all leaders use.
    std::string writer;
};

/// A term won by a claim.
struct won_seat {
    std::int64_t token { 0 };
    std::int64_t number { 1 };
};

/// Leader election through the store. Claims leadership when the records of the present leader stop or it has released
/// leadership. The store accepts the claim of one candidate only.
class holder_seat : public std::enable_shared_from_this<holder_seat> {
public:
    holder_seat(Records::record_store&, Records::timer_service&, const seat_options&,
        Records::topic_follower& progress, const progress_feed& feed);

    void start(std::function<void(won_seat)> onElected);
    /// A record of this term, whose append began then, is stored: nobody can claim leadership for some time after that.
    void confirm(Common::instant began);
    Dispatch::seat_standing status() const;
    /// Gives up leadership or an open claim. May claim again.
    void returnToStandby();
    /// Makes no further claims.
    void withdraw();

private:
    enum class seat_state {
        Standby,
        Claiming,
        Leading
    };

    void watch();
    bool isVacant() const;
    void probe();
    void claim();
    void sendClaim();
    void onClaim(const Records::append_result&, Common::log_offset at, std::int64_t number, Common::instant began);

    void becomeLeader(const won_seat&, Common::instant began);

    Records::record_store& m_store;
    Records::timer_service& m_timers;
    seat_options m_options;
    Records::topic_follower& m_progress;
    const progress_feed& m_feed;
    std::function<void(won_seat)> m_onElected;
    seat_state m_state { seat_state::Standby };
    bool m_hasWithdrawn { false };
    bool m_isProbing { false };
    /// The store has confirmed that nothing new was stored since `m_quietSince`.
    bool m_isProbed { false };
    Common::log_offset m_lastEnd;
    Common::instant m_quietSince;
    Common::instant m_confirmedUntil;
};

}
