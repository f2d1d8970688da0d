#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Requests/Outcome.h"

#include <deque>
#include <map>
#include <vector>

/// Burn rate of each team's error budget.
namespace Reports {

/// Fraction of requests that must be answered; the rest is the error budget.
constexpr double serviceObjective = 0.999;
constexpr Common::millis fastWindow = std::chrono::minutes(5);
constexpr Common::millis slowWindow = std::chrono::hours(1);

struct burn_cause {
    Requests::refusal_reason reason { Requests::refusal_reason::None };
    std::int64_t count { 0 };
};

struct burn_window {
    std::int64_t served { 0 };
    std::int64_t failed { 0 };
    /// Burn rate; 1 uses up the error budget exactly over the objective's period.
    double rate { 0 };
};

struct team_burn {
    Common::team_id team;
    burn_window fast;
    burn_window slow;
    /// Reasons of the failures within the slow window, most frequent first.
    std::vector<burn_cause> causes;
};

/// Whether the outcome counts against the error budget. Refusals that the caller caused don't.
bool burnsBudget(const Requests::outcome&);

/// Counts outcomes in short intervals and sums them up over the windows.
class burn_tracker {
public:
    void onOutcome(const Common::team_id&, const Requests::outcome&, Common::instant now);
    std::vector<team_burn> report(Common::instant now) const;

private:
    struct interval {
        Common::instant began;
        std::int64_t served { 0 };
        std::int64_t failed { 0 };
        std::map<Requests::refusal_reason, std::int64_t> causes;
    };

    static constexpr Common::millis intervalLength { 10'000 };

    static burn_window sumOf(const std::deque<interval>&, Common::instant since);

    std::map<Common::team_id, std::deque<interval>> m_teams;
};

}
