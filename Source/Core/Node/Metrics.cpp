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

struct metrics::team_counters {
    std::int64_t done { 0 };
    std::int64_t notRun { 0 };
    std::int64_t unknown { 0 };
    response_times times { accumulators::extended_p_square_probabilities = ranks };
};

struct metrics::tables {
    std::map<std::string, team_counters> teams;
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
    team_counters& counters = m_tables->teams[team];
    switch (result.kind) {
    case Requests::outcome_kind::Done:
        ++counters.done;
        counters.times(static_cast<double>(took.count()));
        break;
    case Requests::outcome_kind::NotRun:
        ++counters.notRun;
        break;
    case Requests::outcome_kind::Unknown:
        ++counters.unknown;
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

std::vector<team_stats> metrics::teams() const
{
    const std::lock_guard lock(m_lock);
    std::vector<team_stats> stats;
    for (const auto& [team, counters] : m_tables->teams) {
        team_stats entry {
            .team = team, .done = counters.done, .notRun = counters.notRun, .unknown = counters.unknown
        };
        if (counters.done > 0) {
            entry.meanMillis = accumulators::mean(counters.times);
            entry.medianMillis
                = accumulators::quantile(counters.times, accumulators::quantile_probability = medianRank);
            entry.p99Millis = accumulators::quantile(counters.times, accumulators::quantile_probability = p99Rank);
        }
        stats.push_back(entry);
    }
    return stats;
}

}
