#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Requests/WorkRequest.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Pool {

/// What became of an attempt to start a waiting request.
enum class start_attempt {
    Started,
    /// The team has no free permit.
    NoPermit,
    /// No worker has room for this request.
    NoRoom
};

/// Waiting requests of one pool. Teams take turns by the service they had, weighted by share; within
/// a team the earliest deadline goes first, and later requests fill room that the first can't use.
class share_queue {
public:
    void setShare(const Common::team_id&, Common::share_weight);
    void add(const Requests::work_identity&, Common::instant deadline);
    void remove(const Requests::work_identity&);

    /// Tries waiting requests in turn until no team can start anything more. A started request leaves
    /// the queue; `start` then charges its team.
    void startAll(const std::function<start_attempt(const Requests::work_identity&)>& start);

    /// Adds service to a team's account, in slot milliseconds; negative to correct an estimate.
    void charge(const Common::team_id&, double slotMillis);

    /// Waiting requests whose deadline has passed.
    std::vector<Requests::work_identity> overdue(Common::instant now) const;

    std::size_t waiting(const Common::team_id&) const;
    std::size_t waitingTotal() const { return m_deadlines.size(); }
    /// Teams that were ever seen here.
    std::vector<Common::team_id> teams() const;

private:
    struct entry {
        Common::instant deadline;
        Requests::work_identity identity;

        friend auto operator<=>(const entry&, const entry&) = default;
    };
    struct team_line {
        double weight { 1 };
        /// Service had so far, divided by the weight.
        double service { 0 };
        std::set<entry> waiting;
    };

    /// Waiting requests of one team that are tried when the first doesn't fit.
    static constexpr int triedPerTeam = 8;

    double leastActiveService() const;
    start_attempt tryTeam(team_line&, const std::function<start_attempt(const Requests::work_identity&)>&);

    std::map<Common::team_id, team_line> m_teams;
    std::map<Requests::work_identity, Common::instant> m_deadlines;
};

}
