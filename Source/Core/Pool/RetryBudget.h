#pragma once

namespace Pool {

/// Bounds retries to a part of the first attempts, so that failing work can't take the capacity.
class retry_budget {
public:
    void onFirstAttempt();
    /// Takes one retry. False when the budget is used up.
    bool tryRetry();

private:
    static constexpr double retriesPerAttempt = 0.2;
    static constexpr double mostSaved = 20;

    double m_saved { mostSaved };
};

}
