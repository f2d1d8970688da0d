#pragma once

#include "EventLoop/RequestBudget.h"

namespace EventLoop {

/// Logs connections that were closed for a limit, at most one line a second.
class closing_report {
public:
    void add(const closing_order&, const request_budget&, Common::instant now);

private:
    std::optional<Common::instant> m_reportedAt;
    std::size_t m_unreported { 0 };
};

}
