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

/// What is wrong with a request, and in which field.
struct request_fault {
    request_fault_kind kind { request_fault_kind::NotJson };
    std::string field {};
};

std::string_view toText(request_fault_kind);

/// Reads a submission from JSON. Empty when it is faulty; `lastReason` then says why.
std::optional<submission> parseSubmission(std::string_view body, request_fault& lastReason);

/// Reads only the identity and key fields, as outcome and cancel calls carry them.
std::optional<submission> parseReference(std::string_view body, request_fault& lastReason);

}
