#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Jobs/Job.h"

#include <optional>
#include <string>
#include <vector>

/// Placing tasks on workers and keeping track of what may run where.
namespace Dispatch {

/// Reading of a worker's own steady clock, in milliseconds since its start.
using worker_millis = Common::quantity<struct worker_millis_tag>;
/// Fencing token under which a holder gives orders; later holders have higher ones.
using fencing_token = Common::quantity<struct fencing_token_tag>;
/// Number of an end in a worker's list; grows by one with each end of one life.
using end_number = Common::quantity<struct end_number_tag>;
/// Number of a start of a task; later starts have higher ones.
using run_number = Common::quantity<struct run_number_tag>;

/// A worker as it registers itself.
struct worker_entry {
    Common::worker_id id;
    Common::pool_id pool;
    Common::endpoint address;
    Common::data_centre_id dataCentre;
    Common::rack_id rack;
    std::vector<std::string> labels;
    Jobs::resources capacity;
    bool isDraining { false };
    /// Start of this life; an entry with another one is another life.
    Common::wall_millis bornAt;
};

/// One life of one worker, as orders name it.
struct worker_address {
    Common::worker_id id;
    Common::endpoint address;
};

struct start_order {
    worker_address worker;
    Jobs::task_name task;
    run_number run;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    worker_millis deadline;
};

struct stop_order {
    worker_address worker;
    Jobs::task_name task;
    run_number run;
};

struct pace_order {
    worker_address worker;
    Jobs::task_name task;
    run_number run;
    Common::percent pace;
};

/// Extends the lease of what runs on the worker, forgets ends up to `noted`, and looks.
struct hold_order {
    worker_address worker;
    std::optional<worker_millis> deadline;
    end_number noted;
    /// The answer waits so long for an end.
    Common::millis wait { 0 };
};

enum class order_outcome {
    Done,
    /// Another holder has used a higher token.
    Fenced,
    /// A run that isn't lower was started, stopped or ended there.
    OldRun,
    /// The deadline was over when it arrived.
    Late,
    NoRoom,
    /// The ticket doesn't serve, or there is none.
    NoTicket,
    /// Another life of the worker answered; what the intended one ran is gone.
    OtherLife,
    /// The worker isn't healthy and did nothing.
    Unhealthy,
    /// The worker understood the order and rejects it for good.
    Invalid,
    /// No connection: nothing was sent.
    NotSent,
    /// May have been carried out, or may be later.
    NoAnswer
};

struct order_reply {
    order_outcome outcome { order_outcome::NoAnswer };
    std::optional<worker_millis> clock;
    std::optional<Common::wall_millis> bornAt;
};

/// A task at work, as the worker lists it.
struct listed_run {
    Jobs::task_name task;
    run_number run;
    std::string checkpoint;
    Common::percent percent;
    /// Tail of response times in milliseconds for a task that serves, else thousandths of a core in use.
    std::int64_t load { 0 };
};

enum class end_kind {
    Done,
    Failed,
    Stopped,
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The gang wasn't complete in time.
    Alone
};

struct listed_end {
    end_number number;
    Jobs::task_name task;
    run_number run;
    end_kind kind { end_kind::Done };
    std::string checkpoint;
};

struct hold_reply {
    order_reply base;
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
};

}
