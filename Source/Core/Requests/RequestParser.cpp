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
        std::size_t maxBytes;
        bool isId;
    };

    struct number_rule {
        const char* field;
        std::int64_t min;
        std::int64_t max;
    };

    /// Reads and checks fields of one JSON object. Only the first fault is kept.
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
            if (value.size() > rule.maxBytes)
                fail(request_fault_kind::TooLong, rule.field);
            if (rule.isId && !std::ranges::all_of(value, isIdCharacter))
                fail(request_fault_kind::BadCharacter, rule.field);
            if (rule.required && value.empty())
                fail(request_fault_kind::Missing, rule.field);
            return value;
        }

        bool flag(const char* field, bool defaultValue)
        {
            const auto found = m_object.find(field);
            if (found == m_object.end())
                return defaultValue;
            if (!found->is_boolean()) {
                fail(request_fault_kind::WrongType, field);
                return defaultValue;
            }
            return found->get<bool>();
        }

        std::int64_t number(const number_rule& rule, std::optional<std::int64_t> defaultValue)
        {
            const auto found = m_object.find(rule.field);
            if (found == m_object.end()) {
                if (!defaultValue)
                    fail(request_fault_kind::Missing, rule.field);
                return defaultValue.value_or(0);
            }
            if (!found->is_number_integer()) {
                fail(request_fault_kind::WrongType, rule.field);
                return 0;
            }
            const bool tooLarge = found->is_number_unsigned()
                && found->get<std::uint64_t>() > static_cast<std::uint64_t>(rule.max);
            const auto value = tooLarge ? rule.max : found->get<std::int64_t>();
            if (tooLarge || value < rule.min || value > rule.max)
                fail(request_fault_kind::OutOfRange, rule.field);
            return value;
        }

    private:
        static bool isIdCharacter(char character)
        {
            const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
            const bool isDigit = character >= '0' && character <= '9';
            return isLetter || isDigit || character == '-' || character == '_' || character == '.' || character == ':';
        }

        const json& m_object;
        request_fault& m_fault;
        bool m_failed { false };
    };

    void readIdentity(field_reader& reader, submission& result)
    {
        auto& identity = result.work.identity;
        identity.request.value = reader.text({ .field = "id", .required = true, .maxBytes = maxIdBytes, .isId = true });
        identity.queue.value = reader.text({ .field = "queue", .required = true, .maxBytes = maxIdBytes, .isId = true });
        identity.team.value = reader.text({ .field = "team", .required = false, .maxBytes = maxIdBytes, .isId = true });
        result.key = reader.text({ .field = "key", .required = false, .maxBytes = maxIdBytes, .isId = false });
    }

    void readNeeds(const json& object, field_reader& parent, request_fault& lastReason, resources& needs)
    {
        const auto found = object.find("needs");
        if (found == object.end())
            return;
        if (!found->is_object()) {
            parent.fail(request_fault_kind::WrongType, "needs");
            return;
        }
        request_fault nestedFault;
        field_reader reader(*found, nestedFault);
        reader.rejectUnknown(needsFields);
        needs.cores.value = reader.number({ .field = "cores", .min = 1, .max = maxCores }, 1);
        needs.memory.value = reader.number({ .field = "memoryMb", .min = 0, .max = maxMemoryMegabytes }, 0);
        needs.accelerators.value = reader.number({ .field = "accelerators", .min = 0, .max = maxAccelerators }, 0);
        if (reader.failed() && !parent.failed()) {
            parent.fail(nestedFault.kind, "needs." + nestedFault.field);
            lastReason = { .kind = nestedFault.kind, .field = "needs." + nestedFault.field };
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
    const auto maxDeadline = result.queued ? maxQueuedDeadline : maxWaitingDeadline;
    const auto deadline = reader.number({ .field = "deadlineMs", .min = 1, .max = maxDeadline.count() }, std::nullopt);
    result.work.remaining = Common::millis(deadline);
    result.work.payload = reader.text({ .field = "payload", .required = false, .maxBytes = maxPayloadBytes, .isId = false });
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
