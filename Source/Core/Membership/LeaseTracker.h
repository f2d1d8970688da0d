#pragma once

#include "Fleet/FleetState.h"
#include "Membership/MembershipVoter.h"
#include "Membership/Timing.h"

#include <map>
#include <set>
#include <vector>

namespace Membership {

/// Decides whether this daemon may act: whether its lease is valid and its view of the log is fresh. Also tracks
/// whether the leases of other members have expired. Does no I/O: time and messages come in as arguments. Check
/// mayAct() immediately before each start of work, since the process may have been paused since the last check.
class lease_tracker {
public:
    lease_tracker(Common::process_id self, timing limits, Common::instant started);

    /// The fleet state has advanced. Records the renewals of all members, this daemon included.
    void onState(const Fleet::fleet_state&, Common::instant now);

    /// The log appended a renewal or join of this daemon at `offset`. The lease counts from `startedAt`, when the
    /// append was started.
    void onRenewalAppended(Common::log_offset offset, Common::instant startedAt);

    /// A read started at `startedAt` confirmed that the state includes everything in the log.
    void onViewConfirmed(Common::instant startedAt);

    /// The log answered a call in any way.
    void onLogResponse(Common::instant now);

    /// Begins a round of promise requests to all members. This daemon's own promise counts as well, and must be
    /// granted by its own voter like any other, or it could vote for a newcomer at the same time.
    void beginPromiseRound(const Fleet::fleet_state&, Common::instant now);
    void onPromiseGranted(const Common::process_id& from, const Fleet::fleet_state&);

    bool isMember(const Fleet::fleet_state&) const;
    bool isLogUnavailable(Common::instant now) const;

    /// Time until which this daemon may act if it receives nothing more.
    Common::instant mayActUntil() const;
    bool mayAct(Common::instant now) const { return now < mayActUntil(); }

    /// Whether the member's lease has expired for certain, as observed here.
    bool hasExpired(const Common::process_id&, Common::instant now) const;

    /// Other members whose lease has expired for certain, as observed here.
    std::vector<Common::process_id> expiredMembers(const Fleet::fleet_state&, Common::instant now) const;

    bool shouldRenew(Common::instant now) const;
    void onRenewalSent(Common::instant now) { m_renewalSentAt = now; }

    /// When this daemon first saw the member. Empty for a process that isn't a member.
    std::optional<Common::instant> firstSeen(const Common::process_id&) const;

private:
    struct observation {
        Common::log_offset renewed;
        Common::instant renewalSeenAt;
        Common::instant firstSeen;
    };

    Common::process_id m_self;
    timing m_limits;
    std::map<Common::process_id, observation> m_members;
    std::map<Common::log_offset, Common::instant> m_ownRenewals;
    Common::instant m_renewalSentAt;
    Common::instant m_leaseUntil;
    Common::instant m_viewConfirmedAt;
    Common::instant m_logRespondedAt;
    Common::instant m_promisedUntil;
    Common::instant m_roundStartedAt;
    Common::membership_version m_roundVersion { -1 };
    std::set<Common::process_id> m_roundPromises;
};

}
