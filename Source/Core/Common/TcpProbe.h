#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

namespace Common {

/// What a connection attempt says about a listener.
enum class probe_result {
    Accepted,
    /// The host answered that nothing listens there.
    Refused,
    /// No answer in time, or an error that proves nothing.
    Silent
};

/// Opens and closes one TCP connection, waiting at most `timeout`.
probe_result probeTcp(const endpoint&, millis timeout);

}
