#pragma once

#include "Common/Clock.h"
#include "Fleet/FleetState.h"
#include "Limits/Permits.h"

#include <map>
#include <optional>
#include <set>

namespace Limits {

/// One part of the team ledgers, as its holder keeps it. A new holder knows nothing: it grants only
/// once each member of its beginning has reported what it keeps, and once tasks of members that were
/// lost before have surely ended.
class team_ledger {
public:
    struct options {
        Common::shard_id shard;
        Common::shard_epoch epoch;
        /// Time after the removal of a member until its tasks have surely ended.
        Common::millis taskHold { 0 };
        /// Before this, permits of members that were lost earlier may still be in use.
        Common::instant holdUntil {};
    };

    team_ledger(options, const Fleet::fleet_state&);

    Common::shard_epoch epoch() const { return m_options.epoch; }

    /// Members were removed from the fleet, `gracefully` if they left with nothing running.
    void onMemberRemoved(const Common::process_id&, bool gracefully, Common::instant now);

    /// Takes a report and answers it. Empty for another epoch or a report that was overtaken.
    std::optional<permit_grant> onReport(const permit_report&, const Fleet::fleet_state&, Common::instant now);

    /// Whether permits may be raised yet.
    bool isReady(Common::instant now) const;

    /// Permits that are out for a team, including those of lost members.
    Common::slot_count permitsOut(const Common::team_id&) const;

private:
    struct holder_line {
        Common::slot_count kept;
        Common::slot_count wanted;
    };
    struct team_book {
        std::map<Common::process_id, holder_line> lines;
    };

    void forgetEnded(Common::instant now);
    team_grant grantFor(team_book&, const permit_need&, const Common::process_id&, const Fleet::fleet_state&,
        Common::instant now) const;

    options m_options;
    std::map<Common::team_id, team_book> m_books;
    std::map<Common::process_id, std::int64_t> m_sequences;
    std::set<Common::process_id> m_unheard;
    /// Members that were lost, and when their tasks have surely ended.
    std::map<Common::process_id, Common::instant> m_lost;
};

}
