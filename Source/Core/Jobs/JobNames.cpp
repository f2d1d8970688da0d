#include "Jobs/JobNames.h"

#include "Common/Hashing.h"
#include "Common/JsonFields.h"

namespace Jobs {

namespace {

    constexpr char scopeSeparator = '@';

}

bool caller_scope::covers(const caller_scope& job) const
{
    return job.queue == queue && (job.team.empty() || team.empty() || job.team == team);
}

caller_scope scopeOf(const job_record& job) { return { .queue = job.queue, .team = job.team }; }

Common::job_id jobIdOf(const Common::caller_job_id& id, const caller_scope& scope)
{
    // Written as JSON, since the names may hold any character.
    return jobIdOf(id, Common::contentDigest(Common::writeJson({ { "queue", scope.queue }, { "team", scope.team } })));
}

Common::job_id jobIdOf(const Common::caller_job_id& id, std::string_view scopeDigest)
{
    return { id.value + scopeSeparator + std::string(scopeDigest) };
}

Common::caller_job_id callerIdOf(const Common::job_id& id) { return { id.value.substr(0, id.value.find(scopeSeparator)) }; }

std::string scopeDigestOf(const Common::job_id& id)
{
    const auto separator = id.value.find(scopeSeparator);
    return separator == std::string::npos ? std::string() : id.value.substr(separator + 1);
}

bool hasScope(const Common::job_id& id) { return id.value.find(scopeSeparator) != std::string::npos; }

}
