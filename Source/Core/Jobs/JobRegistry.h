#pragma once

#include "Jobs/Job.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// What the log has about one job.
struct known_job {
    /// Empty while only a cancellation or progress has been seen.
    std::optional<job_record> record;
    bool isCancelled { false };
    /// State of the job, and the first part of its progress.
    job_progress progress;
    /// Tasks of the other parts, by number.
    std::map<int, std::vector<task_progress>> laterParts;

    /// State and tasks of all parts.
    job_progress wholeProgress() const;
};

/// Queue and team of a call. An empty team, of the call or of the job, matches any.
struct caller_scope {
    Common::queue_id queue;
    Common::team_id team;

    bool covers(const job_record&) const;
    friend bool operator==(const caller_scope&, const caller_scope&) = default;
};

/// All jobs in the log. Depends only on the records, not on the order in which the two topics are read.
class job_registry {
public:
    /// False when the job was already known.
    bool accept(job_record);
    /// False when the job was already cancelled.
    bool cancel(const Common::job_id&);
    /// Cancels the job if the scope covers it. As long as the job isn't known, the cancellation is kept for it. True when
    /// a known job has been cancelled that wasn't before.
    bool cancel(const Common::job_id&, const caller_scope&);
    /// Whether this cancellation is kept for a job that isn't known.
    bool awaitsJob(const Common::job_id&, const caller_scope&) const;
    /// Replaces one part of a job's progress. The first one has the state of the job.
    void advance(job_progress, int part = 0);
    /// Notes a published state. What is known of the job's tasks stays.
    void noteState(const Common::job_id&, job_state);
    /// Each job with its state, also those of which only progress is known.
    void visitStates(const std::function<void(const Common::job_id&, job_state)>&) const;
    /// Removes a job whose record is no longer in the log.
    void forget(const Common::job_id&);

    /// Null when the job's own record hasn't been read, even if its progress has.
    const known_job* find(const Common::job_id&) const;
    /// State to report to clients. Empty when the job isn't known.
    std::optional<job_state> stateOf(const Common::job_id&) const;
    /// Number of the queue's jobs that haven't been started.
    int waitingIn(const Common::queue_id&) const;
    /// Jobs that aren't finished or cancelled, ordered by id.
    std::vector<Common::job_id> openJobs() const;
    /// Cancelled jobs whose final state isn't stored yet.
    std::vector<Common::job_id> cancelledJobs() const;
    std::size_t size() const { return m_jobs.size(); }

private:
    std::vector<Common::job_id> unfinished(bool isCancelled) const;

    std::unordered_map<std::string, known_job> m_jobs;
    /// Cancellations of jobs that aren't known, by job.
    std::unordered_multimap<std::string, caller_scope> m_earlyCancellations;
};

}
