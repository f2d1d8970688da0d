#pragma once

#include "ControlPlane/ViewMonitor.h"

namespace ControlPlane {

/// Whether the leader may send starts. What it hasn't read yet may forbid them.
enum class start_permission {
    /// All views are recent.
    Granted,
    /// Views are old, but the store doesn't answer.
    GrantedWithoutStore,
    /// The event loop is behind.
    LoopBehind,
    ViewsOld
};

bool isGranted(start_permission);
/// Writes a line with the ages of the views.
void report(start_permission, const view_monitor&);

}
