#include "Pool/WorkerRegistry.h"

#include <algorithm>

namespace Pool {

namespace {

    /// Newest results of a worker that are kept for ejection.
    constexpr std::size_t resultWindow = 8;
    /// Failures among them that are needed to eject the worker.
    constexpr std::ptrdiff_t minFailures = 4;
    /// Fraction of the kept results that must be failures to eject the worker.
    constexpr std::ptrdiff_t minFailureRatioNumerator = 3;
    constexpr std::ptrdiff_t minFailureRatioDenominator = 4;
    /// Different jobs among the failures that are needed, so that one faulty job ejects no worker.
    constexpr std::size_t minFailedJobs = 3;
    constexpr Common::millis ejectionTime { 5000 };
    /// At most one in this many workers of a pool is ejected.
    constexpr std::size_t workersPerEjection = 3;

    void add(Requests::resources& sum, const Requests::resources& part)
    {
        sum.cores += part.cores;
        sum.memory += part.memory;
        sum.accelerators += part.accelerators;
    }

    void subtract(Requests::resources& sum, const Requests::resources& part)
    {
        sum.cores -= part.cores;
        sum.memory -= part.memory;
        sum.accelerators -= part.accelerators;
    }

    double ratio(std::int64_t amount, std::int64_t whole)
    {
        return whole > 0 ? static_cast<double>(amount) / static_cast<double>(whole) : 0;
    }

}

void worker_registry::setWorkers(const std::vector<worker_info>& list)
{
    std::set<Common::instance_id> named;
    for (const worker_info& info : list) {
        named.insert(info.instance);
        m_workers[info.instance].info = info;
    }
    for (auto& [instance, entry] : m_workers) {
        if (!named.contains(instance))
            entry.info.open = false;
    }
    std::erase_if(m_workers, [&named](const auto& entry) {
        return !named.contains(entry.first) && entry.second.usedSlots.value == 0;
    });
}

void worker_registry::onReport(const Common::instance_id& instance, Requests::resources foreign,
    Common::slot_count foreignSlots, bool leaving)
{
    const auto found = m_workers.find(instance);
    if (found == m_workers.end())
        return;
    found->second.reported = true;
    found->second.foreign = foreign;
    found->second.foreignSlots = foreignSlots;
    found->second.leaving = leaving;
}

void worker_registry::onSilent(const Common::instance_id& instance)
{
    const auto found = m_workers.find(instance);
    if (found != m_workers.end())
        found->second.reported = false;
}

bool worker_registry::isUsable(const worker& entry)
{
    return entry.info.open && entry.reported && !entry.leaving;
}

bool worker_registry::hasRoom(const worker& entry, const Requests::resources& needs)
{
    if (entry.usedSlots + entry.foreignSlots >= entry.info.slots)
        return false;
    Requests::resources total = needs;
    add(total, entry.used);
    add(total, entry.foreign);
    return total.fitsIn(entry.info.capacity);
}

std::optional<Common::instance_id> worker_registry::choose(const Requests::resources& needs, bool idempotent,
    const std::set<Common::instance_id>& avoid, Common::instant now) const
{
    std::optional<Common::instance_id> best;
    double bestLoad = 0;
    for (const auto& [instance, entry] : m_workers) {
        if (!isUsable(entry) || !hasRoom(entry, needs) || avoid.contains(instance))
            continue;
        const bool isProbe = idempotent && entry.usedSlots.value == 0 && now >= entry.probeAt;
        if (entry.ejected && !isProbe)
            continue;
        // Accelerators are kept free for tasks that need them.
        const bool wastesAccelerators = needs.accelerators.value == 0 && entry.info.capacity.accelerators.value > 0;
        const double load = ratio((entry.usedSlots + entry.foreignSlots).value, entry.info.slots.value)
            + (wastesAccelerators ? 1 : 0);
        if (best && load >= bestLoad)
            continue;
        best = instance;
        bestLoad = load;
    }
    return best;
}

bool worker_registry::fitsAnyWorker(const Requests::resources& needs) const
{
    return std::ranges::any_of(
        m_workers, [&needs](const auto& entry) { return needs.fitsIn(entry.second.info.capacity); });
}

void worker_registry::allocate(const Common::instance_id& instance, const Requests::resources& needs)
{
    worker& entry = m_workers[instance];
    entry.usedSlots += { 1 };
    add(entry.used, needs);
}

void worker_registry::deallocate(const Common::instance_id& instance, const Requests::resources& needs)
{
    const auto found = m_workers.find(instance);
    if (found == m_workers.end())
        return;
    found->second.usedSlots -= { 1 };
    subtract(found->second.used, needs);
}

bool worker_registry::isOutlier(const worker& entry)
{
    std::set<std::string> failedJobs;
    std::ptrdiff_t failures = 0;
    for (const task_result& result : entry.results) {
        if (!result.failed)
            continue;
        ++failures;
        failedJobs.insert(result.job);
    }
    const bool mostFail = failures * minFailureRatioDenominator
        >= static_cast<std::ptrdiff_t>(entry.results.size()) * minFailureRatioNumerator;
    return failures >= minFailures && failedJobs.size() >= minFailedJobs && mostFail;
}

bool worker_registry::mayEject() const
{
    const auto ejected = static_cast<std::size_t>(
        std::ranges::count_if(m_workers, [](const auto& entry) { return entry.second.ejected; }));
    return (ejected + 1) * workersPerEjection <= m_workers.size();
}

void worker_registry::onResult(
    const Common::instance_id& instance, const std::string& job, bool failed, Common::instant now)
{
    const auto found = m_workers.find(instance);
    if (found == m_workers.end())
        return;
    worker& entry = found->second;
    entry.results.push_back({ .job = job, .failed = failed });
    if (entry.results.size() > resultWindow)
        entry.results.pop_front();
    if (!failed) {
        if (entry.ejected)
            entry.results.clear();
        entry.ejected = false;
        return;
    }
    if (!entry.ejected && !(isOutlier(entry) && mayEject()))
        return;
    entry.ejected = true;
    entry.probeAt = now + ejectionTime;
}

double worker_registry::slotsTaken(const Common::instance_id& instance, const Requests::resources& needs) const
{
    const auto found = m_workers.find(instance);
    if (found == m_workers.end())
        return 1;
    const worker_info& info = found->second.info;
    const double part = std::max({ ratio(needs.cores.value, info.capacity.cores.value),
        ratio(needs.memory.value, info.capacity.memory.value),
        ratio(needs.accelerators.value, info.capacity.accelerators.value) });
    return std::max(1.0, part * static_cast<double>(info.slots.value));
}

bool worker_registry::isEmpty(const Common::instance_id& instance) const
{
    const auto found = m_workers.find(instance);
    if (found == m_workers.end())
        return true;
    const worker& entry = found->second;
    return entry.reported && entry.usedSlots.value == 0 && entry.foreignSlots.value == 0;
}

bool worker_registry::isEjected(const Common::instance_id& instance) const
{
    const auto found = m_workers.find(instance);
    return found != m_workers.end() && found->second.ejected;
}

std::size_t worker_registry::usableWorkers() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_workers, [](const auto& entry) { return isUsable(entry.second); }));
}

}
