#include "SimulatedNode.h"

#include "Jobs/JobCodec.h"

namespace {

constexpr Common::millis stepTime { 50 };
constexpr Common::millis workTime { 700 };
constexpr std::uint64_t minPartitionMillis = 2000;
constexpr std::uint64_t maxPartitionMillis = 7000;
/// Average number of steps between two crashes of workers while there are partitions.
constexpr std::uint64_t crashOdds = 60;

}

cluster_simulation::cluster_simulation(const simulation_options& options)
    : m_options(options)
    , m_random(options.seed)
{
    m_rules.version = 1;
    m_rules.pools = { { .id = { "pool" }, .checksCapacity = !options.doesCapacityVary } };
    m_rules.queues
        = { { .id = { "queue" }, .host = "h", .pathPrefix = "/q/", .pool = { "pool" }, .maxAttempts = 1000 } };
    for (int index = 0; index < options.workers; ++index) {
        const auto id = 'w' + std::to_string(index);
        m_workers[id] = std::make_unique<simulated_worker>(id, m_timers, *this, workTime);
        m_workers[id]->setAdmissionCheck(!options.doesCapacityVary);
        m_registrations[id] = m_workers[id]->entry();
        m_capacityReports[id].push_back({ m_timers.now(), m_workers[id]->slots() });
    }
    for (int node = 0; node < options.nodes; ++node)
        restart(node);
}

cluster_simulation::~cluster_simulation()
{
    for (const auto& [number, node] : m_nodes)
        node->kill();
}

std::vector<Dispatch::worker_entry> cluster_simulation::workerEntries() const
{
    std::vector<Dispatch::worker_entry> entries;
    for (const auto& [id, entry] : m_registrations)
        entries.push_back(entry);
    return entries;
}

void cluster_simulation::restart(int node)
{
    if (m_nodes.contains(node))
        m_nodes[node]->kill();
    m_nodes[node] = std::make_shared<simulated_node>(*this, node, ++m_incarnations);
    m_nodes[node]->begin();
}

std::vector<Jobs::step_spec> cluster_simulation::drawSteps(bool isLongRunning)
{
    Jobs::step_spec first { .count = static_cast<int>(1 + draw(3)),
        .request = { .processor = simulated_worker::processorPerSlot, .memory = { 10 } },
        .estimate = workTime };
    if (isLongRunning) {
        first.isLongRunning = true;
        return { first };
    }
    auto second = first;
    second.count = 2;
    second.dependsOn = { 0 };
    return { first, second };
}

void cluster_simulation::submit()
{
    const Common::job_id id { 'j' + std::to_string(m_submitted.size()) };
    const bool isLongRunning = drawShare(m_options.longRunningJobs);
    const auto steps = drawSteps(isLongRunning);
    const auto record = ControlPlane::jobRecord(
        { .id = id, .queue = { "queue" }, .team = {}, .spec = { .payload = "p", .steps = steps } });
    m_submitted.push_back(id);
    if (isLongRunning)
        m_longRunningJobs[id] = steps.front().count;
    if (drawShare(m_options.crashingJobs)) {
        const auto step = draw(steps.size());
        const auto index = draw(static_cast<std::uint64_t>(steps[step].count));
        m_crashes.addCrashingTask({ .job = id, .step = static_cast<int>(step), .index = static_cast<int>(index) });
    }
    m_store.put(intakePartition, record.key, record.value);
    if (draw(10) == 0)
        m_store.put(intakePartition, record.key, record.value);
}

std::optional<std::vector<Capacity::instance_entry>> cluster_simulation::instances() const
{
    if (!m_options.hasPartitions)
        return std::nullopt;
    std::vector<Capacity::instance_entry> entries;
    for (const auto& [id, worker] : m_workers)
        entries.push_back({ .id = { "m" + id }, .pool = { "pool" }, .worker = { id } });
    return entries;
}

void cluster_simulation::healPartition()
{
    m_disconnected.clear();
    m_storeUnreachable.clear();
}

