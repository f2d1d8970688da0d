#include "Dispatch/OverloadTriage.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>

namespace Dispatch {

namespace {

    /// Part of a caller's loss that is the same for each job; the rest grows with the job's work.
    constexpr double fixedLoss = 0.3;
    /// A job that was postponed is taken back only if it is worth this much more than the one that would give way to it.
    constexpr double returnThreshold = 1.2;
    /// Jobs of one size are postponed at most this many times as often as all jobs.
    constexpr double maxSizeBias = 1.5;
    /// Sizes are compared with the mean; these are the bounds between them.
    constexpr std::array<double, 3> sizeBounds { 0.5, 1, 2 };
    constexpr std::size_t sizes = sizeBounds.size() + 1;

    class triage {
    public:
        explicit triage(const triage_input& input)
            : m_input(input)
        {
            double sum = 0;
            for (const auto& job : input.jobs)
                sum += asDouble(job.total);
            m_kept = asDouble(input.occupied);
            m_mean = std::max(1.0, sum / static_cast<double>(std::max<std::size_t>(1, input.jobs.size())));
        }

        std::vector<std::size_t> choose()
        {
            for (std::size_t index = 0; index < m_input.jobs.size(); ++index) {
                const auto& job = m_input.jobs[index];
                add(index);
                // What others occupy makes this job late; postponing earlier ones wouldn't help.
                if (asDouble(m_input.occupied) >= workUntil(job.dueAt, m_input.capacity)) {
                    postpone(index);
                    continue;
                }
                while (isTeamOverLimit(job))
                    postpone(findLoserOf(m_teams[job.priority][job.team]));
                while (m_kept > workUntil(job.dueAt, m_input.capacity)) {
                    const auto loser = findLoser();
                    if (!loser)
                        break;
                    postpone(*loser);
                }
            }
            std::sort(m_postponed.begin(), m_postponed.end());
            return m_postponed;
        }

    private:
        /// A kept job: of those that are worth the same, the last one loses first.
        struct kept_job {
            double worth { 0 };
            std::size_t index { 0 };

            friend bool operator<(const kept_job& left, const kept_job& right)
            {
                return left.worth != right.worth ? left.worth < right.worth : left.index > right.index;
            }
        };
        struct team_state {
            double kept { 0 };
            std::size_t count { 0 };
            /// The kept jobs of each size, the one that loses first at the beginning.
            std::array<std::set<kept_job>, sizes> jobs;
        };

        static double asDouble(processor_work work) { return static_cast<double>(work.value); }

        /// What the processors can do until then.
        double workUntil(Common::wall_millis due, Common::millicores processors) const
        {
            const auto time = std::max<std::int64_t>(0, due.value - m_input.now.value);
            return static_cast<double>(processors.value) * static_cast<double>(time);
        }

        /// Whether the team's limit keeps it from finishing in time what is kept of it, whatever room the pool has.
        bool isTeamOverLimit(const triage_job& job) const
        {
            const auto share = m_input.shares.find(job.team);
            if (share == m_input.shares.end() || share->second.limit.value <= 0)
                return false;
            const auto& team = m_teams.at(job.priority).at(job.team);
            return team.count > 0 && team.kept > workUntil(job.dueAt, share->second.limit);
        }

        std::size_t sizeOf(std::size_t index) const
        {
            const auto relative = asDouble(m_input.jobs[index].total) / m_mean;
            return static_cast<std::size_t>(
                std::lower_bound(sizeBounds.begin(), sizeBounds.end(), relative) - sizeBounds.begin());
        }

        /// What the caller loses with the job, for the work that is left.
        double worth(std::size_t index) const
        {
            const auto& job = m_input.jobs[index];
            const auto loss = fixedLoss + (1 - fixedLoss) * asDouble(job.total) / m_mean;
            const auto perWork = loss / std::max(1.0, asDouble(job.left)) * m_mean;
            return job.wasPostponed ? perWork / returnThreshold : perWork;
        }

        void add(std::size_t index)
        {
            const auto& job = m_input.jobs[index];
            auto& team = m_teams[job.priority][job.team];
            team.kept += asDouble(job.left);
            ++team.count;
            m_worths.push_back(worth(index));
            team.jobs[sizeOf(index)].insert({ m_worths[index], index });
            m_kept += asDouble(job.left);
            ++m_seen;
            ++m_seenOfSize[sizeOf(index)];
        }

        double weightOf(const Common::team_id& team) const
        {
            const auto found = m_input.shares.find(team);
            return found == m_input.shares.end() ? 1 : std::max(found->second.weight, 1e-6);
        }

        bool isSizeSpent(std::size_t size) const
        {
            const auto share = static_cast<double>(m_postponed.size() + 1) / static_cast<double>(m_seen);
            const auto ofSize = static_cast<double>(m_postponedOfSize[size] + 1) / static_cast<double>(m_seenOfSize[size]);
            // The first of each size is never too much.
            return m_postponedOfSize[size] > 0 && ofSize > maxSizeBias * share;
        }

        /// The kept job that costs least; empty when none is left.
        std::optional<std::size_t> findLoser() const
        {
            for (auto priority = m_teams.rbegin(); priority != m_teams.rend(); ++priority) {
                const team_state* largest = nullptr;
                double most = 0;
                for (const auto& [id, team] : priority->second) {
                    const auto use = team.kept / weightOf(id);
                    if (team.count > 0 && (!largest || use > most)) {
                        largest = &team;
                        most = use;
                    }
                }
                if (!largest)
                    continue;
                return findLoserOf(*largest);
            }
            return {};
        }

        /// The team has a kept job.
        std::size_t findLoserOf(const team_state& team) const
        {
            std::optional<kept_job> least;
            std::optional<kept_job> leastOfAll;
            for (std::size_t size = 0; size < sizes; ++size) {
                if (team.jobs[size].empty())
                    continue;
                const auto& first = *team.jobs[size].begin();
                if (!leastOfAll || first < *leastOfAll)
                    leastOfAll = first;
                if (!isSizeSpent(size) && (!least || first < *least))
                    least = first;
            }
            return least ? least->index : leastOfAll->index;
        }

        void postpone(std::size_t index)
        {
            const auto& job = m_input.jobs[index];
            auto& team = m_teams[job.priority][job.team];
            team.kept -= asDouble(job.left);
            --team.count;
            team.jobs[sizeOf(index)].erase({ m_worths[index], index });
            m_kept -= asDouble(job.left);
            ++m_postponedOfSize[sizeOf(index)];
            m_postponed.push_back(index);
        }

        const triage_input& m_input;
        double m_mean { 1 };
        double m_kept { 0 };
        std::size_t m_seen { 0 };
        std::array<std::size_t, sizes> m_seenOfSize {};
        std::array<std::size_t, sizes> m_postponedOfSize {};
        std::map<int, std::map<Common::team_id, team_state>> m_teams;
        std::vector<double> m_worths;
        std::vector<std::size_t> m_postponed;
    };

}

std::vector<std::size_t> chooseJobsToPostpone(const triage_input& input) { return triage(input).choose(); }

}
