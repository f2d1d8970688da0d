#include "Requests/RequestParser.h"

#include "Common/JsonFields.h"

#include <algorithm>
#include <array>
#include <span>

namespace Requests {

namespace {

    using Common::json;

    constexpr std::int64_t maxCores = 1024;
    constexpr std::int64_t maxMemoryMegabytes = 4 * 1024 * 1024;
    constexpr std::int64_t maxAccelerators = 64;

    constexpr std::array<std::string_view, 9> submissionFields {
        "id", "team", "key", "queue", "needs", "idempotent", "deadlineMs", "payload", "queued"
    };
    constexpr std::array<std::string_view, 4> referenceFields { "id", "team", "key", "queue" };
    constexpr std::array<std::string_view, 3> needsFields { "cores", "memoryMb", "accelerators" };

    struct text_rule {
        const char* field;
        bool required;
        std::size_t longest;
        bool plain;
    };

    struct number_rule {
        const char* field;
        std::int64_t lowest;
        std::int64_t highest;
    };

    /// Reads fields of one JSON object and keeps the first fault.
    class field_reader {
    public:
        field_reader(const json& object, request_fault& fault)
            : m_object(object)
            , m_fault(fault)
        {
        }

        bool failed() const { return m_failed; }

        void fail(request_fault_kind kind, std::string_view field)
        {
            if (m_failed)
                return;
            m_failed = true;
            m_fault = { .kind = kind, .field = std::string(field) };
        }

        void rejectUnknown(std::span<const std::string_view> known)
        {
            for (const auto& item : m_object.items()) {
                if (std::ranges::find(known, std::string_view(item.key())) == known.end())
                    fail(request_fault_kind::UnknownField, item.key().substr(0, maxIdBytes));
            }
        }

        std::string text(const text_rule& rule)
        {
            const auto found = m_object.find(rule.field);
            if (found == m_object.end()) {
                if (rule.required)
                    fail(request_fault_kind::Missing, rule.field);
                return {};
            }
            if (!found->is_string()) {
                fail(request_fault_kind::WrongType, rule.field);
                return {};
            }
            std::string value = found->get<std::string>();
            if (value.size() > rule.longest)
                fail(request_fault_kind::TooLong, rule.field);
            if (rule.plain && !std::ranges::all_of(value, isPlain))
                fail(request_fault_kind::BadCharacter, rule.field);
            if (rule.required && value.empty())
                fail(request_fault_kind::Missing, rule.field);
            return value;
        }

        bool flag(const char* field, bool otherwise)
        {
            const auto found = m_object.find(field);
            if (found == m_object.end())
                return otherwise;
            if (!found->is_boolean()) {
                fail(request_fault_kind::WrongType, field);
                return otherwise;
            }
            return found->get<bool>();
        }

        std::int64_t number(const number_rule& rule, std::optional<std::int64_t> otherwise)
        {
            const auto found = m_object.find(rule.field);
            if (found == m_object.end()) {
                if (!otherwise)
                    fail(request_fault_kind::Missing, rule.field);
                return otherwise.value_or(0);
            }
            if (!found->is_number_integer()) {
                fail(request_fault_kind::WrongType, rule.field);
                return 0;
            }
            const bool tooLarge = found->is_number_unsigned()
                && found->get<std::uint64_t>() > static_cast<std::uint64_t>(rule.highest);
            const auto value = tooLarge ? rule.highest : found->get<std::int64_t>();
            if (tooLarge || value < rule.lowest || value > rule.highest)
                fail(request_fault_kind::OutOfRange, rule.field);
            return value;
        }

    private:
        static bool isPlain(char character)
        {
            const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
            const bool digit = character >= '0' && character <= '9';
            return letter || digit || character == '-' || character == '_' || character == '.' || character == ':';
        }

        const json& m_object;
        request_fault& m_fault;
        bool m_failed { false };
    };

    void readIdentity(field_reader& reader, submission& result)
    {
        auto& identity = result.work.identity;
        identity.request.value = reader.text({ .field = "id", .required = true, .longest = maxIdBytes, .plain = true });
        identity.queue.value = reader.text({ .field = "queue", .required = true, .longest = maxIdBytes, .plain = true });
        identity.team.value = reader.text({ .field = "team", .required = false, .longest = maxIdBytes, .plain = true });
        result.key = reader.text({ .field = "key", .required = false, .longest = maxIdBytes, .plain = false });
    }

    void readNeeds(const json& object, field_reader& outer, request_fault& lastReason, resources& needs)
    {
        const auto found = object.find("needs");
        if (found == object.end())
            return;
        if (!found->is_object()) {
            outer.fail(request_fault_kind::WrongType, "needs");
            return;
        }
        request_fault innerFault;
        field_reader reader(*found, innerFault);
        reader.rejectUnknown(needsFields);
        needs.cores.value = reader.number({ .field = "cores", .lowest = 1, .highest = maxCores }, 1);
        needs.memory.value = reader.number({ .field = "memoryMb", .lowest = 0, .highest = maxMemoryMegabytes }, 0);
        needs.accelerators.value = reader.number({ .field = "accelerators", .lowest = 0, .highest = maxAccelerators }, 0);
        if (reader.failed() && !outer.failed()) {
            outer.fail(innerFault.kind, "needs." + innerFault.field);
            lastReason = { .kind = innerFault.kind, .field = "needs." + innerFault.field };
        }
    }

    std::optional<json> parseObject(std::string_view body, request_fault& lastReason)
    {
        auto parsed = Common::parseJson(body);
        if (!parsed || !parsed->is_object()) {
            lastReason = { .kind = request_fault_kind::NotJson };
            return std::nullopt;
        }
        return parsed;
    }

}

std::string_view toText(request_fault_kind kind)
{
    switch (kind) {
    case request_fault_kind::NotJson:
        return "not_json";
    case request_fault_kind::Missing:
        return "missing";
    case request_fault_kind::WrongType:
        return "wrong_type";
    case request_fault_kind::TooLong:
        return "too_long";
    case request_fault_kind::OutOfRange:
        return "out_of_range";
    case request_fault_kind::BadCharacter:
        return "bad_character";
    case request_fault_kind::UnknownField:
        break;
    }
    return "unknown_field";
}

std::optional<submission> parseSubmission(std::string_view body, request_fault& lastReason)
{
    const auto object = parseObject(body, lastReason);
    if (!object)
        return std::nullopt;
    submission result;
    field_reader reader(*object, lastReason);
    reader.rejectUnknown(submissionFields);
    readIdentity(reader, result);
    readNeeds(*object, reader, lastReason, result.work.needs);
    result.work.idempotent = reader.flag("idempotent", false);
    result.queued = reader.flag("queued", false);
    const auto longest = result.queued ? maxQueuedDeadline : maxWaitingDeadline;
    const auto deadline = reader.number({ .field = "deadlineMs", .lowest = 1, .highest = longest.count() }, std::nullopt);
    result.work.remaining = Common::millis(deadline);
    result.work.payload = reader.text({ .field = "payload", .required = false, .longest = maxPayloadBytes, .plain = false });
    if (reader.failed())
        return std::nullopt;
    return result;
}

std::optional<submission> parseReference(std::string_view body, request_fault& lastReason)
{
    const auto object = parseObject(body, lastReason);
    if (!object)
        return std::nullopt;
    submission result;
    field_reader reader(*object, lastReason);
    reader.rejectUnknown(referenceFields);
    readIdentity(reader, result);
    if (reader.failed())
        return std::nullopt;
    return result;
}

}
