#pragma once

#include "ControlPlane/LeaderCapacity.h"

#include <optional>
#include <string>

namespace ControlPlane {

/// Whether leadership should move from an instance with the room of `leader`. Both can't be true of each other, so
/// leadership never moves back.
bool isClearlyLarger(leader_room candidate, leader_room leader);

/// What a candidate sees when it considers a handover.
struct handover_view {
    /// Number of the newest claim.
    std::int64_t claim { 0 };
    leader_room own;
    leader_room leader;
    /// It could start a term at once.
    bool canStartTerm { false };
    /// The leader stored a record a moment ago.
    bool isLeaderActive { false };
    /// The newest request for a handover by the leader with this claim, of any candidate.
    std::optional<Common::log_offset> newestRequest;
};

/// Decides when a candidate asks a leader with much less room for a handover.
class handover_candidate {
public:
    explicit handover_candidate(std::string member);

    /// Whether to ask now; counts as asked.
    bool isRequestDue(const handover_view&, Common::instant now);

private:
    std::string m_member;
    /// Claim for which the conditions have held since they were last checked.
    std::optional<std::int64_t> m_claim;
    std::optional<Common::log_offset> m_newestRequest;
    Common::instant m_nextRequestAt;
};

enum class handover_answer {
    Agreed,
    NotLarger,
    /// The term is too young, or an earlier handover has just failed.
    TooSoon,
    /// The store doesn't confirm leadership at present.
    NotConfirmed,
    PlacementsNotLogged,
    /// The instance manager has unanswered orders: the leader sends no more, and waits for the answers.
    OrdersOpen
};

const char* toText(handover_answer);

/// What the leader knows when it is asked for a handover.
struct handover_leader {
    leader_room room;
    Common::millis termAge { 0 };
    /// Its term began because the successor that the previous leader had named didn't claim.
    bool followsFailedHandover { false };
    bool isConfirmed { false };
    bool arePlacementsLogged { false };
    bool hasOpenOrders { false };
};

handover_answer answerHandover(leader_room candidate, const handover_leader&);

}
