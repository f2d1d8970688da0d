#include "Requests/Outcome.h"

#include "Common/Hashing.h"

#include <algorithm>
#include <array>

namespace Requests {

namespace {

    template <typename Value>
    struct named_value {
        Value value;
        std::string_view name;
    };

    constexpr std::array outcomeNames {
        named_value<outcome_kind> { outcome_kind::Done, "done" },
        named_value<outcome_kind> { outcome_kind::NotRun, "not_run" },
        named_value<outcome_kind> { outcome_kind::Unknown, "unknown" },
    };

    constexpr std::array reasonNames {
        named_value<refusal_reason> { refusal_reason::None, "none" },
        named_value<refusal_reason> { refusal_reason::BadRequest, "bad_request" },
        named_value<refusal_reason> { refusal_reason::KeyMissing, "key_missing" },
        named_value<refusal_reason> { refusal_reason::KeyUnknown, "key_unknown" },
        named_value<refusal_reason> { refusal_reason::KeyWithdrawn, "key_withdrawn" },
        named_value<refusal_reason> { refusal_reason::KeyOfOtherTeam, "key_of_other_team" },
        named_value<refusal_reason> { refusal_reason::QueueUnknown, "queue_unknown" },
        named_value<refusal_reason> { refusal_reason::TeamUnknown, "team_unknown" },
        named_value<refusal_reason> { refusal_reason::QueueFull, "queue_full" },
        named_value<refusal_reason> { refusal_reason::NeverFits, "never_fits" },
        named_value<refusal_reason> { refusal_reason::DeadlineUnreachable, "deadline_unreachable" },
        named_value<refusal_reason> { refusal_reason::DeadlinePassed, "deadline_passed" },
        named_value<refusal_reason> { refusal_reason::Cancelled, "cancelled" },
        named_value<refusal_reason> { refusal_reason::IdReused, "id_reused" },
        named_value<refusal_reason> { refusal_reason::NoHolder, "no_holder" },
        named_value<refusal_reason> { refusal_reason::ViewStale, "view_stale" },
        named_value<refusal_reason> { refusal_reason::LogUnavailable, "log_unavailable" },
        named_value<refusal_reason> { refusal_reason::Stopping, "stopping" },
        named_value<refusal_reason> { refusal_reason::HolderMoved, "holder_moved" },
        named_value<refusal_reason> { refusal_reason::HolderLost, "holder_lost" },
        named_value<refusal_reason> { refusal_reason::WorkerFailed, "worker_failed" },
        named_value<refusal_reason> { refusal_reason::WorkerLost, "worker_lost" },
        named_value<refusal_reason> { refusal_reason::StillWaiting, "still_waiting" },
        named_value<refusal_reason> { refusal_reason::NotFound, "not_found" },
    };

    template <typename Value, std::size_t Count>
    std::string_view nameOf(const std::array<named_value<Value>, Count>& names, Value value)
    {
        const auto* const found = std::ranges::find(names, value, &named_value<Value>::value);
        return found == names.end() ? std::string_view() : found->name;
    }

    template <typename Value, std::size_t Count>
    std::optional<Value> valueOf(const std::array<named_value<Value>, Count>& names, std::string_view name)
    {
        const auto* const found = std::ranges::find(names, name, &named_value<Value>::name);
        if (found == names.end())
            return std::nullopt;
        return found->value;
    }

}

outcome notRun(refusal_reason reason)
{
    return { .kind = outcome_kind::NotRun, .reason = reason };
}

outcome unknownOutcome(refusal_reason reason)
{
    return { .kind = outcome_kind::Unknown, .reason = reason };
}

outcome done(std::string answer)
{
    std::string digest = Common::contentDigest(answer);
    return { .kind = outcome_kind::Done, .answer = std::move(answer), .digest = std::move(digest) };
}

bool digestMatches(const outcome& result)
{
    return result.kind != outcome_kind::Done || Common::contentDigest(result.answer) == result.digest;
}

std::string_view toText(outcome_kind kind) { return nameOf(outcomeNames, kind); }

std::string_view toText(refusal_reason reason) { return nameOf(reasonNames, reason); }

std::optional<outcome_kind> parseOutcomeKind(std::string_view name) { return valueOf(outcomeNames, name); }

std::optional<refusal_reason> parseRefusalReason(std::string_view name) { return valueOf(reasonNames, name); }

}
