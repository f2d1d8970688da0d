#pragma once

#include "Rules/FleetRules.h"

#include <map>

namespace Dispatch {

/// Resources that each team uses over all pools, checked against the team's limit.
class team_usage {
public:
    void add(const Common::team_id&, const Jobs::resources&);
    void remove(const Common::team_id&, const Jobs::resources&);
    /// Whether the team may use that much more. A team without a rule has no limit, nor has a resource with limit 0.
    bool allows(const Rules::fleet_rules&, const Common::team_id&, const Jobs::resources& more) const;
    Jobs::resources of(const Common::team_id&) const;

private:
    std::map<Common::team_id, Jobs::resources> m_used;
};

}
