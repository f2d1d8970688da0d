#include "Dispatch/Placement.h"

#include <algorithm>
#include <utility>

namespace Dispatch {

namespace {

    /// Requests that are remembered as ruled out; the memory of a pass stays bounded.
    constexpr std::size_t maxRuledOut = 64;

    bool hasLabel(const worker_state& worker, const std::string& label)
    {
        const auto& labels = worker.entry.labels;
        return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    }

    /// Best-effort tasks reserve no processor.
    Jobs::resources reservedBy(const Jobs::step_spec& step)
    {
        auto amount = step.request;
        if (step.isBestEffort)
            amount.processor = {};
        return amount;
    }

    /// Whether the worker's probation, or the suspicion of the job, allows the start.
    bool isAllowedBySuspicion(const worker_state& worker, const placement_request& request)
    {
        if (worker.isOnProbation(request.now) && worker.probation->job != request.job)
            return false;
        return !request.isSuspect || !worker.hasJustStartedOther(request.job, startCrashWindow, request.now);
    }

    /// Whether the workers with the least free processor aren't always preferred.
    bool hasPreference(const placement_request& request)
    {
        const auto& step = *request.step;
        return step.isLongRunning || step.isBestEffort || !step.dataRack.empty() || !request.rack.empty()
            || !request.avoided.empty() || request.isSuspect;
    }

}

step_request requestOf(const Jobs::step_spec& step)
{
    return { .amount = reservedBy(step), .requiredLabel = step.requiredLabel };
}

/// Lower is better. Long-running tasks are packed on few workers, so that others can leave the pool; best-effort tasks
/// go where the most processor is spare.
struct placement_index::slot_rank {
    bool isAvoided { false };
    bool isInOtherRack { false };
    bool needsFreshWorker { false };
    std::int64_t remaining { 0 };
    std::size_t slot { 0 };

