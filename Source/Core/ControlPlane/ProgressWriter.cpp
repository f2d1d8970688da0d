#include "ControlPlane/ProgressWriter.h"

#include "Common/Logging.h"

#include <algorithm>
#include <utility>

namespace ControlPlane {

std::vector<Records::keyed_record> progress_writer::write(const Jobs::job_progress& progress)
{
    if (Jobs::isFinal(progress.state))
        return writeLast(progress);
    if (progress.part > 0)
        m_written[progress.job.value].insert(progress.part);
    return { fittingRecord(progress) };
}

std::vector<Records::keyed_record> progress_writer::writeLast(const Jobs::job_progress& progress)
{
    auto parts = m_registry.partsOf(progress.job);
    if (const auto written = m_written.find(progress.job.value); written != m_written.end()) {
        parts.merge(written->second);
        m_written.erase(written);
    }
    parts.erase(0);
    std::vector<Records::keyed_record> records { progressRecord(progress) };
    for (const int number : parts)
        records.push_back(progressRemoval(progress, number));
    return records;
}

Records::keyed_record progress_writer::fittingRecord(Jobs::job_progress progress) const
{
    auto record = progressRecord(progress);
    while (Records::sizeInAppend(record) > m_limits.recordBytes) {
        const auto longest = std::max_element(progress.tasks.begin(), progress.tasks.end(),
            [](const auto& left, const auto& right) { return left.checkpoint.size() < right.checkpoint.size(); });
        if (longest == progress.tasks.end() || longest->checkpoint.empty())
            break;
        // A task without its checkpoint begins anew under the next leader, unless its worker lists the checkpoint.
        const auto limit = longest->checkpoint.size() / 2;
        for (auto& task : progress.tasks) {
            if (task.checkpoint.size() > limit)
                task.checkpoint.clear();
        }
        Common::writeEvent(Common::log_level::Warning, Common::log_category::Dispatch, "checkpoints_not_stored",
            { { "job", progress.job.value }, { "part", std::to_string(progress.part) }, { "longer_than", std::to_string(limit) } });
        record = progressRecord(progress);
    }
    return record;
}

std::vector<std::vector<Records::keyed_record>> divideIntoAppends(
    std::vector<Records::keyed_record> records, const Records::store_limits& limits)
{
    std::vector<std::vector<Records::keyed_record>> groups;
    std::size_t bytes = 0;
    for (auto& record : records) {
        const auto size = Records::sizeInAppend(record);
        if (groups.empty() || bytes + size > limits.appendBytes) {
            groups.emplace_back();
            bytes = 0;
        }
        bytes += size;
        groups.back().push_back(std::move(record));
    }
    return groups;
}

}
