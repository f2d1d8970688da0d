#pragma once

#include "Common/Clock.h"
#include "Jobs/Resources.h"

#include <deque>
#include <map>

namespace Capacity {

struct forecast_options {
    /// Time from the order of a move until the instance runs tasks in its new pool, until moves have been measured.
    Common::millis leadTime { 1500 };
    /// A rise is continued to at most this multiple of what is asked for now.
    double maxGrowth { 3 };
    /// Demand that has begun to rise is expected to reach at least this share of the last peak.
    double shareOfPeak { 0.5 };
    /// It has begun to rise when it is above this share of the last peak.
    double shareAtRise { 0.15 };
    /// A peak is over once the demand has fallen to this share of it.
    double shareAtEnd { 0.25 };
};

/// What each pool's jobs will ask for when an instance that is ordered now can run tasks.
///
/// The pattern of load that it answers: the demand of a pool rises from almost nothing to several times its mean within a
/// second or two, again and again. A move takes about as long, so sizes that follow the demand are too small for as long as it
/// rises. The forecast continues the rise of the last second over the time that a move takes, and knows how high the last peak
/// was. Without a rise, it is what is asked for now.
class demand_forecast {
public:
    explicit demand_forecast(const forecast_options&);

    /// Notes what the pool's jobs ask for now, as processor.
    void note(const Common::pool_id&, Common::millicores, Common::instant now);
    /// A move took this long, from its order until the instance could run tasks.
    void noteMove(Common::millis);
    /// The multiple of the present demand that is to be expected, 1 at least.
    double growth(const Common::pool_id&) const;
    Common::millis leadTime() const { return m_leadTime; }
    Common::millicores lastPeak(const Common::pool_id&) const;

private:
    struct sample {
        Common::instant at;
        Common::millicores level;
    };
    struct pool_history {
        std::deque<sample> samples;
        /// Highest level since the last peak was over, and the level of that peak.
        Common::millicores highest;
        Common::millicores lastPeak;
    };

    static void noteLevel(pool_history&, Common::millicores, const forecast_options&);
    /// Rise per millisecond, in millicores; not below 0.
    static double slopeOver(const pool_history&, Common::millis window);

    forecast_options m_options;
    Common::millis m_leadTime;
    std::map<Common::pool_id, pool_history> m_pools;
};

}
