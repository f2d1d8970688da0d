#pragma once

#include "Dispatch/Orders.h"

#include <array>
#include <map>

namespace Dispatch {

enum class run_phase {
    /// The start is sent once the log has the placement.
    Planned,
    /// An earlier leader placed it there; the worker hasn't reported yet.
    Inherited,
    /// The start was sent and hasn't been answered.
    Starting,
    Running,
    /// To be stopped; counts as running until the worker reports its end.
    Stopping
};
constexpr std::size_t runPhases = static_cast<std::size_t>(run_phase::Stopping) + 1;

/// One run of a task on a worker, until its end is known.
struct task_run {
    run_number run;
    run_phase phase { run_phase::Starting };
    Jobs::resources request;
    Common::team_id team;
    bool isLongRunning { false };
    bool isBestEffort { false };
    /// Nothing is known of the job, so `request` is empty.
    bool isSizeUnknown { false };
    /// The log has the placement.
    bool isLogged { false };
    /// A start order may have reached the worker.
    bool isSent { true };
    /// A worker has confirmed that the task began.
    bool hasBegun { false };
    /// This leader has seen it begin, at `startedAt`.
    bool hasSeenStart { false };
    /// The present incarnation of the worker has listed the run.
    bool isListed { false };
    Common::instant startedAt;
    /// When the last stop order was sent, and when the worker accepted one.
    std::optional<Common::instant> stopSentAt;
    std::optional<Common::instant> stopAcceptedAt;
    bool isStopInFlight { false };
    int percent { 0 };
    Common::instant progressedAt;
    std::int64_t load { 0 };
    int pace { 100 };
};

/// Tasks that started within this time before a crash may be its cause.
constexpr Common::millis startCrashWindow { 400 };

/// A worker on which a suspected job has just started, or is to start, gets no starts of other jobs, so that a crash shows
/// whether that job causes it.
struct worker_probation {
    Common::job_id job;
    Common::instant until;
};

/// By then everything that the lease covers has ended, however slow the worker's clock is.
Common::instant latestLeaseEnd(Common::instant grantedAt, Common::millis lease);

/// What the leader knows about one incarnation of a worker.
class worker_state {
public:
    explicit worker_state(worker_entry);

    worker_entry entry;
    /// Whether the registration of this incarnation is known and holds; others get no new work.
    bool isRegistered { true };
    /// Has answered a poll under our fencing token, so orders of an earlier leader can't start anything there.
    bool hasReported { false };
    /// Has listed all its ends at least once since then, so those of runs that an earlier leader started are known.
    bool hasListedAllEnds { false };
    /// The last list of ends was cut.
    bool isEndListCut { false };
    /// Gets no new work, since its instance is about to be moved or maintained.
    bool isCordoned { false };
    /// Was cordoned while it answered, so that its end isn't taken for a crash.
    bool isEndPlanned { false };
    bool isPollInFlight { false };
    Common::instant firstSeenAt;
    /// When this incarnation first registered or answered.
    Common::instant incarnationKnownSince;
    Common::instant nextPollAt;
    /// When the last answer to a poll arrived.
    Common::instant reportedAt;
    Common::instant suspectedUntil;
    /// When an order or poll first had no answer since the last answered poll.
    std::optional<Common::instant> failedAt;
    /// Nothing that this leader or an earlier one ordered there runs after this time.
    Common::instant leaseExpiryBound;
    /// Whether it was last logged that nothing that an earlier leader ordered runs there unnoticed.
    bool isNotedAsReconciled { false };
    /// Number of the last ended run that the worker reported, and of the last one whose end is in the log.
    end_number seenEnd;
    end_number storedEnd;
    /// Failed tasks since the last one that succeeded.
    int failuresInRow { 0 };
    int unansweredPolls { 0 };
    std::map<Jobs::task_name, task_run> runs;

    /// The last probation, which may be over.
    std::optional<worker_probation> probation;
    /// When a run last began or was planned, and its job.
    Common::instant lastStartAt;
    Common::job_id lastStartJob;

