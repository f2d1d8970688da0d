#include "SimulatedNode.h"

namespace {

/// A node is in touch when nothing has disrupted it for this time.
constexpr Common::millis contactTime { 3000 };
/// A task that lasts runs again this long after its last run at the latest.
constexpr Common::millis restartTime { 6000 };
constexpr std::uint64_t maxCrashDelayMillis = 300;
constexpr std::uint64_t minOutageMillis = 1000;
constexpr std::uint64_t maxOutageMillis = 4000;
/// Interval at which workers renew their registrations; they expire after three of these without one.
constexpr std::uint64_t heartbeatMillis = 1000;
/// Average number of steps between two changes of a worker's capacity.
constexpr std::uint64_t stepsPerCapacityChange = 40;

}

void cluster_simulation::publish(const std::string& id)
{
    m_registrations[id] = worker(id).entry();
    for (const auto& [number, node] : m_nodes)
        node->workerRegistered(m_registrations[id]);
}

void cluster_simulation::noteDisruption(int node, Common::millis duration)
{
    auto& until = m_disruptedUntil[node];
    until = std::max(until, m_timers.now() + duration);
}

bool cluster_simulation::isInTouch(int node) const
{
    const auto found = m_disruptedUntil.find(node);
    return found == m_disruptedUntil.end() || m_timers.now() >= found->second + contactTime;
}

void cluster_simulation::drawCrash(const std::string& id, const Jobs::task_name& task, Dispatch::run_number run)
{
    if (draw(2) == 0)
        worker(id).setLosesAnswers(true);
    const Common::millis delay { static_cast<std::int64_t>(draw(maxCrashDelayMillis + 1)) };
    m_timers.after(delay, [this, id, task, run, incarnation = worker(id).currentIncarnation()] {
        auto& target = worker(id);
        target.tick();
        if (!target.isUp() || target.currentIncarnation() != incarnation)
            return;
        if (target.isRunning(task, run))
            crashUnder(id, task);
        else
            target.setLosesAnswers(false);
    });
}

void cluster_simulation::crashUnder(const std::string& id, const Jobs::task_name& task)
{
    m_crashes.causedCrash(task);
    noteLostRuns(id);
    const auto duration = minOutageMillis + draw(maxOutageMillis - minOutageMillis + 1);
    worker(id).crash({ .duration = Common::millis(static_cast<std::int64_t>(duration)), .refusesConnections = draw(2) == 0 });
    expireRegistrationLater(id);
}

void cluster_simulation::noteLostRuns(const std::string& id)
{
    worker(id).tick();
    for (const auto& [task, workers] : m_running) {
        if (workers.contains(id))
            m_crashes.wasLost(task);
    }
}

void cluster_simulation::expireRegistrationLater(const std::string& id)
{
    const auto sinceHeartbeat = draw(heartbeatMillis);
    const Common::millis delay { static_cast<std::int64_t>(3 * heartbeatMillis - sinceHeartbeat) };
    m_timers.after(delay, [this, id, incarnation = worker(id).currentIncarnation()] {
        if (worker(id).isUp() || worker(id).currentIncarnation() != incarnation)
            return;
        m_registrations.erase(id);
        for (const auto& [number, node] : m_nodes)
            node->workerUnregistered(id);
    });
}

void cluster_simulation::onWorkerRestarted(const std::string& id)
{
    const Common::millis delay { static_cast<std::int64_t>(draw(heartbeatMillis)) };
    m_timers.after(delay, [this, id, incarnation = worker(id).currentIncarnation()] {
        if (worker(id).isUp() && worker(id).currentIncarnation() == incarnation)
            publish(id);
    });
}

void cluster_simulation::varyCapacity()
{
    if (draw(stepsPerCapacityChange) != 0)
        return;
    const auto id = 'w' + std::to_string(draw(static_cast<std::uint64_t>(m_options.workers)));
    setSlots(id, static_cast<int>(1 + draw(simulated_worker::maxSlots)));
}

void cluster_simulation::setSlots(const std::string& id, int slots)
{
    if (!worker(id).isUp())
        return;
    worker(id).setSlots(slots);
    m_capacityReports[id].push_back({ m_timers.now(), slots });
    publish(id);
}

void cluster_simulation::checkCapacity(const std::string& id, const std::string& text)
{
    const auto& reports = m_capacityReports[id];
    const auto windowStart = m_sender.sentAt - m_options.capacityWindow;
    int bound = simulated_worker::maxSlots;
    for (auto report = reports.rbegin(); report != reports.rend(); ++report) {
        if (report->at > m_sender.sentAt)
            continue;
        bound = std::min(bound, report->slots);
        if (report->at <= windowStart)
            break;
    }
    ++m_checkedStarts;
    if (worker(id).runCount() <= bound)
        return;
    report(text + " brings the worker to " + std::to_string(worker(id).runCount()) + " requests, over the "
        + std::to_string(bound) + " that it reported");
}

std::string cluster_simulation::checkAtWork(const Common::job_id& id) const
{
    for (int index = 0; index < m_longRunningJobs.at(id); ++index) {
        const Jobs::task_name task { .job = id, .index = index };
        const auto running = m_running.find(task);
        const auto ended = m_lastEnds.find(task);
        const bool isRunning = running != m_running.end() && !running->second.empty();
        const bool hasJustEnded = ended != m_lastEnds.end() && m_timers.now() < ended->second + restartTime;
        if (!isRunning && !hasJustEnded)
            return "task " + describe(task) + ", which lasts, isn't running";
    }
    return {};
}
