#pragma once

namespace Bench {

/// Measures state, log, ledgers and schedulers at several sizes each, and prints how their cost grows.
void runSlopes();

}
