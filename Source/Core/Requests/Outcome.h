#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Requests {

/// What is known about a request. `NotRun` is used only if the request certainly did not run and never will.
enum class outcome_kind : std::uint8_t {
    Done,
    NotRun,
    Unknown
};

/// Why a request was not run, or why its outcome is unknown.
enum class refusal_reason : std::uint8_t {
    None,
    BadRequest,
    KeyMissing,
    KeyUnknown,
    KeyWithdrawn,
    KeyOfOtherTeam,
    QueueUnknown,
    TeamUnknown,
    QueueFull,
    NeverFits,
    DeadlineUnreachable,
    DeadlinePassed,
    Cancelled,
    IdReused,
    NoHolder,
    ViewStale,
    LogUnavailable,
    Stopping,
    HolderMoved,
    HolderLost,
    WorkerFailed,
    WorkerLost,
    /// Only between daemons: the request is known there but has no outcome yet; the sender asks again.
    StillWaiting,
    NotFound
};

/// Result of one request, as returned to its caller.
struct outcome {
    outcome_kind kind { outcome_kind::Unknown };
    refusal_reason reason { refusal_reason::None };
    /// Complete answer; only with `Done`.
    std::string answer {};
    /// Content digest of `answer`; only with `Done`.
    std::string digest {};

    friend bool operator==(const outcome&, const outcome&) = default;
};

outcome notRun(refusal_reason);
outcome unknownOutcome(refusal_reason);
outcome done(std::string answer);

/// Whether the digest matches the answer. Always true without an answer.
bool digestMatches(const outcome&);

std::string_view toText(outcome_kind);
std::string_view toText(refusal_reason);
std::optional<outcome_kind> parseOutcomeKind(std::string_view);
std::optional<refusal_reason> parseRefusalReason(std::string_view);

}
