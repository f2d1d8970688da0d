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
    /// Incarnation of the worker that the clock values are for; another incarnation refuses the start.
    std::string life;
    Requests::resources needs;
    std::string payload;
    /// The worker refuses the start once its clock is past this time.
    worker_millis notAfter;
    /// The worker ends the task at this time of its clock unless the lease is renewed.
    worker_millis leaseUntil;
};

struct poll_request {
    /// Incarnation of the worker that `leaseUntil` is for; another incarnation renews nothing.
    std::string life;
    /// Id prefix of the tasks whose results are requested.
    std::string owner;
    /// Further tasks whose results are requested; they were started by lost holders.
    std::vector<Common::task_id> adopted;
    std::vector<Common::task_id> renewed;
    worker_millis leaseUntil;
    /// Tasks whose complete results have arrived; the worker may drop these results.
    std::vector<Common::task_id> acknowledged;
    /// How long the worker may wait for a change of its tasks before it replies.
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
    /// Incarnation of the worker. Changes when the worker restarts, which resets its clock and results.
    std::string life;
    worker_millis clock;
    bool leaving { false };
    std::vector<running_task> running;
    std::vector<finished_task> finished;
};

struct start_reply {
    std::string life;
    worker_millis clock;
    /// Tasks that were accepted; the worker will never run the others of the call.
    std::vector<Common::task_id> accepted;
};

enum class worker_failure {
    None,
    /// Nothing was sent.
    NotReached,
    /// Sent, but no complete answer arrived.
    NoAnswer
};

/// Client of one worker. One object serves one thread.
class worker_client {
public:
    virtual ~worker_client() = default;
    virtual std::optional<start_reply> start(const std::vector<task_start>&) = 0;
    virtual std::optional<poll_reply> poll(const poll_request&) = 0;
    virtual bool stop(const std::vector<Common::task_id>&) = 0;
    virtual worker_failure lastReason() const = 0;
};

}
