#pragma once

#include "Records/TopicFollower.h"
#include "Station/JobFeeds.h"

#include <memory>

namespace Station {

struct seat_options {
    /// Unique to this life of the process.
    std::string member;
    Records::topic_part progressTopic;
    /// Name of the sequence of records that holders write.
    std::string writer;
};

/// A won claim.
struct won_seat {
    std::int64_t token { 0 };
    std::int64_t number { 1 };
};

/// Watches the records of the present holder, and claims its seat when they stop or when it gave the seat up. Who
/// holds is decided by the claim, which the store takes from one.
class holder_seat : public std::enable_shared_from_this<holder_seat> {
public:
    holder_seat(Records::record_store&, Records::timer_service&, const seat_options&,
        Records::topic_follower& progress, const progress_feed& feed);

    void start(std::function<void(won_seat)> onWon);
    /// A record of our tenure is stored whose append began then: nobody can claim for some time after that.
    void confirm(Common::instant began);
    Dispatch::seat_standing standing() const;
    /// The holder has lost its seat and may claim it again.
    void vacate();
    /// Claims no more.
    void leave();

private:
    enum class seat_state {
        Idle,
        Claiming,
        Holding
    };

    void watch();
    bool isFree() const;
    void probe();
    void claim();
    void sendClaim();
    void onClaim(const Records::append_result&, Common::log_offset at, std::int64_t number, Common::instant began);

    void win(const won_seat&, Common::instant began);

    Records::record_store& m_store;
    Records::timer_service& m_timers;
    seat_options m_options;
    Records::topic_follower& m_progress;
    const progress_feed& m_feed;
    std::function<void(won_seat)> m_onWon;
    seat_state m_state { seat_state::Idle };
    bool m_hasLeft { false };
    bool m_isProbing { false };
    /// The store has confirmed that nothing new was stored since `m_quietSince`.
    bool m_isProbed { false };
    Common::log_offset m_seen;
    Common::instant m_quietSince;
    Common::instant m_confirmedUntil;
};

}
