#pragma once

#include "Fleet/FleetState.h"
#include "Roster/PromiseBook.h"
#include "Roster/Timing.h"

#include <map>
#include <set>
#include <vector>

namespace Roster {

/// Decides whether this daemon may act: whether its lease runs and its view is fresh. Pure decision
/// code; time and messages come from outside. Ask immediately before each start of work, since the
/// process may have been paused since the last answer.
class lease_keeper {
public:
    lease_keeper(Common::process_id self, timing limits, Common::instant started);

    /// The state grew. Notes renewals of all members and of this daemon.
    void onState(const Fleet::fleet_state&, Common::instant now);

    /// An append that renews this daemon, or joins it, was begun at `began` and got `offset`.
    void onRenewalTaken(Common::log_offset offset, Common::instant began);

    /// A read that began at `began` confirmed that the state has all that the log has.
    void onViewConfirmed(Common::instant began);

    /// The log gave some answer.
    void onLogAnswered(Common::instant now);

    /// Begins a round of asking all members for promises. This daemon's own promise counts as well, and
    /// must come from its promise book like any other, or it could back a newcomer at the same time.
    void beginPromiseRound(const Fleet::fleet_state&, Common::instant now);
    void onPromiseGiven(const Common::process_id& from, const Fleet::fleet_state&);

    bool isMember(const Fleet::fleet_state&) const;
    bool lacksLog(Common::instant now) const;

    /// Instant until which this daemon may act, if nothing more is heard.
    Common::instant actsUntil() const;
    bool mayAct(Common::instant now) const { return now < actsUntil(); }

    /// Whether the member's lease has surely lapsed, as seen from here.
    bool hasLapsed(const Common::process_id&, Common::instant now) const;

    /// Members whose lease has surely lapsed.
    std::vector<Common::process_id> lapsedMembers(const Fleet::fleet_state&, Common::instant now) const;

    bool shouldRenew(Common::instant now) const;
    void onRenewalAsked(Common::instant now) { m_renewalAskedAt = now; }

    /// When a member was first seen here.
    std::optional<Common::instant> firstSeen(const Common::process_id&) const;

private:
    struct observation {
        Common::log_offset renewed;
        Common::instant renewedSeen;
        Common::instant firstSeen;
    };

    Common::process_id m_self;
    timing m_limits;
    std::map<Common::process_id, observation> m_observed;
    std::map<Common::log_offset, Common::instant> m_ownRenewals;
    Common::instant m_renewalAskedAt;
    Common::instant m_leaseUntil;
    Common::instant m_viewConfirmed;
    Common::instant m_logAnswered;
    Common::instant m_promisedUntil;
    Common::instant m_roundBegan;
    Common::membership_version m_roundVersion { -1 };
    std::set<Common::process_id> m_roundPromises;
};

}
