#pragma once

namespace Bench {

/// Prints how the cost of state, log, ledgers and desks grows, at several sizes each.
void runSlopes();

}
