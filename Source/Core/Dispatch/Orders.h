#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Jobs/Job.h"

#include <optional>
#include <string>
#include <vector>

/// Places tasks on workers and tracks what may be running where.
namespace Dispatch {

/// Reading of a worker's own steady clock, in milliseconds since the worker started.
using worker_millis = Common::quantity<struct worker_millis_tag>;
/// Fencing token that a leader sends with its orders; later leaders have higher ones.
using fencing_token = Common::quantity<struct fencing_token_tag>;
/// Sequence number of an ended run in a worker's list; increases by one with each end within one incarnation.
using end_number = Common::quantity<struct end_number_tag>;
/// Number of an attempt to run a task; later attempts have higher ones.
using run_number = Common::quantity<struct run_number_tag>;

/// Bounds that all workers keep.
struct worker_bounds {
    /// Longest time a worker takes to carry out a stop that it accepted.
    Common::millis stopTime { 200 };
    /// A worker shortens any longer lease to this one.
    Common::millis longestLease { 10000 };
};

/// A worker's registration.
struct worker_entry {
    Common::worker_id id;
    Common::pool_id pool;
    Common::endpoint address;
    Common::data_centre_id dataCentre;
    Common::rack_id rack;
    std::vector<std::string> labels;
    Jobs::resources capacity;
    bool isDraining { false };
    /// When this incarnation of the worker started; a different value means a different incarnation.
    Common::wall_millis incarnationStartedAt;
};

/// One life of a worker's process.
struct worker_incarnation {
    Common::worker_id worker;
    /// 0 if it isn't known.
    Common::wall_millis startedAt;

    friend bool operator==(const worker_incarnation&, const worker_incarnation&) = default;
};

/// A worker as the recipient of an order.
struct worker_address {
    Common::worker_id id;
    Common::endpoint address;
    /// The incarnation that was known when the order was sent; a later one may carry the order out. 0 if none was known.
    Common::wall_millis incarnationStartedAt;
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

/// Poll of a worker: renews the leases of its runs, acknowledges ended runs and asks for the present state.
struct poll_order {
    worker_address worker;
    /// New end of the leases; empty when they aren't renewed.
    std::optional<worker_millis> deadline;
    /// The worker drops ended runs up to this number from its list.
    end_number acknowledgedEnd;
    /// How long the worker delays its reply while no run ends (long poll).
    Common::millis wait { 0 };
};

enum class order_outcome {
    Done,
    /// The worker has seen a higher token.
    Fenced,
    /// The worker has already started, stopped or ended a run of the task with this or a higher number.
    StaleRun,
    /// The order arrived after its deadline.
    DeadlinePassed,
    NoRoom,
    /// The ticket is missing or not valid.
    NoTicket,
    /// Another incarnation of the worker answered; the runs of the intended one are gone.
    OtherIncarnation,
    /// The worker reported that it isn't healthy and did nothing.
    Unhealthy,
    /// The worker rejects the order permanently.
    Invalid,
    /// There was no connection; nothing was sent.
    NotSent,
    /// The order may have been carried out, or may still be.
    NoAnswer
};

struct order_reply {
    order_outcome outcome { order_outcome::NoAnswer };
    std::optional<worker_millis> clock;
    /// The incarnation that answered. Only lists of runs name it.
    std::optional<Common::wall_millis> incarnationStartedAt;
};

/// A running task as its worker reports it.
struct listed_run {
    Jobs::task_name task;
    run_number run;
    std::string checkpoint;
    Common::percent percent;
    /// Tail latency in milliseconds for a task that serves requests, else thousandths of a core in use.
    std::int64_t load { 0 };
};

enum class end_kind {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang didn't start in time.
    GangIncomplete
};

/// An ended run as its worker reports it.
struct listed_end {
    end_number number;
    Jobs::task_name task;
    run_number run;
    end_kind kind { end_kind::Done };
    std::string checkpoint;
};

struct poll_order_reply {
    order_reply base;
    std::vector<listed_run> running;
    /// The first ends that aren't acknowledged, in the order of their numbers.
    std::vector<listed_end> ended;
    /// The list of ends was cut at its greatest length: a run in neither list may have ended. The others follow once these
    /// are acknowledged.
    bool mayHaveMoreEnds { false };
};

}
