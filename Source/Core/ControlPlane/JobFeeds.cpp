#include "ControlPlane/JobFeeds.h"

#include "Common/Hashing.h"
#include "Common/JsonFields.h"
#include "Common/Logging.h"
#include "Jobs/JobCodec.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ControlPlane {

namespace {

    /// Precedes the job's identifier in the key of its cancellation.
    constexpr char cancelPrefix = '~';
    /// Precedes the digest of the scope in that key, if the cancellation has one.
    constexpr char scopeSeparator = '~';
    /// Separates the job's identifier from the number of the part in the key of a later part of its progress.
    constexpr char partSeparator = '#';
    constexpr auto claimKey = "@holder";
    constexpr auto releaseKey = "@released";
    constexpr auto handoverKey = "@handover";
    constexpr auto stretchKey = "@stretch";
    constexpr auto heartbeatKey = "@sign";
    constexpr std::string_view wavePrefix = "@wave/";

    void reportUnreadable(const char* what, const Records::keyed_record& record)
    {
        Common::writeEvent(Common::log_level::Error, Common::log_category::Store, "record_unreadable",
            { { "what", what }, { "key", record.key }, { "offset", std::to_string(record.offset.value) } });
    }

    void writeCapacity(Common::json& object, const instance_capacity& capacity)
    {
        object["millicores"] = capacity.processor.value;
        object["megabits"] = capacity.link.value;
    }

    /// 1, the usual intervals, if it can't be read.
    double readStretch(const std::string& text)
    {
        double stretch = 1;
        std::from_chars(text.data(), text.data() + text.size(), stretch);
        return std::max(1.0, stretch);
    }

    instance_capacity readCapacity(const Common::json& object)
    {
        const instance_capacity unknown;
        return { .processor = { object.value("millicores", unknown.processor.value) },
            .link = { object.value("megabits", unknown.link.value) } };
    }

    /// Empty when the text isn't JSON or `read` finds a field missing or of another type.
    template <typename Read>
    auto readValue(const std::string& value, Read read) -> std::optional<decltype(read(Common::json()))>
    {
        const auto parsed = Common::parseJson(value);
        if (!parsed)
            return std::nullopt;
        try {
            return read(*parsed);
        } catch (const Common::json::exception&) {
            return std::nullopt;
        }
    }

    std::optional<Jobs::caller_scope> decodeScope(const std::string& value)
    {
        return readValue(value, [](const Common::json& in) {
            return Jobs::caller_scope { .queue = in.at("queue").get<Common::queue_id>(),
                .team = in.at("team").get<Common::team_id>() };
        });
    }

    std::string progressKey(const Jobs::job_progress& progress, int part)
    {
        const auto& job = progress.job;
        auto key = Jobs::usesCallerKey(progress) ? Jobs::callerIdOf(job).value : job.value;
        return part == 0 ? key : key + partSeparator + std::to_string(part);
    }

    struct progress_key {
        Common::job_id job;
        int part { 0 };
    };

    std::optional<progress_key> readProgressKey(const std::string& key)
    {
        const auto separator = key.find(partSeparator);
        if (separator == std::string::npos)
            return progress_key { .job = { key } };
        progress_key read { .job = { key.substr(0, separator) } };
        const auto* end = key.data() + key.size();
        const auto number = std::from_chars(key.data() + separator + 1, end, read.part);
        const bool isNumber = number.ec == std::errc() && number.ptr == end && read.part > 0;
        return isNumber ? std::optional(read) : std::nullopt;
    }

    std::optional<claim_record> decodeClaim(const std::string& value)
    {
        return readValue(value, [](const Common::json& in) {
            return claim_record { .member = in.at("member").get<std::string>(),
                .number = in.at("number").get<std::int64_t>(),
                .capacity = readCapacity(in),
                .publishesStates = in.value("states", false) };
        });
    }

    struct release_record {
        std::int64_t number { 0 };
        std::string successor;
    };

