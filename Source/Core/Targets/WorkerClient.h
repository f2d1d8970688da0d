#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Requests/WorkRequest.h"

#include <optional>
#include <string>
#include <vector>

namespace Targets {

/// Milliseconds of a worker's own monotonic clock.
using worker_millis = Common::quantity<struct worker_millis_tag>;

struct task_start {
    Common::task_id task;
    /// Life of the worker that the clock values are meant for; another life refuses the start.
    std::string life;
    Requests::resources needs;
    std::string payload;
    /// The worker refuses the start after this instant of its clock.
    worker_millis notAfter;
    /// The worker ends the task at this instant of its clock unless the lease is renewed.
    worker_millis leaseUntil;
};

struct poll_request {
    /// Life of the worker that `leaseUntil` is meant for; another life renews nothing.
    std::string life;
    /// Prefix of the tasks whose results are wanted.
    std::string owner;
    /// Further tasks, of lost holders, whose results are wanted.
    std::vector<Common::task_id> adopted;
    std::vector<Common::task_id> renewed;
    worker_millis leaseUntil;
    /// Results that arrived whole; the worker may forget them.
    std::vector<Common::task_id> acknowledged;
    /// How long the worker may wait for a change of its tasks.
    Common::millis wait { 0 };
};

struct running_task {
    Common::task_id task;
    Requests::resources needs;
};

struct finished_task {
    Common::task_id task;
    bool succeeded { false };
    std::int64_t length { 0 };
    std::string digest;
    std::string answer;
};

struct poll_reply {
    /// Changes when the worker restarts; its clock and results start afresh.
    std::string life;
    worker_millis clock;
    bool leaving { false };
    std::vector<running_task> running;
    std::vector<finished_task> finished;
};

struct start_reply {
    std::string life;
    worker_millis clock;
    /// Tasks that were taken; the worker will never run the others of the call.
    std::vector<Common::task_id> accepted;
};

enum class worker_failure {
    None,
    /// Nothing was sent.
    NotReached,
    /// Sent, but no whole answer came.
    NoAnswer
};

/// One worker. One object serves one thread.
class worker_client {
public:
    virtual ~worker_client() = default;
    virtual std::optional<start_reply> start(const std::vector<task_start>&) = 0;
    virtual std::optional<poll_reply> poll(const poll_request&) = 0;
    virtual bool stop(const std::vector<Common::task_id>&) = 0;
    virtual worker_failure lastReason() const = 0;
};

}
