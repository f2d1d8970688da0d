#include "Pool/RetryBudget.h"

#include <algorithm>

namespace Pool {

void retry_budget::onFirstAttempt()
{
    m_tokens = std::min(maxTokens, m_tokens + tokensPerAttempt);
}

bool retry_budget::tryRetry()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

}
