#include "Common/ProcessorTime.h"

#include <sys/resource.h>

namespace Common {

namespace {

    millis toMillis(const timeval& time)
    {
        return std::chrono::duration_cast<millis>(
            std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec));
    }

}

millis processorTime()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return toMillis(usage.ru_utime) + toMillis(usage.ru_stime);
}

}
