#pragma once

#include "Records/TopicFollower.h"
#include "Station/JobFeeds.h"

#include <memory>

namespace Station {

struct seat_options {
    /// Unique to this life of the process.
    std::string member;
    std::string group;
    Records::topic_part progressTopic;
    /// Name of the sequence of records that holders write.
    std::string writer;
    Common::millis timeToLive { 1500 };
};

/// A won claim.
struct won_seat {
    std::int64_t token { 0 };
    std::int64_t number { 1 };
};

/// Keeps this process in the store's group, and claims the holder's seat when the group deals it here.
/// The group only proposes: who holds is decided by the claim, which the store takes from one.
class holder_seat : public std::enable_shared_from_this<holder_seat> {
public:
    holder_seat(Records::record_store&, Records::timer_service&, const seat_options&,
        Records::topic_follower& progress, const progress_feed& feed);

    /// `onWon` is called after a claim, `onDealtAway` once the group deals the seat elsewhere.
    void start(std::function<void(won_seat)> onWon, std::function<void()> onDealtAway);
    Dispatch::seat_standing standing() const;
    /// The holder has lost its seat and may claim it again.
    void vacate();
    /// Leaves the group and claims no more.
    void leave(std::function<void()> onDone);

private:
    enum class seat_state {
        Idle,
        Claiming,
        Holding
    };

    bool isConfirmed() const { return standing().isConfirmed(m_timers.now()); }
    void join();
    void onShare(const std::optional<Records::group_share>&, Common::instant began);
    void claim();
    void sendClaim();
    void onClaim(const Records::append_result&, Common::log_offset at, std::int64_t number);

    Records::record_store& m_store;
    Records::timer_service& m_timers;
    seat_options m_options;
    Records::topic_follower& m_progress;
    const progress_feed& m_feed;
    std::function<void(won_seat)> m_onWon;
    std::function<void()> m_onDealtAway;
    seat_state m_state { seat_state::Idle };
    bool m_isDealtHere { false };
    bool m_hasLeft { false };
    bool m_hasFailed { false };
    std::optional<Common::instant> m_joinBegan;
    std::int64_t m_generation { 0 };
    Common::instant m_confirmedUntil;
};

}
