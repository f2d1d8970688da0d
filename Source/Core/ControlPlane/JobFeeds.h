#pragma once

#include "Capacity/WavePlanner.h"
#include "ControlPlane/LeaderCapacity.h"
#include "Jobs/JobRegistry.h"
#include "Records/PartitionReader.h"

#include <optional>
#include <unordered_map>

namespace ControlPlane {

/// Claim of leadership. Claims are numbered from 1.
struct claim_record {
    std::string member;
    std::int64_t number { 0 };
    /// Capacity of the claimer's instance.
    instance_capacity capacity;
    /// The claimer publishes the states of jobs. Earlier versions don't.
    bool publishesStates { false };
};

/// A candidate with more room asks the leader for a handover.
struct handover_request {
    std::string member;
    /// Number of the leader's claim.
    std::int64_t claim { 0 };
    instance_capacity capacity;
    /// Set only in requests that were read.
    Common::log_offset offset;
};

/// Records of the intake and progress topics.
Records::keyed_record jobRecord(const Jobs::job_record&);
/// Cancellation of a job, known or not: it cancels the job only if the scope covers it.
Records::keyed_record cancelRecord(const Common::caller_job_id&, const Jobs::caller_scope&);
/// Progress of a job, or one part of it. Part 0 has the key of the job, which is the caller's identifier for the job that
/// uses lane 0: earlier versions know no other.
Records::keyed_record progressRecord(const Jobs::job_progress&);
/// Deletes a part that isn't needed any more.
Records::keyed_record progressRemoval(const Jobs::job_progress&, int part);
Records::keyed_record claimRecord(const claim_record&);
/// Heartbeat of the leader with this claim.
Records::keyed_record heartbeatRecord(std::int64_t number);
/// Releases the claim with this number: its leader sends no more orders, and the log has all its placements. Other
/// candidates leave leadership to the successor for a limited time, if one is named.
Records::keyed_record releaseRecord(std::int64_t number, const std::string& successor = {});
Records::keyed_record handoverRecord(const handover_request&);
/// How much less often than usual the leader has found that instances should read, for those that start later.
Records::keyed_record stretchRecord(double stretch);
Records::keyed_record waveRecord(const Capacity::wave_status&);
Records::keyed_record stateRecord(const Common::job_id&, Jobs::job_state);

/// Notified of jobs as their records are read.
class job_listener {
public:
    virtual ~job_listener() = default;
    virtual void jobAccepted(const Common::job_id&) = 0;
    virtual void jobCancelled(const Common::job_id&) = 0;
};

/// Reads accepted jobs and cancellations into the registry.
class intake_feed : public Records::record_sink {
public:
    intake_feed(Jobs::job_registry&, job_listener&);

    // The registry only grows, so applying the newest records again changes nothing.
    void reset() override { }
    void apply(const Records::keyed_record&) override;

private:
    void applyCancellation(const Records::keyed_record&);

    Jobs::job_registry& m_jobRegistry;
    job_listener& m_listener;
};

/// Reads the progress of jobs and waves, and claims of leadership.
class progress_feed : public Records::record_sink {
public:
    explicit progress_feed(Jobs::job_registry&);

    void reset() override { }
    void apply(const Records::keyed_record&) override;
    /// The newest claim.
    const claim_record& claim() const { return m_claim; }
    /// Number of the newest claim that was released.
    std::int64_t released() const { return m_released; }
    /// The member that the newest release names; empty for none.
    const std::string& successor() const { return m_successor; }
    const std::map<std::int64_t, Capacity::wave_status>& waves() const { return m_waves; }
    /// Applies a claim or a release; false for any other record.
    bool applyLeadership(const Records::keyed_record&);

private:
    Jobs::job_registry& m_jobRegistry;
    claim_record m_claim;
    std::int64_t m_released { 0 };
    std::string m_successor;
    std::map<std::int64_t, Capacity::wave_status> m_waves;
};

/// Reads the states of jobs that leaders publish, and copies of claims and releases. Instances that don't lead follow
/// this instead of all progress.
class state_feed : public Records::record_sink {
public:
    state_feed(Jobs::job_registry&, progress_feed&);

    void reset() override { }
    void apply(const Records::keyed_record&) override;
    /// The state of the job that was published last; empty if none was.
    std::optional<Jobs::job_state> published(const Common::job_id&) const;

private:
    Jobs::job_registry& m_jobRegistry;
    progress_feed& m_leadership;
    std::unordered_map<std::string, Jobs::job_state> m_published;
};

/// Reads requests for a handover. They have a partition of their own, because an overloaded leader may be unable to read
/// all progress.
class handover_feed : public Records::record_sink {
public:
    void reset() override { }
    void apply(const Records::keyed_record&) override;
    /// The newest request, whatever claim it is about.
    const std::optional<handover_request>& request() const { return m_request; }
    /// The newest stretch of reads that a leader stored; 1 without one.
    double stretch() const { return m_stretch; }

private:
    double m_stretch { 1 };
    std::optional<handover_request> m_request;
};

}
