#pragma once

#include "Rules/FleetRules.h"

#include <map>

namespace Dispatch {

/// What each team has running over all pools, against its upper limit.
class team_usage {
public:
    void add(const Common::team_id&, const Jobs::resources&);
    void remove(const Common::team_id&, const Jobs::resources&);
    /// Whether the team may have that much more running. Without limits in force, any amount.
    bool allows(const Rules::fleet_rules&, const Common::team_id&, const Jobs::resources& more) const;
    Jobs::resources of(const Common::team_id&) const;

private:
    std::map<Common::team_id, Jobs::resources> m_used;
};

}
