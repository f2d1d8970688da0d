#pragma once

#include "Common/Clock.h"
#include "Fleet/FleetState.h"
#include "Limits/Permits.h"

#include <map>
#include <optional>
#include <set>

namespace Limits {

/// Permits granted for the teams of one ledger shard, at the shard's holder. A new holder starts without state: it
/// grants nothing until each member of that time has reported what it keeps, and until the tasks of members lost
/// earlier are known to have ended.
class team_ledger {
public:
    struct options {
        Common::shard_id shard;
        Common::shard_epoch epoch;
        /// Time after the removal of a member until its tasks are known to have ended.
        Common::millis orphanedTaskTimeout { 0 };
        /// Until then, permits of members that were lost earlier may still be in use.
        Common::instant noGrantsBefore {};
    };

    team_ledger(options, const Fleet::fleet_state&);

    Common::shard_epoch epoch() const { return m_options.epoch; }

    /// A member was removed from the fleet, `gracefully` if it left with no task running.
    void onMemberRemoved(const Common::process_id&, bool gracefully, Common::instant now);

    /// Applies a report and returns the grant that answers it. Empty if the report is of another epoch, of a
    /// process that isn't a member, or not newer than the last one applied.
    std::optional<permit_grant> onReport(const permit_report&, const Fleet::fleet_state&, Common::instant now);

    /// Whether new permits may be granted yet.
    bool isReady(Common::instant now) const;

    /// Permits that are granted for a team, including those of lost members.
    Common::slot_count grantedPermits(const Common::team_id&) const;

private:
    struct member_permits {
        Common::slot_count kept;
        Common::slot_count wanted;
    };
    struct team_entry {
        std::map<Common::process_id, member_permits> members;
    };

    void removeExpired(Common::instant now);
    team_grant grantFor(team_entry&, const permit_need&, const Common::process_id&, const Fleet::fleet_state&,
        Common::instant now) const;

    options m_options;
    std::map<Common::team_id, team_entry> m_teams;
    std::map<Common::process_id, std::int64_t> m_sequences;
    std::set<Common::process_id> m_unreported;
    /// Members that were lost, and when their tasks are known to have ended.
    std::map<Common::process_id, Common::instant> m_lost;
};

}
