#include "ControlPlane/ViewMonitor.h"

#include <algorithm>

namespace ControlPlane {

namespace {

    /// A start needs views that were confirmed by reads that began at most this long ago.
    constexpr Common::millis maxStartViewAge { 700 };
    /// Older views are read again while starts are planned.
    constexpr Common::millis refreshAge { 400 };
    constexpr Common::millis refreshTimeout { 600 };

}

view_monitor::view_monitor(Records::timer_service& timers)
    : m_timers(timers)
{
}

void view_monitor::add(view_kind kind, const std::shared_ptr<Records::partition_reader>& reader)
{
    m_views.push_back(std::make_shared<watched_view>(watched_view { .kind = kind, .reader = reader }));
}

std::optional<Common::millis> view_monitor::ageOf(const watched_view& view) const
{
    const auto confirmed = view.reader->confirmedAt();
    return confirmed ? std::optional(Common::elapsed(*confirmed, m_timers.now())) : std::nullopt;
}

std::optional<Common::millis> view_monitor::age(view_kind kind) const
{
    Common::millis oldest { 0 };
    for (const auto& view : m_views) {
        if (view->kind != kind)
            continue;
        const auto viewAge = ageOf(*view);
        if (!viewAge)
            return std::nullopt;
        oldest = std::max(oldest, *viewAge);
    }
    return oldest;
}

bool view_monitor::areRecent(unanswered_reads unanswered) const
{
    return std::all_of(m_views.begin(), m_views.end(), [this, unanswered](const auto& view) {
        const auto viewAge = ageOf(*view);
        const bool isExempt = view->isUnanswered && unanswered == unanswered_reads::CountAsRecent;
        return isExempt || (viewAge && *viewAge <= maxStartViewAge);
    });
}

void view_monitor::refreshOld(const std::function<void()>& onRead)
{
    for (const auto& view : m_views) {
        const auto viewAge = ageOf(*view);
        if (view->isRefreshing || !viewAge || *viewAge < refreshAge)
            continue;
        view->isRefreshing = true;
        // The view owns the reader, which keeps this until it has read.
        view->reader->refresh(refreshTimeout, [refreshed = std::weak_ptr(view), onRead](bool isRead) {
            if (const auto current = refreshed.lock()) {
                current->isRefreshing = false;
                current->isUnanswered = !isRead;
            }
            onRead();
        });
    }
}

}
