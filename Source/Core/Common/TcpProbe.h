#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

namespace Common {

/// Result of a connection attempt to a listener.
enum class probe_result {
    Accepted,
    /// The host answered that nothing listens on the port.
    Refused,
    /// No answer in time, or an error that doesn't tell whether something listens.
    Silent
};

/// Opens and closes one TCP connection, waiting at most `timeout`.
probe_result probeTcp(const endpoint&, millis timeout);

}
