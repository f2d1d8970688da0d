#pragma once

#include "Fleet/Commands.h"

#include <deque>
#include <map>
#include <set>

/// State that every daemon builds from the log.
namespace Fleet {

struct member {
    member_info info;
    Common::log_offset joined;
    /// Offset of the last renewal, or of the join.
    Common::log_offset renewed;
    bool retiring { false };
};

struct shard_assignment {
    Common::process_id holder;
    Common::shard_epoch epoch;
};

struct account_template {
    Common::revision_number revision;
    template_fields productManager;
    template_fields operationsLead;
};

struct key_record {
    Common::team_id team;
    bool withdrawn { false };
};

struct queue_record {
    Common::pool_id pool;
    bool open { false };
    Common::slot_count openLimit;
};

enum class move_phase : std::uint8_t {
    InPool,
    Leaving,
    Released
};

struct instance_record {
    Common::pool_id pool;
    Common::data_centre_id dataCentre;
    Common::rack_id rack;
    move_phase phase { move_phase::InPool };
    /// Pool that the instance moves to; empty unless a move is in progress.
    Common::pool_id target;
    bool inMaintenance { false };
    bool out { false };
};

enum class work_phase : std::uint8_t {
    Queued,
    Intended,
    Finished
};

struct work_record {
    work_phase phase { work_phase::Queued };
    Requests::resources needs;
    bool idempotent { false };
    /// Accepted into a queue, as opposed to a request whose caller waits for the answer.
    bool queued { false };
    Common::wall_millis deadline;
    std::string payload;
    std::string payloadDigest;
    Common::task_id task;
    Common::instance_id instance;
    Common::log_offset accepted;
    Common::wall_millis finishedAt;
    Requests::outcome result;
};

enum class rejection : std::uint8_t {
    None,
    StaleMembership,
    NoMajority,
    NotMember,
    AlreadyMember,
    Renewed,
    ShardHeld,
    StaleEpoch,
    RevisionConflict,
    FieldNotOwned,
    SharesOverWhole,
    LimitOutOfRange,
    BudgetNeverMet,
    TeamOfOtherAccount,
    BudgetBroken,
    MaintenanceFull,
    NameUnknown,
    NameInUse,
    WrongPhase,
    KeyNotValid,
    KeyInUse,
    RoleMissing,
    IdReused,
    AlreadyFinished
};

std::string_view toText(rejection);

/// Result of applying a command.
struct command_result {
    Common::log_offset offset;
    rejection reason { rejection::None };
    /// With `RevisionConflict`: the current revision.
    Common::revision_number standing;

    bool accepted() const { return reason == rejection::None; }
};

/// Entry of the operators' change history.
struct history_entry {
    Common::log_offset offset;
    Common::wall_millis at;
    std::string author;
    operator_role role { operator_role::System };
    std::string what;
    std::string why;
};

struct fleet_state {
    /// Offset of the last applied record; -1 before the first.
    Common::log_offset applied { -1 };
    Common::wall_millis latestStamp;
    Common::membership_version membershipVersion;
    std::map<Common::process_id, member> members;
    std::map<Common::shard_id, shard_assignment> shards;
    std::map<Common::account_id, account_template> accounts;
    std::map<Common::key_hash, key_record> keys;
    std::map<Common::queue_id, queue_record> queues;
    std::map<Common::instance_id, instance_record> instances;
    std::set<Common::data_centre_id> dataCentresOut;
    std::set<Common::rack_id> racksOut;
    std::map<Requests::work_identity, work_record> works;
    std::deque<Requests::work_identity> finishedOrder;
    std::map<Common::command_id, command_result> results;
    /// Ids of the kept results, oldest first; operators' and daemons' commands apart.
    std::deque<Common::command_id> operatorResults;
    std::deque<Common::command_id> systemResults;
    std::deque<history_entry> history;
};

/// Effective quota of a team, from the values that both roles set.
struct team_quota {
    Common::account_id account;
    Common::share_weight share;
    Common::slot_count upperLimit;
};

/// Team that work of an open queue is charged to.
Common::team_id openTeam(const Common::queue_id&);

/// Effective quota. Empty for a team that belongs to no template and no open queue.
std::optional<team_quota> effectiveQuota(const fleet_state&, const Common::team_id&);

/// Whether operators allow new work on the instance: it is not moving, in maintenance or out of
/// service.
bool isOpenForWork(const fleet_state&, const instance_record&);

Common::shard_id poolShard(const Common::pool_id&);
/// Pool of the shard. Empty for a shard of the team ledgers.
std::optional<Common::pool_id> poolOfShard(const Common::shard_id&);
/// Shard of the team ledgers that keeps the team's running permits.
Common::shard_id ledgerShard(const Common::team_id&);
/// All shards that should have a holder: one per pool, and those of the team ledgers.
std::vector<Common::shard_id> neededShards(const fleet_state&);

/// Holder of the shard. Empty while nobody holds it.
std::optional<shard_assignment> holderOf(const fleet_state&, const Common::shard_id&);

}
