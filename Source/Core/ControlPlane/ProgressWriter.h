#pragma once

#include "ControlPlane/JobFeeds.h"

#include <unordered_map>

namespace ControlPlane {

/// Turns the progress of jobs into records that the store takes, for one term. The progress of large jobs comes in parts.
class progress_writer {
public:
    progress_writer(const Jobs::job_registry& registry, const Records::store_limits& limits)
        : m_registry(registry)
        , m_limits(limits)
    {
    }

    /// Records that have to be stored, in this order, so that the log has the progress. Records that were returned before
    /// count as stored: the term ends if one of them isn't.
    std::vector<Records::keyed_record> write(const Jobs::job_progress&);

private:
    std::vector<Records::keyed_record> writeLast(const Jobs::job_progress&);
    /// The record of a part, without its longest checkpoints if it would be too long.
    Records::keyed_record fittingRecord(Jobs::job_progress) const;

    const Jobs::job_registry& m_registry;
    Records::store_limits m_limits;
    /// Numbers of the later parts that were written of each job that isn't finished.
    std::unordered_map<std::string, std::set<int>> m_written;
};

/// Divides records, in their order, into groups that fit one append each.
std::vector<std::vector<Records::keyed_record>> divideIntoAppends(
    std::vector<Records::keyed_record>, const Records::store_limits&);

}
