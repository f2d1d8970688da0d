#pragma once

namespace Pool {

/// Token bucket that limits retries to a fraction of the first attempts, so that retries of failing work can't
/// use up the capacity.
class retry_budget {
public:
    void onFirstAttempt();
    /// Takes a token for one retry. False if none is left.
    bool tryRetry();

private:
    static constexpr double tokensPerAttempt = 0.2;
    static constexpr double maxTokens = 20;

    double m_tokens { maxTokens };
};

}