    std::optional<release_record> decodeRelease(const std::string& value)
    {
        return readValue(value, [](const Common::json& in) {
            return release_record { .number = in.at("number").get<std::int64_t>(),
                .successor = Common::textField(in, "successor") };
        });
    }

    std::optional<handover_request> decodeHandover(const std::string& value)
    {
        return readValue(value, [](const Common::json& in) {
            return handover_request { .member = in.at("member").get<std::string>(),
                .claim = in.at("claim").get<std::int64_t>(),
                .capacity = readCapacity(in),
                .offset = {} };
        });
    }

    /// A state is written as its number, one digit.
    std::optional<Jobs::job_state> decodeState(std::string_view value)
    {
        constexpr int last = static_cast<int>(Jobs::job_state::Cancelled);
        if (value.size() != 1 || value.front() < '0' || value.front() > '0' + last)
            return std::nullopt;
        return static_cast<Jobs::job_state>(value.front() - '0');
    }

    std::optional<Capacity::wave_status> decodeWave(const std::string& value)
    {
        return readValue(value, [](const Common::json& in) {
            Capacity::wave_status status;
            status.wave = in.at("wave").get<std::int64_t>();
            status.isCompleted = in.at("over").get<bool>();
            for (const auto& id : in.at("begun"))
                status.begun.insert(id.get<Common::instance_id>());
            return status;
        });
    }

}

Records::keyed_record jobRecord(const Jobs::job_record& job)
{
    return { .key = job.id.value, .value = Jobs::encodeJob(job) };
}

Records::keyed_record cancelRecord(const Common::caller_job_id& id, const Jobs::caller_scope& scope)
{
    auto value = Common::writeJson({ { "queue", scope.queue }, { "team", scope.team } });
    // Each scope has a key of its own, because only the newest record of a key outlasts the history.
    auto key = cancelPrefix + id.value + scopeSeparator + Common::contentDigest(value);
    return { .key = std::move(key), .value = std::move(value) };
}

Records::keyed_record progressRecord(const Jobs::job_progress& progress)
{
    return { .key = progressKey(progress, progress.part), .value = Jobs::encodeProgress(progress) };
}

Records::keyed_record progressRemoval(const Jobs::job_progress& progress, int part)
{
    return { .key = progressKey(progress, part) };
}

Records::keyed_record claimRecord(const claim_record& claim)
{
    Common::json object { { "member", claim.member }, { "number", claim.number } };
    writeCapacity(object, claim.capacity);
    if (claim.publishesStates)
        object["states"] = true;
    return { .key = claimKey, .value = Common::writeJson(object) };
}

Records::keyed_record heartbeatRecord(std::int64_t number)
{
    return { .key = heartbeatKey, .value = std::to_string(number) };
}

Records::keyed_record releaseRecord(std::int64_t number, const std::string& successor)
{
    return { .key = releaseKey, .value = Common::writeJson({ { "number", number }, { "successor", successor } }) };
}

Records::keyed_record stretchRecord(double stretch)
{
    return { .key = stretchKey, .value = std::to_string(stretch) };
}

Records::keyed_record handoverRecord(const handover_request& request)
{
    Common::json object { { "member", request.member }, { "claim", request.claim } };
    writeCapacity(object, request.capacity);
    return { .key = handoverKey, .value = Common::writeJson(object) };
}

Records::keyed_record waveRecord(const Capacity::wave_status& status)
{
    return { .key = std::string(wavePrefix) + std::to_string(status.wave),
        .value = Common::writeJson({ { "wave", status.wave }, { "over", status.isCompleted },
            { "begun", std::vector<Common::instance_id>(status.begun.begin(), status.begun.end()) } }) };
}

Records::keyed_record stateRecord(const Common::job_id& id, Jobs::job_state state)
{
    return { .key = id.value, .value = std::to_string(static_cast<int>(state)) };
}

intake_feed::intake_feed(Jobs::job_registry& jobRegistry, job_listener& listener)
    : m_jobRegistry(jobRegistry)
    , m_listener(listener)
{
}

