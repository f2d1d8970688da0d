#pragma once

#include "Dispatch/Dispatcher.h"

namespace ControlPlane {

/// Name of the event in logs and counters.
const char* toText(Dispatch::dispatch_event_kind);
/// Writes one line about a decision of the dispatcher or a change that it noticed.
void report(const Dispatch::dispatch_event&);

}
