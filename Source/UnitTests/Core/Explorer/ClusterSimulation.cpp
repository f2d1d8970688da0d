#include "ClusterSimulation.h"

#include "Jobs/JobCodec.h"

namespace {

const Records::topic_partition intakePartition { "keyed.intake", 0 };
const Records::topic_partition progressPartition { "keyed.progress", 0 };
const Records::topic_partition handoverPartition { "keyed.handover", 0 };
const Records::topic_partition workerPartition { "keyed.workers", 0 };

constexpr Common::millis stepTime { 50 };
constexpr Common::millis workTime { 700 };
/// Average number of steps between two faults.
constexpr int stepsPerFault = 12;

struct null_sink : Records::record_sink {
    void reset() override { }
    void apply(const Records::keyed_record&) override { }
};

struct null_operator_format : ControlPlane::operator_format {
    Records::keyed_record waveStatus(std::int64_t, bool) const override { return {}; }
};

}

/// One node: the real leadership manager and dispatcher over simulated calls. Once it is killed, its calls have no
/// effect and it receives no answers.
class simulated_node : public ControlPlane::job_listener,
                       public Records::record_store,
                       public Records::timer_service,
                       public Dispatch::worker_gateway,
                       public std::enable_shared_from_this<simulated_node> {
public:
    simulated_node(cluster_simulation& simulation, int number, int incarnationNumber)
        : m_simulation(simulation)
        , m_number(number)
        , m_member("n" + std::to_string(number) + '-' + std::to_string(incarnationNumber))
    {
    }

    void begin()
    {
        const auto startReader = [this](const Records::topic_partition& source, int pollMillis, Records::record_sink& sink) {
            auto reader = std::make_shared<Records::partition_reader>(
                *this, *this,
                Records::partition_reader_options { .partition = source, .interval = Common::millis(pollMillis) }, sink);
            reader->start();
            return reader;
        };
        m_progress = startReader(progressPartition, 200, m_progressFeed);
        m_handovers = startReader(handoverPartition, 200, m_handoverFeed);
        m_workerList = startReader(workerPartition, 400, m_nullSink);
        m_intake = std::make_unique<Records::partition_reader_group>(
            std::vector { startReader(intakePartition, static_cast<int>(ControlPlane::leadership_manager::standbyIntakeInterval.count()), m_intakeFeed) });
        m_views.add(ControlPlane::view_kind::Registrations, m_workerList);
        m_views.add(ControlPlane::view_kind::Intake, m_intake->readers().front());
        m_leadership = std::make_unique<ControlPlane::leadership_manager>(ControlPlane::leadership_parts { .store = *this,
                                                                              .timers = *this,
                                                                              .workers = *this,
                                                                              .operatorFormat = m_format,
                                                                              .jobRegistry = m_jobs,
                                                                              .progressFeed = m_progressFeed,
                                                                              .handoverFeed = m_handoverFeed,
                                                                              .progress = *m_progress,
                                                                              .workerList = *m_workerList,
                                                                              .intake = *m_intake,
                                                                              .eventCounters = m_eventCounters,
                                                                              .health = m_health },
            ControlPlane::leadership_options { .member = m_member,
                .capacity = m_simulation.capacityOf(m_number),
                .progressTopic = progressPartition,
                .handoverTopic = handoverPartition });
        m_leadership->setRules(m_simulation.rules());
        for (const auto& entry : m_simulation.workerEntries())
            m_leadership->workerRegistered(entry);
        m_leadership->start();
    }

    void kill() { m_isAlive = false; }
    bool isConfirmedLeader() const { return m_isAlive && m_leadership->isConfirmedLeader(); }
    void handOver() { m_leadership->stepDown(); }
    void workerRegistered(const Dispatch::worker_entry& entry) { m_leadership->workerRegistered(entry); }
    const Jobs::job_registry& jobs() const { return m_jobs; }

    void jobAccepted(const Common::job_id& id) override { m_leadership->jobAccepted(id); }
    void jobCancelled(const Common::job_id& id) override { m_leadership->jobCancelled(id); }

private:
    void after(Common::millis delay, std::function<void()> action) override
    {
        m_simulation.timers().after(delay, [self = shared_from_this(), action = std::move(action)] {
            if (self->m_isAlive)
                action();
        });
    }
    Common::instant now() const override { return m_simulation.timers().now(); }

    template <typename Handler>
    auto whileAlive(Handler handler)
    {
        return [self = shared_from_this(), handler = std::move(handler)](const auto& result) {
            if (self->m_isAlive)
                handler(result);
        };
    }

    bool isStoreUnreachable() const { return m_simulation.isStoreUnreachable(m_number); }

    void append(const Records::append_request& request, Common::millis timeout,
        std::function<void(Records::append_result)> handler) override
    {
        if (!m_isAlive)
            return;
        if (isStoreUnreachable())
            after(timeout, [handler] { handler({ .outcome = Records::append_outcome::Unknown }); });
        else
            m_simulation.store().append(request, timeout, whileAlive(std::move(handler)));
    }

    void read(const Records::read_request& request, Common::millis timeout,
        std::function<void(Records::read_result)> handler) override
    {
        if (!m_isAlive)
            return;
        if (isStoreUnreachable())
            after(timeout, [handler] { handler({}); });
        else
            m_simulation.store().read(request, timeout, whileAlive(std::move(handler)));
    }

    void newest(const Records::topic_partition& source, const std::string& afterKey, Common::millis timeout,
        std::function<void(Records::newest_result)> handler) override
    {
        if (!m_isAlive)
            return;
        if (isStoreUnreachable())
            after(timeout, [handler] { handler({}); });
        else
            m_simulation.store().newest(source, afterKey, timeout, whileAlive(std::move(handler)));
    }

    /// Sends an order. It may be lost or executed late, and its answer may be lost.
    template <typename Act, typename Handler, typename Result>
    void sendOrder(const std::string& id, Common::millis timeout, Act execute, Handler handler, Result noAnswer)
    {
        if (!m_isAlive)
            return;
        const auto answer = whileAlive(std::move(handler));
        const bool isLost = m_simulation.isDisconnected(m_number, id) || m_simulation.draw(60) == 0;
        const bool isDelayed = !isLost && m_simulation.draw(40) == 0;
        const bool isUnanswered = isLost || isDelayed || m_simulation.draw(40) == 0;
        if (isUnanswered)
            m_simulation.timers().after(timeout, [answer, noAnswer] { answer(noAnswer); });
        if (isLost)
            return;
        const Common::millis delay { static_cast<std::int64_t>(isDelayed ? 2000 + m_simulation.draw(9000) : 1 + m_simulation.draw(5)) };
        // An order names an incarnation of the worker; another incarnation refuses it.
        const auto expectedIncarnation = m_simulation.worker(id).currentIncarnation();
        m_simulation.timers().after(delay, [this, self = shared_from_this(), id, expectedIncarnation, execute, answer, isUnanswered] {
            auto& target = m_simulation.worker(id);
            const auto result = target.currentIncarnation() == expectedIncarnation ? execute() : target.refusal(decltype(execute()) {});
            if (!isUnanswered)
                m_simulation.timers().after(Common::millis(2), [answer, result] { answer(result); });
        });
    }

    void start(const Dispatch::start_order& request, Dispatch::fencing_token token, Common::millis timeout,
        reply_handler handler) override
    {
        const auto id = request.worker.id.value;
        sendOrder(
            id, timeout, [this, id, request, token] { return m_simulation.worker(id).start(request, token); },
            std::move(handler), Dispatch::order_reply {});
    }

    void stop(const Dispatch::stop_order& request, Dispatch::fencing_token token, Common::millis timeout,
        reply_handler handler) override
    {
        const auto id = request.worker.id.value;
        sendOrder(
            id, timeout, [this, id, request, token] { return m_simulation.worker(id).stop(request, token); },
            std::move(handler), Dispatch::order_reply {});
    }

    void pace(const Dispatch::pace_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { }

    void poll(const Dispatch::poll_order& request, Dispatch::fencing_token token, Common::millis timeout,
        std::function<void(Dispatch::poll_order_reply)> handler) override
    {
        const auto id = request.worker.id.value;
        sendOrder(
            id, timeout, [this, id, request, token] { return m_simulation.worker(id).answerPoll(request, token); },
            std::move(handler), Dispatch::poll_order_reply {});
    }

    void keepOnly(const std::vector<Common::worker_id>&) override { }

    cluster_simulation& m_simulation;
    int m_number;
    std::string m_member;
    bool m_isAlive { true };
    null_sink m_nullSink;
    null_operator_format m_format;
    ControlPlane::counters m_eventCounters;
    ControlPlane::load_monitor m_load;
    ControlPlane::view_monitor m_views { *this };
    ControlPlane::leader_health m_health { .load = m_load, .views = m_views };
    Jobs::job_registry m_jobs;
    ControlPlane::intake_feed m_intakeFeed { m_jobs, *this };
    ControlPlane::progress_feed m_progressFeed { m_jobs };
    ControlPlane::handover_feed m_handoverFeed;
    std::shared_ptr<Records::partition_reader> m_progress;
    std::shared_ptr<Records::partition_reader> m_handovers;
    std::shared_ptr<Records::partition_reader> m_workerList;
    std::unique_ptr<Records::partition_reader_group> m_intake;
    std::unique_ptr<ControlPlane::leadership_manager> m_leadership;
};

cluster_simulation::cluster_simulation(const simulation_options& options)
    : m_options(options)
    , m_random(options.seed)
{
    m_rules.version = 1;
    m_rules.pools = { { .id = { "pool" }, .checksCapacity = true } };
    m_rules.queues
        = { { .id = { "queue" }, .host = "h", .pathPrefix = "/q/", .pool = { "pool" }, .maxAttempts = 1000 } };
    for (int index = 0; index < options.workers; ++index) {
        const auto id = 'w' + std::to_string(index);
        m_workers[id] = std::make_unique<simulated_worker>(id, m_timers, *this, workTime);
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
    for (const auto& [id, worker] : m_workers)
        entries.push_back(worker->entry());
    return entries;
}

void cluster_simulation::restart(int node)
{
    if (m_nodes.contains(node))
        m_nodes[node]->kill();
    m_nodes[node] = std::make_shared<simulated_node>(*this, node, ++m_incarnations);
    m_nodes[node]->begin();
}

void cluster_simulation::submit()
{
    const Common::job_id id { 'j' + std::to_string(m_submitted.size()) };
    const Jobs::step_spec first { .count = static_cast<int>(1 + draw(3)),
        .request = { .processor = { 1000 }, .memory = { 10 } },
        .estimate = workTime };
    auto second = first;
    second.count = 2;
    second.dependsOn = { 0 };
    const auto record = ControlPlane::jobRecord(
        { .id = id, .queue = { "queue" }, .team = {}, .spec = { .payload = "p", .steps = { first, second } } });
    m_submitted.push_back(id);
    m_store.put(intakePartition, record.key, record.value);
    if (draw(10) == 0)
        m_store.put(intakePartition, record.key, record.value);
}

void cluster_simulation::clearFaultLater(std::uint64_t maxExtraMillis, std::function<void()> clearFault)
{
    m_timers.after(Common::millis(static_cast<std::int64_t>(200 + draw(maxExtraMillis))), std::move(clearFault));
}

void cluster_simulation::injectFault()
{
    const int node = static_cast<int>(draw(static_cast<std::uint64_t>(m_options.nodes)));
    const auto workerId = 'w' + std::to_string(draw(static_cast<std::uint64_t>(m_options.workers)));
    switch (draw(7)) {
    case 0:
        m_nodes[node]->kill();
        clearFaultLater(2000, [this, node] { restart(node); });
        return;
    case 1:
        m_nodes[node]->handOver();
        clearFaultLater(2500, [this, node] { restart(node); });
        return;
    case 2:
        m_storeUnreachable.insert(node);
        clearFaultLater(5000, [this, node] { m_storeUnreachable.erase(node); });
        return;
    case 3:
        m_disconnected.insert({ node, workerId });
        clearFaultLater(9000, [this, node, workerId] { m_disconnected.erase({ node, workerId }); });
        return;
    case 4:
        worker(workerId).crash();
        for (const auto& [number, other] : m_nodes)
            other->workerRegistered(worker(workerId).entry());
        return;
    case 5:
        m_store.fault = draw(2) == 0 ? fake_store::simulated_fault::Silent : fake_store::simulated_fault::AnswerLost;
        clearFaultLater(3000, [this] { m_store.fault = fake_store::simulated_fault::None; });
        return;
    default:
        for (int other = 0; other < m_options.nodes; ++other)
            m_disconnected.insert({ other, workerId });
        clearFaultLater(6000, [this, workerId] { std::erase_if(m_disconnected, [&](const auto& pair) { return pair.second == workerId; }); });
        return;
    }
}

void cluster_simulation::clearFaults()
{
    m_disconnected.clear();
    m_storeUnreachable.clear();
    m_store.fault = fake_store::simulated_fault::None;
    for (int node = 0; node < m_options.nodes; ++node)
        restart(node);
}

void cluster_simulation::tickWorkers()
{
    for (const auto& [id, worker] : m_workers)
        worker->tick();
}

std::string cluster_simulation::run()
{
    const auto step = [this] {
        m_timers.advance(stepTime);
        tickWorkers();
        checkLeaders();
        ++m_steps;
    };
    const auto faultsUntil = m_timers.now() + m_options.faultTime;
    while (m_timers.now() < faultsUntil && m_violation.empty()) {
        if (draw(8) == 0)
            submit();
        if (draw(stepsPerFault) == 0)
            injectFault();
        step();
    }
    // Lets the open faults end on their own.
    const auto faultsEndAt = m_timers.now() + Common::millis(10000);
    while (m_timers.now() < faultsEndAt && m_violation.empty())
        step();
    clearFaults();
    const auto end = m_timers.now() + m_options.recoveryTime;
    while (m_timers.now() < end && m_violation.empty())
        step();
    return m_violation.empty() ? checkJobsCompleted() : m_violation;
}

std::string cluster_simulation::checkJobsCompleted()
{
    for (const auto& id : m_submitted) {
        const auto state = m_nodes.begin()->second->jobs().stateOf(id);
        if (state != Jobs::job_state::Completed)
            return "job " + id.value + " isn't completed";
    }
    return {};
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
    if (leaders > 1 && m_violation.empty())
        m_violation = std::to_string(leaders) + " leaders";
}

void cluster_simulation::onRunStarted(const std::string& worker, const Jobs::task_name& task, Dispatch::run_number run)
{
    const auto text = task.job.value + '.' + std::to_string(task.step) + '.' + std::to_string(task.index) + " run "
        + std::to_string(run.value) + " on " + worker;
    // Ends runs on other workers that are due by now.
    tickWorkers();
    auto& workers = m_running[task];
    workers.insert(worker);
    if (workers.size() > 1 && m_violation.empty())
        m_violation = text + " while it runs elsewhere";
    const auto& newest = m_store.partitions[progressPartition].newest;
    const auto logged = newest.find(task.job.value);
    if (logged == newest.end())
        return;
    const auto progress = Jobs::decodeProgress(task.job, logged->second.value);
    const bool isDone = Jobs::isFinal(progress->state)
        || std::any_of(progress->tasks.begin(), progress->tasks.end(), [&task](const auto& known) {
               return known.isDone && known.step == task.step && known.index == task.index;
           });
    if (isDone && m_violation.empty())
        m_violation = text + " after its logged end";
}

void cluster_simulation::onRunEnded(const std::string& worker, const Jobs::task_name& task, Dispatch::end_kind)
{
    m_running[task].erase(worker);
}
