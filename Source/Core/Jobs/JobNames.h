#pragma once

#include "Jobs/Job.h"

#include <string>
#include <string_view>

/// A caller's identifier names a job together with the job's queue and team only. Within the system a job is therefore named
/// by `ID@SCOPE`, where SCOPE is a digest of queue and team. Workers and records of earlier versions have the caller's
/// identifier alone.
namespace Jobs {

/// Queue and team of a call or a job. An empty team, of the call or of the job, matches any.
struct caller_scope {
    Common::queue_id queue;
    Common::team_id team;

    bool covers(const caller_scope&) const;
    friend bool operator==(const caller_scope&, const caller_scope&) = default;
};

caller_scope scopeOf(const job_record&);
Common::job_id jobIdOf(const Common::caller_job_id&, const caller_scope&);
/// The job that the caller's identifier and a digest of a scope name.
Common::job_id jobIdOf(const Common::caller_job_id&, std::string_view scopeDigest);
Common::caller_job_id callerIdOf(const Common::job_id&);
/// Digest of queue and team; empty when only the caller's identifier is known.
std::string scopeDigestOf(const Common::job_id&);
bool hasScope(const Common::job_id&);

/// Jobs with the same identifier of the caller use run numbers of different lanes, so that a run number on a worker shows
/// which of them a task belongs to. The first one to start uses lane 0, like all jobs of earlier versions.
inline constexpr int runNumberBits = 40;
inline int laneOfRun(std::int64_t run) { return static_cast<int>(run >> runNumberBits); }
/// The first number of a lane, which no run has.
inline std::int64_t firstNumberOf(int lane) { return static_cast<std::int64_t>(lane) << runNumberBits; }

}
