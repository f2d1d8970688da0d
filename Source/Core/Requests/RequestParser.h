#pragma once

#include "Requests/WorkRequest.h"

#include <optional>
#include <string>
#include <string_view>

namespace Requests {

/// Largest payload in bytes.
constexpr std::size_t maxPayloadBytes = 256 * 1024;
/// Longest identifier in bytes.
constexpr std::size_t maxIdBytes = 128;
constexpr Common::millis maxWaitingDeadline = std::chrono::minutes(10);
constexpr Common::millis maxQueuedDeadline = std::chrono::hours(48);

enum class request_fault_kind {
    NotJson,
    Missing,
    WrongType,
    TooLong,
    OutOfRange,
    BadCharacter,
    UnknownField
};

/// Why a request was rejected, and at which field.
struct request_fault {
    request_fault_kind kind { request_fault_kind::NotJson };
    std::string field {};
};

std::string_view toText(request_fault_kind);

/// Parses a submission from JSON. Empty if it is invalid; `lastReason` then says why.
std::optional<submission> parseSubmission(std::string_view body, request_fault& lastReason);

/// Parses the identity and key fields only, as sent with outcome and cancel calls. Empty if they are invalid;
/// `lastReason` then says why.
std::optional<submission> parseReference(std::string_view body, request_fault& lastReason);

}
