#include "Jobs/HeldBytes.h"

#include <algorithm>

namespace Jobs {

namespace {

    /// The registry and the dispatcher have a copy of the record each.
    constexpr std::size_t copies = 2;
    constexpr std::size_t bytesPerJob = 4096;
    /// Of a step in a record, without its texts.
    constexpr std::size_t bytesPerStep = 256;
    /// Of a step in an occurrence that is open, with what the order of jobs notes of it.
    constexpr std::size_t bytesPerOpenStep = 512;
    /// Of a part of the progress whose tasks are done.
    constexpr std::size_t bytesPerPart = 512;

}

int maxOpenOccurrences(const job_spec& spec)
{
    const auto limit = std::max(1, maxOpenSteps / std::max(1, static_cast<int>(spec.steps.size())));
    return std::min(limit, std::max(1, spec.repetitions));
}

std::size_t heldBytes(const job_record& job)
{
    const auto& steps = job.spec.steps;
    std::size_t record = job.spec.payload.size() + job.id.value.size() + job.queue.value.size() + job.team.value.size();
    for (const auto& step : steps)
        record += bytesPerStep + step.dependsOn.size() * sizeof(int) + step.requiredLabel.size() + step.dataRack.value.size()
            + step.image.size();
    const auto openSteps = steps.size() * static_cast<std::size_t>(maxOpenOccurrences(job.spec));
    const auto parts = static_cast<std::size_t>(progress_division(job.spec).partCount());
    return bytesPerJob + copies * record + openSteps * bytesPerOpenStep + parts * bytesPerPart;
}

}
