#pragma once

#include "Common/Endpoint.h"
#include "Common/Ids.h"
#include "Requests/Outcome.h"
#include "Requests/WorkRequest.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Commands that are replicated through the platform's log. A command is validated when it is applied,
/// so the order in the log decides between concurrent commands.
namespace Fleet {

/// Role of a command's author. It decides which fields of a template the author may set.
enum class operator_role : std::uint8_t {
    System,
    ProductManager,
    OperationsLead
};

/// One incarnation of a daemon, with the address at which its peers reach it.
struct member_info {
    Common::process_id process;
    Common::endpoint peers;
    Common::data_centre_id dataCentre;
};

/// Adds a daemon. Requires the votes (`backers`) of a majority of the members that aren't gone.
struct join_member {
    member_info info;
    Common::membership_version version;
    std::vector<Common::process_id> backers;
    std::vector<Common::process_id> gone;
};

struct renew_member {
    Common::process_id process;
};

/// The daemon is about to stop and gets no more shards.
struct retire_member {
    Common::process_id process;
};

/// The daemon holds nothing any more and stops.
struct leave_member {
    Common::process_id process;
};

/// Removes a daemon whose lease has expired. Rejected if the daemon renewed after `renewed`.
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

/// Settings of one team by one role. A role may leave fields unset.
struct team_fields {
    Common::team_id team;
    /// Share of a full pool in hundredths of a per cent. Set by the product manager only.
    std::optional<Common::share_weight> share;
    /// Maximum number of running tasks in the whole fleet. Set by both roles; the lower value applies.
    std::optional<Common::slot_count> upperLimit;

    friend bool operator==(const team_fields&, const team_fields&) = default;
};

/// Fields of an account template that one role sets.
struct template_fields {
    std::vector<team_fields> teams;
    /// Percentage of each pool that must stay available. Set by both roles; the higher value applies.
    std::optional<Common::percent> minAvailable;
    /// Maximum number of instances of one pool in maintenance at once. Set by the operations lead only.
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
    /// Accepts work without a key and charges it to the team "open:QUEUE".
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

/// Takes a failure domain out of service or puts it back into service.
struct set_zone {
    zone_kind kind { zone_kind::DataCentre };
    std::string name;
    bool out { false };
};

/// Adds an instance that is in no pool yet to a pool.
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

/// Second step: no task is left on the instance. Sent by the holder of the old pool.
struct release_instance {
    Common::instance_id instance;
    Common::shard_epoch epoch;
};

/// Third step: the instance is in the new pool. Sent by the holder of the new pool.
struct join_pool {
    Common::instance_id instance;
    Common::shard_epoch epoch;
};

/// Takes an instance into maintenance if every availability budget is still met.
struct drain_instance {
    Common::instance_id instance;
    std::vector<Common::instance_id> knownDown;
};

struct return_instance {
    Common::instance_id instance;
};

/// Accepts a request into a queue durably.
struct accept_work {
    Requests::work_identity identity;
    Common::key_hash key;
    Requests::resources needs;
    bool idempotent { false };
    Common::wall_millis deadline;
    std::string payload;
};

/// Logged before a request that isn't idempotent is sent to a worker, so that it runs at most once.
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
