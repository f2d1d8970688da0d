#pragma once

#include "Common/Clock.h"

namespace Common {

/// Processor time that this process has used since its start.
millis processorTime();

}
