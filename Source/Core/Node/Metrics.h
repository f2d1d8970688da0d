#pragma once

#include "Common/Clock.h"
#include "Reports/BurnReport.h"
#include "Requests/Outcome.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Node {

/// Outcome counts and response times of one team's requests at this daemon.
struct team_stats {
    std::string team;
    std::int64_t done { 0 };
    std::int64_t notRun { 0 };
    std::int64_t unknown { 0 };
    double meanMillis { 0 };
    double medianMillis { 0 };
    double p99Millis { 0 };
};

/// Counts outcomes and response times by team. Safe for concurrent use.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void onOutcome(const std::string& team, const Requests::outcome&, Common::millis took);
    /// A result was dropped because it was damaged, late or for an unknown task.
    void onDroppedResult();

    std::vector<team_stats> teams() const;
    std::vector<Reports::team_burn> burn(Common::instant now) const;
    std::int64_t droppedResults() const;

private:
    struct team_counters;
    struct tables;

    mutable std::mutex m_lock;
    std::unique_ptr<tables> m_tables;
};

}
