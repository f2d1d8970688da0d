#pragma once

#include "Jobs/Job.h"

#include <optional>
#include <string>
#include <string_view>

/// Encoding of jobs and their progress in the platform's log.
namespace Jobs {

std::string encodeJob(const job_record&);
std::string encodeProgress(const job_progress&);

/// Empty when the bytes aren't a valid job.
std::optional<job_record> decodeJob(std::string_view bytes);
/// Empty when the bytes aren't valid progress of a job. The identifier is that of the record's key; the progress may name the
/// scope of the job, too.
std::optional<job_progress> decodeProgress(const Common::job_id&, std::string_view bytes);

}
