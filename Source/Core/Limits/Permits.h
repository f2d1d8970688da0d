#pragma once

#include "Common/Ids.h"

#include <vector>

/// Concurrency limits of teams. Each running task holds one permit. The ledger of a team grants permits to daemons and
/// never has more granted than the team's upper limit.
namespace Limits {

/// Permits that one daemon keeps and wants for one team.
struct permit_need {
    Common::team_id team;
    /// Permits that the daemon keeps; it uses no more until a grant raises the number.
    Common::slot_count kept;
    /// Permits that the daemon could use now.
    Common::slot_count wanted;
};

/// Report of one daemon to the holder of a ledger shard.
struct permit_report {
    Common::process_id process;
    Common::shard_id shard;
    Common::shard_epoch epoch;
    /// Increases with each report under the same epoch.
    std::int64_t sequence { 0 };
    std::vector<permit_need> needs;
};

struct team_grant {
    Common::team_id team;
    /// Permits that the daemon may use now.
    Common::slot_count allowance;
    /// Permits that the daemon should come down to as its tasks end.
    Common::slot_count target;
};

struct permit_grant {
    Common::shard_id shard;
    Common::shard_epoch epoch;
    /// Sequence number of the report that this grant answers.
    std::int64_t sequence { 0 };
    std::vector<team_grant> grants;
};

}
