#include "Dispatch/TeamUsage.h"

namespace Dispatch {

void team_usage::add(const Common::team_id& team, const Jobs::resources& amount) { m_used[team] += amount; }

void team_usage::remove(const Common::team_id& team, const Jobs::resources& amount) { m_used[team] -= amount; }

bool team_usage::allows(
    const Rules::fleet_rules& rules, const Common::team_id& team, const Jobs::resources& more) const
{
    const auto* rule = rules.findTeam(team);
    if (!rule)
        return true;
    const auto would = of(team) + more;
    const auto isWithin = [](auto amount, auto most) { return most.value == 0 || amount <= most; };
    return isWithin(would.processor, rule->limit.processor) && isWithin(would.memory, rule->limit.memory)
        && isWithin(would.accelerators, rule->limit.accelerators);
}

Jobs::resources team_usage::of(const Common::team_id& team) const
{
    const auto found = m_used.find(team);
    return found == m_used.end() ? Jobs::resources {} : found->second;
}

}
