#pragma once

#include "Jobs/JobNames.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace Dispatch {

/// Jobs by the identifiers that their callers gave them, and the lanes of their run numbers.
class namesake_index {
public:
    /// Adds a job that uses these lanes, or else the next one that is free; returns its lanes. Lanes up to `highestTaken` are
    /// taken by jobs that aren't in the index.
    std::vector<int> add(const Common::job_id&, const std::vector<int>& lanes, int highestTaken);
    void remove(const Common::job_id&);
    /// Gives the job a lane above those of all others. Empty when it already has the highest.
    std::optional<int> raise(const Common::job_id&);
    /// The job to which a run with this number belongs. Empty when it isn't in the index.
    std::optional<Common::job_id> find(const Common::caller_job_id&, std::int64_t run) const;
    /// The other jobs with the same identifier of the caller.
    std::vector<Common::job_id> othersOf(const Common::job_id&) const;

private:
    struct namesake {
        Common::job_id job;
        std::vector<int> lanes;
    };
    struct group {
        std::vector<namesake> jobs;
        int highestLane { -1 };
    };

    std::unordered_map<std::string, group> m_groups;
};

}
