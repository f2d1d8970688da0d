#include "EventLoop/ClosingReport.h"

#include "Common/Logging.h"

namespace EventLoop {

namespace {

    constexpr Common::millis reportInterval { 1000 };

}

void closing_report::add(const closing_order& order, const request_budget& budget, Common::instant now)
{
    ++m_unreported;
    if (m_reportedAt && now < *m_reportedAt + reportInterval)
        return;
    m_reportedAt = now;
    Common::writeEvent(Common::log_level::Warning, Common::log_category::Requests, "connections_closed",
        { { "reason", order.reason == closing_reason::HeldBytes ? "held_bytes" : "connections" },
            { "closed_since_last_line", std::to_string(m_unreported) }, { "bytes", std::to_string(order.bytes) },
            { "age_ms", std::to_string(order.age.count()) }, { "held_bytes", std::to_string(budget.heldBytes()) },
            { "max_held_bytes", std::to_string(budget.limits().heldBytes) },
            { "connections", std::to_string(budget.connections()) },
            { "max_connections", std::to_string(budget.limits().connections) } });
    m_unreported = 0;
}

}
