#include "Pool/FairQueue.h"

#include <algorithm>
#include <limits>

namespace Pool {

namespace {

    /// Weight of a team without a share; the smallest weight in use.
    constexpr double minWeight = 1;

}

void fair_queue::setShare(const Common::team_id& team, Common::share_weight share)
{
    m_teams[team].weight = std::max(minWeight, static_cast<double>(share.value));
}

void fair_queue::add(const Requests::work_identity& identity, Common::instant deadline)
{
    team_queue& team = m_teams[identity.team];
    // An idle team earns no credit: its service is raised to that of the least served team with waiting requests.
    if (team.waiting.empty())
        team.service = std::max(team.service, minActiveService());
    team.waiting.insert({ .deadline = deadline, .identity = identity });
    m_deadlines[identity] = deadline;
}

void fair_queue::remove(const Requests::work_identity& identity)
{
    const auto found = m_deadlines.find(identity);
    if (found == m_deadlines.end())
        return;
    m_teams[identity.team].waiting.erase({ .deadline = found->second, .identity = identity });
    m_deadlines.erase(found);
}

double fair_queue::minActiveService() const
{
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto& [name, team] : m_teams) {
        if (!team.waiting.empty())
            lowest = std::min(lowest, team.service);
    }
    return lowest == std::numeric_limits<double>::infinity() ? 0 : lowest;
}

void fair_queue::startAll(const std::function<start_attempt(const Requests::work_identity&)>& start)
{
    std::set<Common::team_id> blocked;
    while (true) {
        team_queue* next = nullptr;
        const Common::team_id* nextTeam = nullptr;
        for (auto& [name, team] : m_teams) {
            const bool eligible = !team.waiting.empty() && !blocked.contains(name);
            if (!eligible || (next && team.service >= next->service))
                continue;
            next = &team;
            nextTeam = &name;
        }
        if (!next)
            return;
        if (tryStartFrom(*next, start) != start_attempt::Started)
            blocked.insert(*nextTeam);
    }
}

start_attempt fair_queue::tryStartFrom(
    team_queue& team, const std::function<start_attempt(const Requests::work_identity&)>& start)
{
    std::vector<Requests::work_identity> candidates;
    for (const entry& waiting : team.waiting) {
        if (static_cast<int>(candidates.size()) == maxTriedPerTeam)
            break;
        candidates.push_back(waiting.identity);
    }
    for (const auto& identity : candidates) {
        const start_attempt result = start(identity);
        if (result == start_attempt::Started)
            remove(identity);
        if (result != start_attempt::NoRoom)
            return result;
    }
    return start_attempt::NoRoom;
}

void fair_queue::charge(const Common::team_id& name, double slotMillis)
{
    team_queue& team = m_teams[name];
    team.service += slotMillis / team.weight;
}

std::vector<Requests::work_identity> fair_queue::overdue(Common::instant now) const
{
    std::vector<Requests::work_identity> result;
    for (const auto& [name, team] : m_teams) {
        for (const entry& waiting : team.waiting) {
            if (waiting.deadline > now)
                break;
            result.push_back(waiting.identity);
        }
    }
    return result;
}

std::size_t fair_queue::waiting(const Common::team_id& name) const
{
    const auto found = m_teams.find(name);
    return found == m_teams.end() ? 0 : found->second.waiting.size();
}

std::vector<Common::team_id> fair_queue::teams() const
{
    std::vector<Common::team_id> names;
    for (const auto& [name, team] : m_teams)
        names.push_back(name);
    return names;
}

}
