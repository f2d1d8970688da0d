#include "Node/Metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>

namespace Node {

namespace {

    namespace accumulators = boost::accumulators; // NOLINT(readability-identifier-naming)

    constexpr double medianRank = 0.5;
    constexpr double p99Rank = 0.99;
    constexpr std::array<double, 3> ranks { medianRank, 0.9, p99Rank };

    using response_times = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::mean, accumulators::tag::extended_p_square_quantile>>;

}

struct metrics::team_line {
    std::int64_t done { 0 };
    std::int64_t notRun { 0 };
    std::int64_t unknown { 0 };
    response_times times { accumulators::extended_p_square_probabilities = ranks };
};

struct metrics::tables {
    std::map<std::string, team_line> teams;
    std::int64_t droppedResults { 0 };
    Reports::burn_tracker burn;
};

metrics::metrics()
    : m_tables(std::make_unique<tables>())
{
}

metrics::~metrics() = default;

void metrics::onOutcome(const std::string& team, const Requests::outcome& result, Common::millis took)
{
    const std::lock_guard lock(m_lock);
    m_tables->burn.onOutcome({ team }, result, Common::boot_clock::now());
    team_line& line = m_tables->teams[team];
    switch (result.kind) {
    case Requests::outcome_kind::Done:
        ++line.done;
        line.times(static_cast<double>(took.count()));
        break;
    case Requests::outcome_kind::NotRun:
        ++line.notRun;
        break;
    case Requests::outcome_kind::Unknown:
        ++line.unknown;
        break;
    }
}

void metrics::onDroppedResult()
{
    const std::lock_guard lock(m_lock);
    ++m_tables->droppedResults;
}

std::int64_t metrics::droppedResults() const
{
    const std::lock_guard lock(m_lock);
    return m_tables->droppedResults;
}

std::vector<Reports::team_burn> metrics::burn(Common::instant now) const
{
    const std::lock_guard lock(m_lock);
    return m_tables->burn.report(now);
}

std::vector<team_figures> metrics::teams() const
{
    const std::lock_guard lock(m_lock);
    std::vector<team_figures> figures;
    for (const auto& [team, line] : m_tables->teams) {
        team_figures entry { .team = team, .done = line.done, .notRun = line.notRun, .unknown = line.unknown };
        if (line.done > 0) {
            entry.meanMillis = accumulators::mean(line.times);
            entry.medianMillis = accumulators::quantile(line.times, accumulators::quantile_probability = medianRank);
            entry.p99Millis = accumulators::quantile(line.times, accumulators::quantile_probability = p99Rank);
        }
        figures.push_back(entry);
    }
    return figures;
}

}
