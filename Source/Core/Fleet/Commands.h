#pragma once

#include "Common/Endpoint.h"
#include "Common/Ids.h"
#include "Requests/Outcome.h"
#include "Requests/WorkRequest.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Commands that the platform's log carries. A command is checked when it is applied, so the order
/// in the log decides every race.
namespace Fleet {

/// Who signs a command. Field ownership in templates follows the role.
enum class operator_role : std::uint8_t {
    System,
    ProductManager,
    OperationsLead
};

/// One life of a daemon, as the others need to know it.
struct member_info {
    Common::process_id process;
    Common::endpoint peers;
    Common::data_centre_id dataCentre;
};

/// Adds a daemon. Backed by a majority of the members that aren't gone.
struct join_member {
    member_info info;
    Common::membership_version version;
    std::vector<Common::process_id> backers;
    std::vector<Common::process_id> gone;
};

struct renew_member {
    Common::process_id process;
};

/// A daemon is about to stop: it gets no more shards.
struct retire_member {
    Common::process_id process;
};

/// A daemon says that it holds nothing any more and stops.
struct leave_member {
    Common::process_id process;
};

/// Removes a daemon whose lease has lapsed. Void if the daemon renewed after `renewed`.
struct expire_member {
    Common::process_id process;
    Common::log_offset renewed;
    std::vector<Common::process_id> backers;
    std::vector<Common::process_id> gone;
};

struct claim_shard {
    Common::shard_id shard;
    Common::process_id process;
};

struct release_shard {
    Common::shard_id shard;
    Common::process_id process;
    Common::shard_epoch epoch;
};

/// Terms of one team as one role states them; absent fields are not stated.
struct team_fields {
    Common::team_id team;
    /// Part of a full pool in hundredths of a per cent. Owned by the product manager.
    std::optional<Common::share_weight> share;
    /// Running tasks over the whole fleet. Stated by both roles; the lower value is in force.
    std::optional<Common::slot_count> upperLimit;

    friend bool operator==(const team_fields&, const team_fields&) = default;
};

/// Fields of an account template as one role states them.
struct template_fields {
    std::vector<team_fields> teams;
    /// Part of each pool that stays available. Stated by both roles; the higher value is in force.
    std::optional<Common::percent> minAvailable;
    /// Instances of one pool in maintenance at once. Owned by the operations lead.
    std::optional<Common::slot_count> maxInMaintenance;

    friend bool operator==(const template_fields&, const template_fields&) = default;
};

struct publish_template {
    Common::account_id account;
    Common::revision_number expected;
    template_fields fields;
};

struct define_queue {
    Common::queue_id queue;
    Common::pool_id pool;
    /// Takes work without a key, charged to the team "open:QUEUE".
    bool open { false };
    /// Upper limit of the open team; ignored for closed queues.
    Common::slot_count openLimit;
};

struct grant_key {
    Common::key_hash hash;
    Common::team_id team;
};

struct withdraw_key {
    Common::key_hash hash;
};

enum class zone_kind : std::uint8_t {
    DataCentre,
    Rack,
    Instance
};

/// Takes a failure domain out of service, or back in.
struct set_zone {
    zone_kind kind { zone_kind::DataCentre };
    std::string name;
    bool out { false };
};

/// Puts an instance that no pool has yet into a pool.
struct place_instance {
    Common::instance_id instance;
    Common::pool_id pool;
    Common::data_centre_id dataCentre;
    Common::rack_id rack;
};

/// First step of a move: the instance gets no new work.
struct begin_move {
    Common::instance_id instance;
    Common::pool_id target;
    std::vector<Common::instance_id> knownDown;
};

/// Second step: the holder of the old pool saw the instance empty.
struct release_instance {
    Common::instance_id instance;
    Common::shard_epoch epoch;
};

/// Third step: the holder of the new pool takes the instance in.
struct join_pool {
    Common::instance_id instance;
    Common::shard_epoch epoch;
};

/// Takes an instance into maintenance if every availability budget still holds.
struct drain_instance {
    Common::instance_id instance;
    std::vector<Common::instance_id> knownDown;
};

struct return_instance {
    Common::instance_id instance;
};

/// Takes queued work for good.
struct accept_work {
    Requests::work_identity identity;
    Common::key_hash key;
    Requests::resources needs;
    bool idempotent { false };
    Common::wall_millis deadline;
    std::string payload;
};

/// Stands in the log before a request that isn't idempotent is sent to a worker.
struct intend_work {
    Requests::work_identity identity;
    Common::shard_epoch epoch;
    Common::task_id task;
    Common::instance_id instance;
    std::string payloadDigest;
};

struct finish_work {
    Requests::work_identity identity;
    Requests::outcome result;
};

struct cancel_work {
    Requests::work_identity identity;
};

using command_body = std::variant<join_member, renew_member, leave_member, expire_member, claim_shard, release_shard,
    publish_template, define_queue, grant_key, withdraw_key, set_zone, place_instance, begin_move, release_instance,
    join_pool, drain_instance, return_instance, accept_work, intend_work, finish_work, cancel_work, retire_member>;

struct command {
    /// Empty for renewals, which need no result.
    Common::command_id id;
    std::string author;
    operator_role role { operator_role::System };
    std::string why;
    command_body body;
};

/// One record of the log: commands that were committed as a group.
struct envelope {
    Common::wall_millis at;
    Common::process_id by;
    std::vector<command> commands;
};

}
