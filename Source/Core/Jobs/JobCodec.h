#pragma once

#include "Jobs/Job.h"

#include <optional>
#include <string>
#include <string_view>

/// Forms in which jobs stand in the platform's log.
namespace Jobs {

std::string encodeJob(const job_record&);
std::string encodeProgress(const job_progress&);

/// Empty when the bytes aren't a job of a known form.
std::optional<job_record> decodeJob(std::string_view bytes);
/// Empty when the bytes aren't the progress of a job.
std::optional<job_progress> decodeProgress(const Common::job_id&, std::string_view bytes);

}
