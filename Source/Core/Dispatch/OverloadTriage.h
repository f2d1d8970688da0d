#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Dispatch {

/// Work of tasks: millicores times milliseconds.
using processor_work = Common::quantity<struct processor_work_tag>;

/// A job that can still meet its deadline, as the triage sees it.
struct triage_job {
    Common::team_id team;
    /// 0 is the highest.
    int priority { 0 };
    Common::wall_millis dueAt;
    /// Expected work of the tasks that aren't done.
    processor_work left;
    /// Expected work of the whole job.
    processor_work total;
    /// The job was postponed at the last triage.
    bool wasPostponed { false };
};

/// What a team may use of the pool.
struct triage_share {
    double weight { 1 };
    /// Most that its tasks may use at the same time, over all pools; 0 for no limit. Of this pool's jobs no more can be
    /// finished than it allows.
    Common::millicores limit;
};

struct triage_input {
    /// In order of their deadlines, those with the same deadline in any fixed order.
    std::vector<triage_job> jobs;
    std::map<Common::team_id, triage_share> shares;
    /// What the pool's workers offer to the jobs.
    Common::millicores capacity;
    /// Work that is left of what runs for other jobs.
    processor_work occupied;
    Common::wall_millis now;
};

/// Which jobs to postpone, by their position in the input.
///
/// The pattern of load that it answers: more work is due than the pool can finish. In order of deadlines each job then
/// waits behind others that are late as well, so that all miss by a little. Without the postponed jobs, the pool's processors
/// can do the work of the others in time. Among those that delay a job too much, the triage postpones first
/// - jobs of the lowest priority;
/// - of the team that would use most for its weight, so that the flood of one team delays that team's own jobs;
/// - the job that brings its caller least for the work that is left: a caller's loss has a part that is the same for each job
///   and a part that grows with its work, and work that was done is lost with it;
/// - no size of job much more often than others, so that large jobs aren't postponed for ever.
/// Nothing is postponed while all can be finished.
std::vector<std::size_t> chooseJobsToPostpone(const triage_input&);

}
