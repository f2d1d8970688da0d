#pragma once

#include "ControlPlane/JobFeeds.h"

#include <unordered_map>

namespace ControlPlane {

/// Turns the progress of jobs into records that the store takes, for one term. Large jobs are written in parts, of which only
/// those that have changed are returned.
class progress_writer {
public:
    progress_writer(const Jobs::job_registry& registry, const Records::store_limits& limits)
        : m_registry(registry)
        , m_limits(limits)
    {
    }

    /// Records that have to be stored, in this order, so that the log has the progress. Records that were returned before
    /// count as stored: the term ends if one of them isn't.
    std::vector<Records::keyed_record> write(const Jobs::job_spec&, const Jobs::job_progress&);

private:
    /// Digests of the parts of a large job that were returned last.
    using part_digests = std::map<int, std::string>;

    std::vector<Records::keyed_record> writeLast(const Jobs::job_progress&);
    /// The record of a part, without its longest checkpoints if it would be too long.
    Records::keyed_record fittingRecord(Jobs::job_progress, int part) const;

    const Jobs::job_registry& m_registry;
    Records::store_limits m_limits;
    std::unordered_map<std::string, part_digests> m_written;
};

/// Divides records, in their order, into groups that fit one append each.
std::vector<std::vector<Records::keyed_record>> divideIntoAppends(
    std::vector<Records::keyed_record>, const Records::store_limits&);

}