void cluster_simulation::advancePartitions()
{
    if (draw(crashOdds) == 0) {
        const auto crashing = 'w' + std::to_string(draw(static_cast<std::uint64_t>(m_options.workers)));
        noteLostRuns(crashing);
        worker(crashing).crash();
        publish(crashing);
    }
    if (m_timers.now() < m_nextPartitionAt)
        return;
    healPartition();
    const Common::millis duration { static_cast<std::int64_t>(minPartitionMillis + draw(maxPartitionMillis - minPartitionMillis)) };
    m_nextPartitionAt = m_timers.now() + duration;
    const int leader = lastClaimer().value_or(0);
    m_storeUnreachable.insert(leader);
    for (const auto& [id, worker] : m_workers) {
        const bool isWithLeader = draw(4) != 0;
        for (int node = 0; node < m_options.nodes; ++node) {
            if ((node == leader) != isWithLeader)
                m_disconnected.insert({ node, id });
        }
    }
    for (int node = 0; node < m_options.nodes; ++node)
        noteDisruption(node, duration);
}

Common::millis cluster_simulation::clearFaultLater(std::uint64_t maxExtraMillis, std::function<void()> clearFault)
{
    const Common::millis duration { static_cast<std::int64_t>(200 + draw(maxExtraMillis)) };
    m_timers.after(duration, std::move(clearFault));
    return duration;
}

void cluster_simulation::injectFault()
{
    const int node = static_cast<int>(draw(static_cast<std::uint64_t>(m_options.nodes)));
    const auto workerId = 'w' + std::to_string(draw(static_cast<std::uint64_t>(m_options.workers)));
    switch (draw(7)) {
    case 0:
        m_nodes[node]->kill();
        noteDisruption(node, clearFaultLater(2000, [this, node] { restart(node); }));
        return;
    case 1:
        m_nodes[node]->handOver();
        noteDisruption(node, clearFaultLater(2500, [this, node] { restart(node); }));
        return;
    case 2:
        m_storeUnreachable.insert(node);
        noteDisruption(node, clearFaultLater(5000, [this, node] { m_storeUnreachable.erase(node); }));
        return;
    case 3:
        m_disconnected.insert({ node, workerId });
        noteDisruption(node, clearFaultLater(9000, [this, node, workerId] { m_disconnected.erase({ node, workerId }); }));
        return;
    case 4:
        if (!worker(workerId).isUp())
            return;
        noteLostRuns(workerId);
        worker(workerId).crash();
        publish(workerId);
        return;
    case 5: {
        m_store.fault = draw(2) == 0 ? fake_store::simulated_fault::Silent : fake_store::simulated_fault::AnswerLost;
        const auto duration = clearFaultLater(3000, [this] { m_store.fault = fake_store::simulated_fault::None; });
        for (int other = 0; other < m_options.nodes; ++other)
            noteDisruption(other, duration);
        return;
    }
    default:
        for (int other = 0; other < m_options.nodes; ++other)
            m_disconnected.insert({ other, workerId });
        const auto duration = clearFaultLater(6000, [this, workerId] { std::erase_if(m_disconnected, [&](const auto& pair) { return pair.second == workerId; }); });
        for (int other = 0; other < m_options.nodes; ++other)
            noteDisruption(other, duration);
        return;
    }
}

void cluster_simulation::clearFaults()
{
    m_disconnected.clear();
    m_storeUnreachable.clear();
    m_store.fault = fake_store::simulated_fault::None;
    for (int node = 0; node < m_options.nodes; ++node) {
        restart(node);
        noteDisruption(node, Common::millis(0));
    }
}

void cluster_simulation::tickWorkers()
{
    for (const auto& [id, worker] : m_workers)
        worker->tick();
}

void cluster_simulation::report(const std::string& violation)
{
    if (m_violation.empty())
        m_violation = violation;
}

void cluster_simulation::advanceOneStep()
{
    m_timers.advance(stepTime);
    tickWorkers();
    checkLeaders();
    if (m_options.doesCapacityVary)
        varyCapacity();
    ++m_steps;
}

std::string cluster_simulation::run()
{
    const auto faultsUntil = m_timers.now() + m_options.faultTime;
    while (m_timers.now() < faultsUntil && m_violation.empty()) {
        if (draw(8) == 0)
            submit();
        if (m_options.hasPartitions)
            advancePartitions();
        else if (m_options.stepsPerFault > 0 && draw(static_cast<std::uint64_t>(m_options.stepsPerFault)) == 0)
            injectFault();
        advanceOneStep();
    }
    if (m_options.hasPartitions)
        healPartition();
    // Lets the open faults end on their own.
    const auto faultsEndAt = m_timers.now() + Common::millis(10000);
    while (m_timers.now() < faultsEndAt && m_violation.empty())
        advanceOneStep();
    if (m_options.stepsPerFault > 0)
        clearFaults();
    const auto end = m_timers.now() + m_options.recoveryTime;
    while (m_timers.now() < end && m_violation.empty())
        advanceOneStep();
    return m_violation.empty() ? checkJobs() : m_violation;
}

