#pragma once

#include "Jobs/Job.h"

#include <vector>

namespace Jobs {

/// Tasks of a part of a job's progress. Consecutive tasks of a step that are done take the memory of one.
class stored_tasks {
public:
    stored_tasks() = default;
    explicit stored_tasks(std::vector<task_progress>);

    std::vector<task_progress> all() const;
    bool empty() const { return m_rows.empty(); }

private:
    struct row {
        task_progress first;
        /// Index of the last task; all of several are done.
        int last { 0 };
    };

    std::vector<row> m_rows;
};

}
