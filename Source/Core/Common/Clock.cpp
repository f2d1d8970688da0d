#include "Common/Clock.h"

#include <algorithm>
#include <ctime>

namespace Common {

boot_clock::time_point boot_clock::now()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

wall_millis wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return { std::chrono::duration_cast<millis>(sinceEpoch).count() };
}

millis elapsed(instant from, instant to)
{
    return std::max(millis(0), std::chrono::duration_cast<millis>(to - from));
}

}
