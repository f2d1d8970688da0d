#pragma once

#include "Common/Clock.h"
#include "Reports/BurnReport.h"
#include "Requests/Outcome.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Node {

/// Numbers about one team's requests at this daemon.
struct team_figures {
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
    /// A result that arrived late, crossed or cut and was dropped.
    void onDroppedResult();

    std::vector<team_figures> teams() const;
    std::vector<Reports::team_burn> burn(Common::instant now) const;
    std::int64_t droppedResults() const;

private:
    struct team_line;
    struct tables;

    mutable std::mutex m_lock;
    std::unique_ptr<tables> m_tables;
};

}