void intake_feed::applyCancellation(const Records::keyed_record& record)
{
    if (record.value.empty())
        return;
    const auto idEnd = record.key.find(scopeSeparator, 1);
    if (idEnd == std::string::npos) {
        const Common::job_id id { record.key.substr(1) };
        const bool isNew = m_jobRegistry.cancel(id);
        if (const auto* job = m_jobRegistry.find(id); isNew && job)
            m_listener.jobCancelled(job->id);
        return;
    }
    const auto scope = decodeScope(record.value);
    if (!scope)
        reportUnreadable("cancellation", record);
    else if (const auto job = m_jobRegistry.cancel({ record.key.substr(1, idEnd - 1) }, *scope))
        m_listener.jobCancelled(*job);
}

void intake_feed::apply(const Records::keyed_record& record)
{
    if (record.key.starts_with(cancelPrefix)) {
        applyCancellation(record);
        return;
    }
    if (record.value.empty()) {
        m_jobRegistry.forget({ record.key });
        return;
    }
    auto job = Jobs::decodeJob(record.value);
    if (!job) {
        reportUnreadable("job", record);
        return;
    }
    const auto id = job->id;
    if (m_jobRegistry.accept(std::move(*job)))
        m_listener.jobAccepted(id);
}

progress_feed::progress_feed(Jobs::job_registry& jobRegistry)
    : m_jobRegistry(jobRegistry)
{
}

bool progress_feed::applyLeadership(const Records::keyed_record& record)
{
    if (record.key == claimKey) {
        auto claim = decodeClaim(record.value);
        if (!claim)
            reportUnreadable("claim", record);
        // A copy of an earlier claim may be read later.
        else if (claim->number >= m_claim.number)
            m_claim = std::move(*claim);
        return true;
    }
    if (record.key == releaseKey) {
        auto release = decodeRelease(record.value);
        if (!release) {
            reportUnreadable("release", record);
        } else if (release->number > m_released) {
            m_released = release->number;
            m_successor = std::move(release->successor);
        }
        return true;
    }
    return false;
}

void progress_feed::apply(const Records::keyed_record& record)
{
    if (applyLeadership(record))
        return;
    if (record.value.empty() || record.key == heartbeatKey)
        return;
    if (record.key.starts_with(wavePrefix)) {
        if (const auto status = decodeWave(record.value))
            m_waves[status->wave] = *status;
        else
            reportUnreadable("wave", record);
        return;
    }
    const auto key = readProgressKey(record.key);
    auto progress = key ? Jobs::decodeProgress(key->job, record.value) : std::nullopt;
    if (!progress) {
        reportUnreadable("progress", record);
        return;
    }
    progress->part = key->part;
    m_jobRegistry.advance(std::move(*progress));
}

state_feed::state_feed(Jobs::job_registry& jobRegistry, progress_feed& leadership)
    : m_jobRegistry(jobRegistry)
    , m_leadership(leadership)
{
}

void state_feed::apply(const Records::keyed_record& record)
{
    if (m_leadership.applyLeadership(record) || record.value.empty())
        return;
    const auto state = decodeState(record.value);
    if (!state) {
        reportUnreadable("state", record);
        return;
    }
    const Common::job_id id { record.key };
    if (!m_jobRegistry.noteState(id, *state))
        return;
    if (Jobs::hasScope(id))
        m_published.erase(Jobs::callerIdOf(id).value);
    m_published[record.key] = *state;
}

std::optional<Jobs::job_state> state_feed::published(const Common::job_id& id) const
{
    auto found = m_published.find(id.value);
    if (found == m_published.end())
        found = m_published.find(Jobs::callerIdOf(id).value);
    return found == m_published.end() ? std::nullopt : std::optional(found->second);
}

void handover_feed::apply(const Records::keyed_record& record)
{
    if (record.key == stretchKey) {
        m_stretch = readStretch(record.value);
        return;
    }
    if (record.key != handoverKey)
        return;
    auto request = decodeHandover(record.value);
    if (!request) {
        reportUnreadable("handover", record);
        return;
    }
    request->offset = record.offset;
    m_request = std::move(*request);
}

}
