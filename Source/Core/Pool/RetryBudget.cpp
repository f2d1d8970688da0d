#include "Pool/RetryBudget.h"

#include <algorithm>

namespace Pool {

void retry_budget::onFirstAttempt()
{
    m_saved = std::min(mostSaved, m_saved + retriesPerAttempt);
}

bool retry_budget::tryRetry()
{
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

}
