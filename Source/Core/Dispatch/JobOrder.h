#pragma once

#include "Dispatch/OpenJob.h"

#include <vector>

namespace Dispatch {

/// Open jobs of a pool: those with long-running tasks first, then by priority, deadline and id.
class job_order {
public:
    void insert(open_job&);
    void erase(const open_job&);
    const std::vector<open_job*>& jobs() const { return m_jobs; }

private:
    std::vector<open_job*> m_jobs;
};

}
