#pragma once

#include "Common/Ids.h"

#include <vector>

/// Permits to run: one for each running task of a team. The ledger of a team hands them to daemons;
/// all permits that are out never exceed the team's upper limit.
namespace Limits {

/// What one daemon holds and needs for one team.
struct permit_need {
    Common::team_id team;
    /// Permits that the daemon keeps; it uses no more until a grant raises them.
    Common::slot_count kept;
    /// Permits that it could use now.
    Common::slot_count wanted;
};

/// Report of one daemon to the holder of one part of the ledgers.
struct permit_report {
    Common::process_id process;
    Common::shard_id shard;
    Common::shard_epoch epoch;
    /// Grows with each report under the same epoch.
    std::int64_t sequence { 0 };
    std::vector<permit_need> needs;
};

struct team_grant {
    Common::team_id team;
    /// Permits that the daemon has now.
    Common::slot_count allowance;
    /// Permits that it should come down to as its tasks end.
    Common::slot_count target;
};

struct permit_grant {
    Common::shard_id shard;
    Common::shard_epoch epoch;
    /// Sequence of the report that this answers.
    std::int64_t sequence { 0 };
    std::vector<team_grant> grants;
};

}
