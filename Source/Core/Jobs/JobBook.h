#pragma once

#include "Jobs/Job.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// One job as the log tells of it.
struct booked_job {
    /// Empty while only a cancellation or progress has been seen.
    std::optional<job_record> record;
    bool isCancelled { false };
    job_progress progress;
};

/// All jobs of the log: a pure function of its records, whatever the order of the two topics.
class job_book {
public:
    /// False when the job was known.
    bool accept(job_record);
    void cancel(const Common::job_id&);
    void advance(job_progress);
    /// Drops a job whose record the log no longer keeps.
    void forget(const Common::job_id&);

    /// Null when the job isn't known. A job of which only progress has been seen isn't known yet.
    const booked_job* find(const Common::job_id&) const;
    /// State to show to callers. Empty when the job isn't known.
    std::optional<job_state> stateOf(const Common::job_id&) const;
    /// Jobs of a queue of which no task has begun.
    int waitingIn(const Common::queue_id&) const;
    /// Jobs that aren't over, in the order of their ids.
    std::vector<Common::job_id> openJobs() const;
    /// Cancelled jobs whose end isn't stored yet.
    std::vector<Common::job_id> cancelledJobs() const;
    std::size_t size() const { return m_jobs.size(); }

private:
    std::vector<Common::job_id> unfinished(bool isCancelled) const;

    std::unordered_map<std::string, booked_job> m_jobs;
};

}
