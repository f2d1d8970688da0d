#pragma once

#include "ControlPlane/JobFeeds.h"
#include "Records/PartitionReader.h"

#include <memory>

namespace ControlPlane {

struct election_options {
    /// Unique to each start of the process.
    std::string member;
    /// Candidates with more room claim sooner.
    instance_capacity capacity;
    Records::topic_partition progressTopic;
    /// Writer name that all leaders use.
    std::string writer;
    /// Null for the usual times.
    const Records::read_pacing* pacing { nullptr };
};

/// Why a candidate can't start a term yet.
enum class term_obstacle {
    None,
    NoRules,
    WorkersNotRead,
    JobsNotRead,
    /// The last term had to be ended before it started; others may be able to lead.
    TermAbandoned
};

/// A term won by a claim.
struct won_election {
    std::int64_t token { 0 };
    std::int64_t number { 1 };
};

/// Leader election through the store. Claims leadership when the records of the present leader stop or it has released
/// leadership. The store accepts the claim of one candidate only.
class leader_election : public std::enable_shared_from_this<leader_election> {
public:
    leader_election(Records::record_store&, Records::timer_service&, const election_options&,
        Records::partition_reader& progress, const progress_feed& feed);

    /// `findObstacle` is asked before each claim; without it, a term can always be started.
    void start(std::function<void(won_election)> onElected, std::function<term_obstacle()> findObstacle = {});
    /// A record of this term is stored, by an append that began at `began`: for some time after `began`, no other
    /// candidate can claim leadership.
    void confirm(Common::instant began);
    Dispatch::leadership_status status() const;
    /// Another instance leads, and has stored a record a moment ago.
    bool isLeaderActive() const;
    /// A leader has stored something since this instance began to follow the progress.
    bool hasSeenLeader() const { return m_hasSeenLeader; }
    /// It would claim leadership if that was vacant.
    bool isCandidate() const { return m_state == election_state::Standby && !m_hasWithdrawn; }
    /// The newest request for a handover: its candidate may claim soon.
    void noteRequest(const handover_request& request) { m_request = request; }
    /// Gives up leadership or an open claim. May claim again.
    void returnToStandby();
    /// Makes no further claims.
    void withdraw();

private:
    enum class election_state {
        Standby,
        Claiming,
        Leading
    };

    void watch();
    /// Notes whether the leader has stored anything since the last call.
    void noteRecords(Common::instant now);
    /// Follows only the end of the progress while the leader is active and publishes the states of jobs: what the leader
    /// has stored is read when it falls silent, before its leadership counts as vacant.
    void chooseFollowing(Common::instant now);
    bool isVacant() const;
    /// A time of the election, longer on an instance that doesn't take over first.
    Common::millis patient(Common::millis) const;
    bool isClaimDue(Common::instant now);
    /// Time without records of the leader after which leadership may be claimed.
    Common::millis vacancyTime() const;
    /// Time that this candidate leaves to others after that, and after it could first start a term.
    Common::millis standbyTime() const;
    bool isNamedSuccessor() const;
    const char* claimReason() const;
    void logObstacle();
    void probe();
    void claim();
    void sendClaim();
    void onClaim(const Records::append_result&, Common::log_offset at, std::int64_t number, Common::instant began);

    void becomeLeader(const won_election&, Common::instant began);

    Records::record_store& m_store;
    Records::timer_service& m_timers;
    election_options m_options;
    Records::partition_reader& m_progress;
    const progress_feed& m_feed;
    std::function<void(won_election)> m_onElected;
    std::function<term_obstacle()> m_findObstacle;
    term_obstacle m_obstacle { term_obstacle::None };
    term_obstacle m_loggedObstacle { term_obstacle::None };
    Common::instant m_obstructedUntil;
    election_state m_state { election_state::Standby };
    const char* m_claimReason { "" };
    bool m_hasWithdrawn { false };
    bool m_isProbing { false };
    /// The store has confirmed that nothing new was stored since `m_quietSince`.
    bool m_isProbed { false };
    Common::log_offset m_lastEnd;
    std::optional<handover_request> m_request;
    Common::instant m_quietSince;
    bool m_hasSeenLeader { false };
    /// The leader has stored something since it was last suspected to have failed.
    bool m_hasLeaderStored { false };
    Common::instant m_confirmedUntil;
};

}
