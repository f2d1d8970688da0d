#pragma once

#include "Records/PartitionReader.h"

#include <string>

namespace ControlPlane {

/// Views that could forbid a start: registrations, intake, rules.
enum class view_kind {
    Registrations,
    Intake,
    Rules
};

/// How a view counts whose last refresh had no answer.
enum class unanswered_reads {
    CountAsOld,
    CountAsRecent
};

/// Tracks how old the leader's views are, and reads old ones again.
class view_monitor {
public:
    explicit view_monitor(Records::timer_service&);
    view_monitor(const view_monitor&) = delete;
    view_monitor& operator=(const view_monitor&) = delete;

    void add(view_kind, const std::shared_ptr<Records::partition_reader>&);
    /// Reads again what is too old for starts soon. `onRead` is called after each of these reads.
    void refreshOld(const std::function<void()>& onRead);
    /// Age of the oldest view of this kind; empty if one hasn't been read yet.
    std::optional<Common::millis> age(view_kind) const;
    /// Whether each view is recent enough for a start.
    bool areRecent(unanswered_reads) const;

private:
    struct watched_view {
        view_kind kind;
        std::shared_ptr<Records::partition_reader> reader;
        bool isRefreshing { false };
        /// The last refresh had no answer.
        bool isUnanswered { false };
    };

    std::optional<Common::millis> ageOf(const watched_view&) const;

    Records::timer_service& m_timers;
    std::vector<std::shared_ptr<watched_view>> m_views;
};

}
