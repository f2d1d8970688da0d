#include "Reports/BurnReport.h"

#include <algorithm>

namespace Reports {

bool burnsBudget(const Requests::outcome& result)
{
    using Requests::refusal_reason;
    if (result.kind == Requests::outcome_kind::Done)
        return false;
    switch (result.reason) {
    case refusal_reason::BadRequest:
    case refusal_reason::KeyMissing:
    case refusal_reason::KeyUnknown:
    case refusal_reason::KeyWithdrawn:
    case refusal_reason::KeyOfOtherTeam:
    case refusal_reason::QueueUnknown:
    case refusal_reason::TeamUnknown:
    case refusal_reason::NeverFits:
    case refusal_reason::Cancelled:
    case refusal_reason::IdReused:
        return false;
    default:
        return true;
    }
}

void burn_tracker::onOutcome(const Common::team_id& team, const Requests::outcome& result, Common::instant now)
{
    auto& intervals = m_teams[team];
    if (intervals.empty() || now - intervals.back().began >= intervalLength)
        intervals.push_back({ .began = now });
    while (now - intervals.front().began > slowWindow)
        intervals.pop_front();
    interval& current = intervals.back();
    ++current.served;
    if (!burnsBudget(result))
        return;
    ++current.failed;
    ++current.causes[result.reason];
}

burn_window burn_tracker::sumOf(const std::deque<interval>& intervals, Common::instant since)
{
    burn_window window;
    for (const interval& entry : intervals) {
        if (entry.began < since)
            continue;
        window.served += entry.served;
        window.failed += entry.failed;
    }
    if (window.served > 0)
        window.rate = static_cast<double>(window.failed) / static_cast<double>(window.served) / (1 - serviceObjective);
    return window;
}

std::vector<team_burn> burn_tracker::report(Common::instant now) const
{
    std::vector<team_burn> teams;
    for (const auto& [team, intervals] : m_teams) {
        team_burn burn { .team = team,
            .fast = sumOf(intervals, now - fastWindow),
            .slow = sumOf(intervals, now - slowWindow),
            .causes = {} };
        std::map<Requests::refusal_reason, std::int64_t> causes;
        for (const interval& entry : intervals) {
            for (const auto& [reason, count] : entry.causes)
                causes[reason] += count;
        }
        for (const auto& [reason, count] : causes)
            burn.causes.push_back({ .reason = reason, .count = count });
        std::ranges::sort(burn.causes, std::greater(), &burn_cause::count);
        teams.push_back(std::move(burn));
    }
    return teams;
}

}