std::string cluster_simulation::checkJobs()
{
    for (const auto& id : m_submitted) {
        const auto state = m_nodes.begin()->second->jobs().stateOf(id);
        const auto violation = checkJob(id, state.value_or(Jobs::job_state::Pending));
        if (!violation.empty())
            return violation;
    }
    return {};
}

std::string cluster_simulation::checkJob(const Common::job_id& id, Jobs::job_state state) const
{
    const bool lasts = m_longRunningJobs.contains(id);
    if (lasts && state == Jobs::job_state::Completed)
        return "job " + id.value + " is completed, although its tasks last";
    if (lasts && !m_crashes.crashingTaskOf(id) && state != Jobs::job_state::Failed)
        return checkAtWork(id);
    return m_crashes.checkEnd(id, state);
}

int cluster_simulation::takeovers() const
{
    const auto progressLog = m_store.partitions.find(progressPartition);
    if (progressLog == m_store.partitions.end())
        return 0;
    return static_cast<int>(std::count_if(progressLog->second.records.begin(), progressLog->second.records.end(),
        [](const auto& record) { return record.key == "@holder"; }));
}

int cluster_simulation::handovers() const
{
    const auto progressLog = m_store.partitions.find(progressPartition);
    if (progressLog == m_store.partitions.end())
        return 0;
    const auto& records = progressLog->second.records;
    return static_cast<int>(std::count_if(records.begin(), records.end(), [](const auto& record) {
        Jobs::job_registry unused;
        ControlPlane::progress_feed feed(unused);
        if (record.key == "@released")
            feed.apply(record);
        return !feed.successor().empty();
    }));
}

std::optional<int> cluster_simulation::lastClaimer() const
{
    const auto progressLog = m_store.partitions.find(progressPartition);
    if (progressLog == m_store.partitions.end() || !progressLog->second.newest.contains("@holder"))
        return std::nullopt;
    Jobs::job_registry unused;
    ControlPlane::progress_feed feed(unused);
    feed.apply(progressLog->second.newest.at("@holder"));
    // Members are named n, the number of the node, a hyphen and the number of the incarnation.
    return std::stoi(feed.claim().member.substr(1));
}

ControlPlane::instance_capacity cluster_simulation::capacityOf(int node) const
{
    const auto index = static_cast<std::size_t>(node);
    return index < m_options.capacities.size() ? m_options.capacities[index] : ControlPlane::instance_capacity();
}

void cluster_simulation::checkLeaders()
{
    const auto leaders = std::count_if(
        m_nodes.begin(), m_nodes.end(), [](const auto& node) { return node.second->isConfirmedLeader(); });
    if (leaders > 1)
        report(std::to_string(leaders) + " leaders");
}

void cluster_simulation::onRunStarted(const std::string& worker, const Jobs::task_name& task, Dispatch::run_number run)
{
    const auto text = describe(task) + " run " + std::to_string(run.value) + " on " + worker;
    // Ends runs on other workers that are due by now.
    tickWorkers();
    auto& workers = m_running[task];
    workers.insert(worker);
    if (workers.size() > 1)
        report(text + " while it runs elsewhere");
    if (m_sender.wasInTouch && isInTouch(m_sender.node))
        report(m_crashes.started(task, text));
    if (m_crashes.isCrashing(task))
        drawCrash(worker, task, run);
    if (m_options.doesCapacityVary)
        checkCapacity(worker, text);
    const auto& newest = m_store.partitions[progressPartition].newest;
    const auto logged = newest.find(task.job.value);
    if (logged == newest.end())
        return;
    const auto progress = Jobs::decodeProgress(task.job, logged->second.value);
    const bool isDone = Jobs::isFinal(progress->state)
        || std::any_of(progress->tasks.begin(), progress->tasks.end(), [&task](const auto& known) {
               return known.isDone && known.step == task.step && known.index == task.index;
           });
    if (isDone)
        report(text + " after its logged end");
}

void cluster_simulation::onRunEnded(const std::string& worker, const Jobs::task_name& task, Dispatch::end_kind)
{
    m_running[task].erase(worker);
    m_lastEnds[task] = m_timers.now();
}
