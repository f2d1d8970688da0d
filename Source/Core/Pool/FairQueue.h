#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Requests/WorkRequest.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Pool {

/// Result of an attempt to start a waiting request.
enum class start_attempt {
    Started,
    /// The team has no free permit.
    NoPermit,
    /// No worker has room for this request.
    NoRoom
};

/// Weighted fair queue of one pool. The team with the least service per share goes next; within a team the
/// earliest deadline goes first, and later requests may use room that is too small for the first.
class fair_queue {
public:
    void setShare(const Common::team_id&, Common::share_weight);
    void add(const Requests::work_identity&, Common::instant deadline);
    void remove(const Requests::work_identity&);

    /// Calls `start` for waiting requests until no team can start any more. A started request leaves the queue;
    /// `start` charges its team.
    void startAll(const std::function<start_attempt(const Requests::work_identity&)>& start);

    /// Adds to the service that a team has received, in slot milliseconds; negative to correct an estimate.
    void charge(const Common::team_id&, double slotMillis);

    /// Waiting requests whose deadline has passed.
    std::vector<Requests::work_identity> overdue(Common::instant now) const;

    std::size_t waiting(const Common::team_id&) const;
    std::size_t waitingTotal() const { return m_deadlines.size(); }
    /// Teams that have ever had a share or a request here.
    std::vector<Common::team_id> teams() const;

private:
    struct entry {
        Common::instant deadline;
        Requests::work_identity identity;

        friend auto operator<=>(const entry&, const entry&) = default;
    };
    struct team_queue {
        double weight { 1 };
        /// Service received so far, in slot milliseconds divided by the weight.
        double service { 0 };
        std::set<entry> waiting;
    };

    /// Waiting requests of a team that are tried in one turn when the first ones don't fit.
    static constexpr int maxTriedPerTeam = 8;

    double minActiveService() const;
    start_attempt tryStartFrom(team_queue&, const std::function<start_attempt(const Requests::work_identity&)>&);

    std::map<Common::team_id, team_queue> m_teams;
    std::map<Requests::work_identity, Common::instant> m_deadlines;
};

}
