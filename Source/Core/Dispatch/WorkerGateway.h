#pragma once

#include "Dispatch/Orders.h"

#include <functional>

namespace Dispatch {

/// Sends orders to workers. Each handler is called exactly once, with `NoAnswer` after `timeout` at the latest.
class worker_gateway {
public:
    virtual ~worker_gateway() = default;

    using reply_handler = std::function<void(order_reply)>;
    virtual void start(const start_order&, fencing_token, Common::millis timeout, reply_handler) = 0;
    virtual void stop(const stop_order&, fencing_token, Common::millis timeout, reply_handler) = 0;
    virtual void pace(const pace_order&, fencing_token, Common::millis timeout, reply_handler) = 0;
    virtual void poll(
        const poll_order&, fencing_token, Common::millis timeout, std::function<void(poll_order_reply)>)
        = 0;
    /// Closes the connections to all other workers.
    virtual void keepOnly(const std::vector<Common::worker_id>&) = 0;
};

}
