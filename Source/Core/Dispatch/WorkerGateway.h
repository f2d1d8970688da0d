#pragma once

#include "Dispatch/Orders.h"

#include <functional>

namespace Dispatch {

/// Carries orders to workers. Handlers are called once, with `NoAnswer` at the latest after `timeout`.
class worker_gateway {
public:
    virtual ~worker_gateway() = default;

    using reply_handler = std::function<void(order_reply)>;
    virtual void start(const start_order&, fencing_token, Common::millis timeout, reply_handler) = 0;
    virtual void stop(const stop_order&, fencing_token, Common::millis timeout, reply_handler) = 0;
    virtual void pace(const pace_order&, fencing_token, Common::millis timeout, reply_handler) = 0;
    virtual void hold(
        const hold_order&, fencing_token, Common::millis timeout, std::function<void(hold_reply)>)
        = 0;
    /// Drops the connections to workers that aren't named.
    virtual void keepOnly(const std::vector<Common::worker_id>&) = 0;
};

}
