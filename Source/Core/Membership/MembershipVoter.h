#pragma once

#include "Fleet/FleetState.h"
#include "Membership/Timing.h"

#include <map>
#include <optional>

namespace Membership {

/// A member that can't reach the log asks another not to vote for its removal for a while.
struct promise_request {
    Common::process_id asker;
    Common::membership_version version;
    /// Log offset that the requesting member has applied.
    Common::log_offset applied;
};

/// A process asks a member to vote for a change of the membership.
struct vote_request {
    /// Member to be removed. Empty if a new process asks to join.
    Common::process_id target;
    /// Last renewal of the target that the requester knows.
    Common::log_offset renewed;
    Common::membership_version version;
};

/// Promises and votes of one member. Kept in memory only.
///
/// While the log is unavailable, a member may go on if more than half of the members of one membership version have
/// promised not to vote for its removal. Each change of the membership needs the votes of more than half of the members
/// of the version that it changes. Two such majorities share a member, and no member may be in both: it votes for
/// nothing while one of its promises is active, promises to itself included, and it makes no promise under a version at
/// which it voted for a change, unless that change has become void.
class membership_voter {
public:
    membership_voter(Common::process_id self, timing limits)
        : m_self(std::move(self))
        , m_limits(limits)
    {
    }

    /// Grants or refuses a promise. `isLogUnavailable` says whether the log is unavailable to this member too.
    bool grantPromise(const promise_request&, const Fleet::fleet_state&, bool isLogUnavailable, Common::instant now);

    /// Grants or refuses a vote. `isExpired` says whether this member saw the target's lease expire, or found nothing
    /// listening at its address.
    bool grantVote(const vote_request&, const Fleet::fleet_state&, bool isExpired, Common::instant now);

    /// Whether any promise is still active.
    bool hasActivePromises(Common::instant now) const;

private:
    struct removal_vote {
        Common::log_offset renewed;
        Common::membership_version version;
    };

    /// Whether a change of the current membership that this member voted for may still take effect.
    bool hasPendingVote(const Fleet::fleet_state&) const;

    Common::process_id m_self;
    timing m_limits;
    std::map<Common::process_id, Common::instant> m_promisedUntil;
    std::map<Common::process_id, removal_vote> m_removalVotes;
    /// Newest membership version at which this member voted for a join.
    std::optional<Common::membership_version> m_joinVote;
};

}
