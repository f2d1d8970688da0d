#pragma once

#include "Common/Clock.h"
#include "Limits/Permits.h"

#include <map>
#include <optional>
#include <set>

namespace Limits {

/// Permits that are granted to this daemon, for all teams. A task acquires one before it starts and releases it once
/// it is known to have ended.
class permit_cache {
public:
    explicit permit_cache(Common::process_id self)
        : m_self(std::move(self))
    {
    }

    /// Acquires a permit for one task. False if none is free.
    bool tryAcquire(const Common::team_id&);
    void release(const Common::team_id&);

    /// Changes the number of the team's requests that wait at this daemon; negative to reduce it.
    void addWaiting(const Common::team_id&, Common::slot_count change);

    /// Whether a report is due for the shard: its epoch is new, the last report wasn't answered, permits are
    /// missing, or some can be returned.
    bool needsReport(const Common::shard_id&, Common::shard_epoch) const;

    /// Makes the report for the holder of a ledger shard. Permits that the report returns can't be used from then on,
    /// whether or not the report arrives.
    permit_report makeReport(const Common::shard_id&, Common::shard_epoch);

    /// Makes a report due for every ledger shard; called when limits of teams have changed.
    void requestReports();

    /// Halves the recent peak use, and with it the idle permits that are kept for bursts. Call about every half second.
    void decayPeaks();

    /// Applies the answer to the newest report; answers to older reports are ignored.
    void onGrant(const permit_grant&);

    Common::slot_count running(const Common::team_id&) const;
    Common::slot_count allowance(const Common::team_id&) const;
    /// Permits in use over all teams.
    Common::slot_count runningTotal() const;

private:
    struct team_permits {
        Common::slot_count allowance;
        Common::slot_count running;
        Common::slot_count waiting;
        Common::slot_count target;
        /// Recent peak use; this many permits are kept even if idle.
        Common::slot_count recentPeak;
    };
    struct exchange {
        Common::shard_epoch epoch { -1 };
        std::int64_t sequence { 0 };
        bool answered { false };
    };

    static Common::slot_count wanted(const team_permits&);
    static Common::slot_count permitsToKeep(const team_permits&);

    Common::process_id m_self;
    std::map<Common::shard_id, std::map<Common::team_id, team_permits>> m_shards;
    std::map<Common::shard_id, exchange> m_exchanges;
};

}