    friend auto operator<=>(const slot_rank&, const slot_rank&) = default;
};

placement_index::placement_index(const std::vector<worker_state*>& workers)
{
    m_slots.reserve(workers.size());
    m_order.reserve(workers.size());
    for (auto* worker : workers) {
        m_order.push_back({ .processor = worker->free().processor.value, .slot = m_slots.size() });
        m_slots.push_back({ .worker = worker, .free = worker->free() });
    }
    std::sort(m_order.begin(), m_order.end());
}

bool placement_index::isRuledOut(const Jobs::resources& amount, const std::string& requiredLabel) const
{
    return std::any_of(m_ruledOut.begin(), m_ruledOut.end(), [&](const auto& known) {
        return Jobs::fits(known.amount, amount)
            && (known.requiredLabel.empty() || known.requiredLabel == requiredLabel);
    });
}

bool placement_index::isRuledOut(const Jobs::step_spec& step) const
{
    return isRuledOut(reservedBy(step), step.requiredLabel);
}

void placement_index::ruleOut(const step_request& request)
{
    std::erase_if(m_ruledOut, [&request](const auto& known) {
        return (request.requiredLabel.empty() || known.requiredLabel == request.requiredLabel)
            && Jobs::fits(request.amount, known.amount);
    });
    if (m_ruledOut.size() >= maxRuledOut)
        return;
    m_ruledOut.push_back(request);
    ++m_ruledOutCount;
}

bool placement_index::mayRun(const slot& slot, const step_request& request)
{
    return Jobs::fits(request.amount, slot.free) && hasLabel(*slot.worker, request.requiredLabel);
}

std::vector<placement_index::order_key>::const_iterator placement_index::firstWith(Common::millicores processor) const
{
    return std::lower_bound(m_order.begin(), m_order.end(), order_key { .processor = processor.value });
}

bool placement_index::hasRoomFor(const step_request& request)
{
    if (isRuledOut(request))
        return false;
    for (auto key = firstWith(request.amount.processor); key != m_order.end(); ++key) {
        ++m_workersExamined;
        if (mayRun(m_slots[key->slot], request))
            return true;
    }
    ruleOut(request);
    return false;
}

bool placement_index::isWithinLimit(const slot& slot, const placement_request& request) const
{
    if (request.step->maxPerWorker <= 0 || !request.onWorker)
        return true;
    const auto found = request.onWorker->find(slot.worker->entry.id);
    return found == request.onWorker->end() || found->second < request.step->maxPerWorker;
}

placement_index::slot_rank placement_index::rankOf(std::size_t index, const placement_request& request) const
{
    const auto& slot = m_slots[index];
    const auto& step = *request.step;
    const auto& worker = slot.current();
    const bool isFarFromData = !step.dataRack.empty() && worker.entry.rack != step.dataRack;
    const bool isOtherRack = !request.rack.empty() && worker.entry.rack != request.rack;
    return { .isAvoided = worker.entry.id == request.avoided,
        .isInOtherRack = isFarFromData || isOtherRack,
        .needsFreshWorker = step.isLongRunning && !step.isBestEffort && !worker.hasLongRunningRuns(),
        .remaining = step.isBestEffort ? -worker.spareProcessor().value : slot.free.processor.value,
        .slot = index };
}

worker_state* placement_index::choose(const placement_request& request)
{
    const auto needed = requestOf(*request.step);
    if (isRuledOut(needed))
        return nullptr;
    const bool isFirstBest = !hasPreference(request);
    bool hasRoom = false;
    std::optional<slot_rank> best;
    for (auto key = firstWith(needed.amount.processor); key != m_order.end(); ++key) {
        ++m_workersExamined;
        const auto& slot = m_slots[key->slot];
        if (!mayRun(slot, needed))
            continue;
        hasRoom = true;
        if (!isWithinLimit(slot, request) || request.excluded.contains(slot.worker->entry.id))
            continue;
        if (!isAllowedBySuspicion(slot.current(), request))
            continue;
        const auto rank = rankOf(key->slot, request);
        if (!best || rank < *best)
            best = rank;
        if (isFirstBest)
            break;
    }
    // What doesn't fit during a trial may fit after it.
    if (!hasRoom && m_trialSlots.empty())
        ruleOut(needed);
    return best ? m_slots[best->slot].worker : nullptr;
}

worker_state* placement_index::chooseForProbation(const placement_request& request)
{
    const auto needed = requestOf(*request.step);
    worker_state* best = nullptr;
    for (auto key = firstWith(needed.amount.processor); key != m_order.end(); ++key) {
        const auto& slot = m_slots[key->slot];
        const bool isFree
            = !slot.worker->isOnProbation(request.now) && !request.excluded.contains(slot.worker->entry.id);
        if (isFree && mayRun(slot, needed) && (!best || slot.worker->runs.size() < best->runs.size()))
            best = slot.worker;
    }
    return best;
}

std::size_t placement_index::slotOf(const worker_state& worker) const
{
    const auto found = std::lower_bound(m_slots.begin(), m_slots.end(), worker.entry.id,
        [](const auto& slot, const auto& id) { return slot.worker->entry.id < id; });
    return static_cast<std::size_t>(found - m_slots.begin());
}

void placement_index::reorder(std::size_t index)
{
    auto& slot = m_slots[index];
    const order_key from { .processor = slot.free.processor.value, .slot = index };
    const auto free = slot.current().free();
    // A new run replaces an old one of the same task, which may have used more.
    if (!Jobs::fits(free, slot.free))
        m_ruledOut.clear();
    slot.free = free;
    const order_key to { .processor = slot.free.processor.value, .slot = index };
    const auto old = std::lower_bound(m_order.begin(), m_order.end(), from);
    const auto target = std::lower_bound(m_order.begin(), m_order.end(), to);
    if (target <= old) {
        std::rotate(target, old, old + 1);
        *target = to;
    } else {
        std::rotate(old, old + 1, target);
        *(target - 1) = to;
    }
}

void placement_index::update(const worker_state& worker) { reorder(slotOf(worker)); }

void placement_index::tryRun(const worker_state& worker, const Jobs::task_name& name, const task_run& run)
{
    const auto index = slotOf(worker);
    auto& slot = m_slots[index];
    if (!slot.trial) {
        slot.trial = std::make_unique<worker_state>(*slot.worker);
        m_trialSlots.push_back(index);
    }
    slot.trial->addRun(name, run);
    reorder(index);
}

void placement_index::endTrial()
{
    // What was ruled out before the trial still is.
    const auto ruledOut = std::exchange(m_ruledOut, {});
    for (const auto index : m_trialSlots) {
        m_slots[index].trial.reset();
        reorder(index);
    }
    m_trialSlots.clear();
    m_ruledOut = ruledOut;
}

}
