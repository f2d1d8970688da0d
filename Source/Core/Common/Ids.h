#pragma once

#include "Common/StrongType.h"

/// Identifiers and units shared by all modules.
namespace Common {

using account_id = text_id<struct account_tag>;
using team_id = text_id<struct team_tag>;
using pool_id = text_id<struct pool_tag>;
using queue_id = text_id<struct queue_tag>;
using instance_id = text_id<struct instance_tag>;
using data_centre_id = text_id<struct data_centre_tag>;
using rack_id = text_id<struct rack_tag>;
/// One incarnation of a daemon; a restarted daemon gets a new one.
using process_id = text_id<struct process_tag>;
/// Identifier that the caller gives its request.
using request_id = text_id<struct request_tag>;
/// Identifier of a command in the log; a repeated command has the same one.
using command_id = text_id<struct command_tag>;
/// Unit of ownership with one holder at a time: a pool or a part of the team ledgers.
using shard_id = text_id<struct shard_tag>;
/// Identifier of one attempt to run a request on a worker.
using task_id = text_id<struct task_tag>;
/// Identifier that a caller gives its job. Callers of other queues and teams may give theirs the same one.
using caller_job_id = text_id<struct caller_job_tag>;
/// Identifier of a job within the system; see Jobs/JobNames.h.
using job_id = text_id<struct job_tag>;
/// One incarnation of a worker's process.
using worker_id = text_id<struct worker_tag>;
/// Hex digest of a key; the key itself is never stored.
using key_hash = text_id<struct key_hash_tag>;

/// Position of a record in the platform's log.
using log_offset = quantity<struct log_offset_tag>;
/// Fencing token: the log offset of the claim under which a shard is held.
using shard_epoch = quantity<struct shard_epoch_tag>;
/// Revision number of an account template; the first is 1.
using revision_number = quantity<struct revision_tag>;
/// Number of membership changes applied so far.
using membership_version = quantity<struct membership_version_tag>;
/// Thousandths of a processor core.
using millicores = quantity<struct millicore_tag>;
/// Processor cores.
using core_count = quantity<struct core_tag>;
/// Memory in megabytes.
using megabytes = quantity<struct megabytes_tag>;
using accelerator_count = quantity<struct accelerator_tag>;
/// Tasks that may run at once on a worker or for a team.
using slot_count = quantity<struct slot_tag>;
/// Relative weight of a team when a pool is full.
using share_weight = quantity<struct share_tag>;
/// Whole per cent.
using percent = quantity<struct percent_tag>;
/// Wall-clock time in milliseconds since the Unix epoch.
using wall_millis = quantity<struct wall_millis_tag>;

}
