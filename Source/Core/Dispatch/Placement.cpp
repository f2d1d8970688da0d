#include "Dispatch/Placement.h"

#include <algorithm>
#include <tuple>

namespace Dispatch {

namespace {

    bool hasLabel(const worker_state& worker, const std::string& label)
    {
        const auto& labels = worker.entry.labels;
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }

    bool hasRoom(const worker_state& worker, const placement_request& request)
    {
        auto amount = request.step->request;
        if (request.step->isBestEffort)
            amount.processor = {};
        if (!Jobs::fits(amount, worker.free()))
            return false;
        if (request.step->maxPerWorker <= 0 || !request.onWorker)
            return true;
        const auto found = request.onWorker->find(worker.entry.id);
        return found == request.onWorker->end() || found->second < request.step->maxPerWorker;
    }

    /// Lower is better. Long-running tasks are packed on few workers, so that others can leave the pool; best-effort
    /// tasks go where the most processor is spare.
    auto rank(const worker_state& worker, const placement_request& request)
    {
        const auto& step = *request.step;
        const bool isAvoided = worker.entry.id == request.avoided;
        const bool isFarFromData = !step.dataRack.empty() && worker.entry.rack != step.dataRack;
        const bool isOtherRack = !request.rack.empty() && worker.entry.rack != request.rack;
        const bool needsFreshWorker = step.isLongRunning && !step.isBestEffort && !worker.hasLongRunningRuns();
        const auto remaining = step.isBestEffort ? -worker.spareProcessor().value : worker.free().processor.value;
        return std::make_tuple(isAvoided, isFarFromData || isOtherRack, needsFreshWorker, remaining, worker.entry.id);
    }

}

bool isEligible(const worker_state& worker, const Jobs::step_spec& step)
{
    if (!step.requiredLabel.empty() && !hasLabel(worker, step.requiredLabel))
        return false;
    auto amount = step.request;
    if (step.isBestEffort)
        amount.processor = {};
    return Jobs::fits(amount, worker.entry.capacity);
}

worker_state* chooseWorker(
    const std::vector<worker_state*>& workers, const placement_request& request, std::int64_t& examined)
{
    worker_state* best = nullptr;
    examined += static_cast<std::int64_t>(workers.size());
    for (auto* worker : workers) {
        if (!isEligible(*worker, *request.step) || !hasRoom(*worker, request))
            continue;
        if (!best || rank(*worker, request) < rank(*best, request))
            best = worker;
    }
    return best;
}

}
