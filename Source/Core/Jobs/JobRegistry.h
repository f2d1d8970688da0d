#pragma once

#include "Jobs/JobNames.h"
#include "Jobs/StoredTasks.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// What the log has about one job.
struct known_job {
    /// Empty while only a cancellation or progress has been seen.
    std::optional<job_record> record;
    bool isCancelled { false };
    /// Memory that the job is counted with as long as it is open.
    std::size_t heldBytes { 0 };
    job_state state { job_state::Pending };
    /// A state was published, or progress stored.
    bool hasState { false };
    /// Lanes of its run numbers; empty as long as none is known.
    std::vector<int> lanes;
    /// Parts of its progress, by number.
    std::map<int, stored_tasks> parts;
};

/// All jobs in the log. Depends only on the records, not on the order in which the topics are read.
///
/// Records of earlier versions name a job by the caller's identifier alone. They count for the job that uses lane 0, or as
/// long as none is known to, for the job with that identifier that was accepted first.
class job_registry {
public:
    /// False when the job was already known.
    bool accept(job_record);
    /// False when the job was already cancelled.
    bool cancel(const Common::job_id&);
    /// Cancels the job that a caller with this scope names. As long as it isn't known, the cancellation is kept for it.
    /// Returns the job if it has been cancelled now and wasn't before.
    std::optional<Common::job_id> cancel(const Common::caller_job_id&, const caller_scope&);
    /// Whether this cancellation is kept for a job that isn't known.
    bool awaitsJob(const Common::caller_job_id&, const caller_scope&) const;
    /// Replaces one part of a job's progress. Part 0 has the state of the job.
    void advance(job_progress);
    /// Notes a published state. What is known of the job's tasks stays. False for a copy of a state that is known, under the
    /// caller's identifier alone.
    bool noteState(const Common::job_id&, job_state);
    /// Each job with its state, also those of which only progress is known.
    void visitStates(const std::function<void(const Common::job_id&, job_state)>&) const;
    /// Removes a job whose record is no longer in the log.
    void forget(const Common::job_id&);

    /// Null when the job's own record hasn't been read, even if its progress has.
    const job_record* find(const Common::job_id&) const;
    /// The job that a caller with this scope names.
    const job_record* find(const Common::caller_job_id&, const caller_scope&) const;
    bool isCancelled(const Common::job_id&) const;
    /// State and tasks of all parts of the progress. Takes memory for each task; see `visitProgress`.
    job_progress progressOf(const Common::job_id&) const;
    /// The parts of the progress, one after the other, each with the state of the job; one without tasks if none is stored.
    void visitProgress(const Common::job_id&, const std::function<void(const job_progress&)>&) const;
    /// Numbers of the parts that are stored.
    std::set<int> partsOf(const Common::job_id&) const;
    /// State to report to clients. Empty when the job isn't known.
    std::optional<job_state> stateOf(const Common::job_id&) const;
    /// The highest lane that other jobs with the same identifier of the caller use; -1 for none.
    int highestLaneOfOthers(const Common::job_id&) const;
    /// Number of the queue's jobs that haven't been started.
    int waitingIn(const Common::queue_id&) const;
    /// Jobs that aren't finished or cancelled, ordered by id.
    std::vector<Common::job_id> openJobs() const;
    /// Cancelled jobs whose final state isn't stored yet.
    std::vector<Common::job_id> cancelledJobs() const;
    /// Upper bound of the memory that the open jobs need.
    std::size_t openBytes() const { return m_openBytes; }
    /// Number of jobs, also those of which only progress or a cancellation is known.
    std::size_t size() const { return m_jobs.size() + m_unscoped.size(); }

private:
    using job_map = std::map<std::string, known_job>;

    /// The jobs with the caller's identifier.
    std::pair<job_map::const_iterator, job_map::const_iterator> namesakes(const Common::caller_job_id&) const;
    /// The job that records with the caller's identifier alone are about; the end if none is known.
    job_map::const_iterator ownerOf(const Common::caller_job_id&) const;
    /// Finds the job, also by the caller's identifier alone.
    job_map::const_iterator locate(const Common::job_id&) const;
    /// What records with the caller's identifier alone tell of the job; null if there is nothing.
    const known_job* unscopedOf(job_map::const_iterator) const;
    job_state progressStateOf(job_map::const_iterator) const;
    bool isCancelled(job_map::const_iterator) const;
    std::vector<Common::job_id> unfinished(bool wantsCancelled) const;
    void replacePart(known_job&, job_progress);
    /// Forgets what only the leader needs of jobs that aren't finished.
    void finish(known_job&);
    /// The job's own record has replaced this part.
    void dropUnscopedPart(const Common::caller_job_id&, int part);

    job_map m_jobs;
    /// What records of earlier versions tell, by the caller's identifier.
    std::unordered_map<std::string, known_job> m_unscoped;
    /// Cancellations of jobs that aren't known, by the caller's identifier.
    std::unordered_multimap<std::string, caller_scope> m_earlyCancellations;
    std::size_t m_openBytes { 0 };
};

}