    /// Whether its end was announced, so that it isn't taken for a crash.
    bool isEndExpected() const { return entry.isDraining || isEndPlanned; }
    bool isOnProbation(Common::instant now) const { return probation && now < probation->until; }
    /// Whether a start of the job would follow a start of another job by less than `time`.
    bool hasJustStartedOther(const Common::job_id& job, Common::millis time, Common::instant now) const;
    worker_incarnation incarnation() const { return { .worker = entry.id, .startedAt = entry.incarnationStartedAt }; }
    worker_address recipient() const
    {
        return { .id = entry.id, .address = entry.address, .incarnationStartedAt = entry.incarnationStartedAt };
    }
    void learnClock(worker_millis, Common::instant receivedAt);
    bool knowsClock() const { return m_clock.has_value(); }
    /// The worker's clock at `now`, if it runs like ours. It may have fallen behind this by `clockLag`.
    worker_millis clockAt(Common::instant now) const;
    Common::millis clockLag(Common::instant now) const;
    /// Advances `leaseExpiryBound`: leases may have been granted that last for `lease` from `now`.
    void noteLease(Common::instant now, Common::millis lease);
    /// Deadline for an order that grants `lease` from `now`; also advances `leaseExpiryBound`.
    worker_millis grantLease(Common::instant now, Common::millis lease, const worker_bounds&);
    /// To be called with each registration of the same incarnation.
    void updateEntry(worker_entry);
    /// Discards the state of the earlier incarnation.
    void beginIncarnation(worker_entry);

    /// How much the capacity has shrunk below the largest that this incarnation had.
    Jobs::resources lostCapacity() const { return m_fullCapacity - entry.capacity; }
    Jobs::resources used() const { return m_used; }
    Jobs::resources free() const;
    /// Whether the runs no longer fit, since the capacity has shrunk.
    bool isOverCapacity() const { return !Jobs::fits({}, free()); }
    /// Processor that further best-effort tasks may use: capacity less all requests.
    Common::millicores spareProcessor() const;
    task_run& addRun(const Jobs::task_name&, const task_run&);
    void removeRun(const Jobs::task_name&);
    /// `run` is one of `runs`.
    void setPhase(task_run& run, run_phase);
    /// Whether any run is in the phase.
    bool hasRunsIn(run_phase phase) const { return m_runsInPhase[static_cast<std::size_t>(phase)] > 0; }
    /// Whether there is a run that may take any part of the capacity.
    bool hasRunsOfUnknownSize() const { return m_runsOfUnknownSize > 0; }
    bool hasBestEffortRuns() const { return m_bestEffortRuns > 0; }
    /// Whether a long-running or a best-effort task runs here.
    bool hasLongRunningRuns() const { return m_longRunningRuns > 0; }

private:
    struct clock_reading {
        worker_millis clock;
        Common::instant at;
    };

    /// What a run takes from the worker's capacity; best-effort tasks take no processor.
    static Jobs::resources charge(const task_run&);
    /// Adds the run to the counts, or removes it from them.
    void count(const task_run&, int change);

    std::optional<clock_reading> m_clock;
    Jobs::resources m_fullCapacity;
    Jobs::resources m_used;
    std::array<int, runPhases> m_runsInPhase {};
    int m_longRunningRuns { 0 };
    int m_bestEffortRuns { 0 };
    int m_runsOfUnknownSize { 0 };
    /// Processor that best-effort tasks request.
    Common::millicores m_bestEffortProcessor;
};

/// Durations of the leases that a leader grants to runs on workers.
struct lease_options {
    /// Granted with each poll.
    Common::millis lease { 3000 };
    /// Granted with each start: one that arrives later is refused, and the poll after it renews the lease.
    Common::millis startLease { 1200 };
    /// Longest lease, granted while the store doesn't answer so that tasks survive an outage of it. A new leader
    /// assumes that its predecessor granted this much.
    Common::millis maxLease { 9500 };
    /// Below this, nothing is started and no lease renewed.
    Common::millis minLease { 1500 };
};

}
