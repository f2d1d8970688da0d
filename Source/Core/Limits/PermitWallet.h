#pragma once

#include "Common/Clock.h"
#include "Limits/Permits.h"

#include <map>
#include <optional>
#include <set>

namespace Limits {

/// Permits that this daemon has, for all teams. A task takes one before it starts and gives it back
/// when it has surely ended.
class permit_wallet {
public:
    explicit permit_wallet(Common::process_id self)
        : m_self(std::move(self))
    {
    }

    /// Takes a permit for one task. False when none is free.
    bool tryTake(const Common::team_id&);
    void giveBack(const Common::team_id&);

    /// Adds to the work of the team that waits here; negative to take away.
    void addWaiting(const Common::team_id&, Common::slot_count change);

    /// Teams of whose permits something should be reported: more are needed, or some can be given back.
    bool wantsExchange(const Common::shard_id&, Common::shard_epoch) const;

    /// Report for the holder of a part of the ledgers. Permits that the report doesn't keep can't be
    /// used any more from now on, whether or not the report arrives.
    permit_report makeReport(const Common::shard_id&, Common::shard_epoch);

    /// Terms of teams have changed: every part of the ledgers is asked again.
    void refresh();

    /// Forgets half of the recent peak use; call about every half second. Permits that are kept idle
    /// for the next burst come down with it.
    void cool();

    /// Takes the answer to the newest report; others are ignored.
    void onGrant(const permit_grant&);

    Common::slot_count running(const Common::team_id&) const;
    Common::slot_count allowance(const Common::team_id&) const;
    /// Permits in use over all teams.
    Common::slot_count runningTotal() const;

private:
    struct line {
        Common::slot_count allowance;
        Common::slot_count running;
        Common::slot_count waiting;
        Common::slot_count target;
        /// Recent peak use; that many permits are kept although idle.
        Common::slot_count warm;
    };
    struct exchange {
        Common::shard_epoch epoch { -1 };
        std::int64_t sequence { 0 };
        bool answered { false };
    };

    static Common::slot_count wanted(const line&);
    static Common::slot_count keepable(const line&);

    Common::process_id m_self;
    std::map<Common::shard_id, std::map<Common::team_id, line>> m_shards;
    std::map<Common::shard_id, exchange> m_exchanges;
};

}
