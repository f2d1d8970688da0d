#include "ControlPlane/EntryNode.h"

#include "Common/Hashing.h"
#include "Common/Logging.h"
#include "Common/ProcessorTime.h"
#include "ControlPlane/StartupOrder.h"

#include <utility>

namespace ControlPlane {

namespace {

    /// Kind under which calls to the job API are counted.
    constexpr auto callerTraffic = "callers";
    /// Shortest time between reads of the progress topic.
    constexpr Common::millis progressInterval { 200 };
    constexpr Common::millis stateInterval { 200 };
    constexpr Common::millis startupCheckInterval { 20 };
    /// Number of places in the order of instances that read the jobs later.
    constexpr std::uint64_t turnSteps = 1000;
    /// Submissions are spread over partitions because a slow store handles appends to one partition sequentially.
    constexpr int intakePartitions = 4;
    constexpr Common::millis workerInterval { 400 };
    constexpr Common::millis operatorInterval { 20 };
    constexpr Common::millis readWait { 1000 };
    constexpr Common::millis jobReadWait { 2000 };
    /// The instance isn't ready once its view hasn't been confirmed for this long.
    constexpr Common::millis readyViewAge { 4000 };
    /// A submission is given up after this time, before its caller times out.
    constexpr Common::millis submitTimeout { 2300 };
    constexpr Common::millis trafficReportInterval { 5000 };
    constexpr Common::millis shutdownPollInterval { 50 };
    constexpr Common::millis loadInterval { 200 };
    /// Part of the stop grace period that is reserved for the exit itself.
    constexpr Common::millis stopReserve { 700 };
    /// Time before that in which the answers to requests that are still open are sent.
    constexpr Common::millis lastAnswersTime { 300 };

    /// The load balancer and readers of counters use a few connections and send no bodies. Their own limits keep them
    /// served while callers use up theirs.
    EventLoop::listener_limits probeLimits()
    {
        constexpr std::size_t connections = 32;
        constexpr std::size_t bytes = 1U << 20U;
        return { .bodyBytes = 0, .budget = { .connections = connections, .heldBytes = bytes } };
    }

}

struct entry_node::loop_timers : Records::timer_service {
    explicit loop_timers(EventLoop::event_loop& owner)
        : loop(owner)
    {
    }

    void after(Common::millis delay, std::function<void()> action) override { loop.after(delay, std::move(action)); }
    Common::instant now() const override { return Common::boot_clock::now(); }

    EventLoop::event_loop& loop;
};

entry_node::entry_node(const entry_node_settings& settings, const entry_node_parts& parts)
    : m_settings(settings)
    , m_parts(parts)
    , m_timers(std::make_unique<loop_timers>(parts.loop))
    , m_member(settings.node + '-' + std::to_string(Common::wallNow().value))
    , m_pacing({ .member = m_member, .readsPerSecond = settings.storeReadsPerSecond })
    , m_store(parts.store, *m_timers, m_pacing)
    , m_intakeFeed(m_jobRegistry, *this)
    , m_progressFeed(m_jobRegistry)
    , m_stateFeed(m_jobRegistry, m_progressFeed)
{
}

entry_node::~entry_node() = default;

std::shared_ptr<Records::partition_reader> entry_node::makeReader(
    const Records::topic_partition& partition, Common::millis readInterval, Records::record_sink& sink)
{
    const bool isJobTopic = partition.topic == m_parts.topics.intake.topic || partition == m_parts.topics.progress
        || partition == m_parts.topics.handovers || partition == m_parts.topics.states;
    return std::make_shared<Records::partition_reader>(m_store, *m_timers,
        Records::partition_reader_options {
            .partition = partition, .interval = readInterval, .wait = isJobTopic ? jobReadWait : readWait,
            // Rules have to be in force in time however many instances read.
            .pacing = partition == m_parts.topics.operators ? nullptr : &m_pacing,
            .isForElection = partition == m_parts.topics.progress },
        sink);
}

std::shared_ptr<Records::partition_reader> entry_node::startReader(
    const Records::topic_partition& partition, Common::millis readInterval, Records::record_sink& sink)
{
    auto reader = makeReader(partition, readInterval, sink);
    reader->start();
    return reader;
}

void entry_node::startReadingJobs()
{
    const auto waited = Common::elapsed(m_startedAt, m_timers->now());
    if (!m_leaderSeenAfter && m_leadership->hasSeenLeader())
        m_leaderSeenAfter = waited;
    const auto& claim = m_progressFeed.claim();
    if (m_handovers->isLoaded())
        m_pacing.begin(m_handoverFeed.stretch(), m_timers->now());
    // Where many instances read, those that don't take over first leave the store to those that do.
    const bool isLater = !m_pacing.isFirstCandidate();
    const job_reading_view view { .own = isLater ? leader_room {} : roomOf(m_settings.capacity),
        .leader = claim.number > 0 ? std::optional(roomOf(claim.capacity)) : std::nullopt,
        .isProgressRead = m_progress->confirmedAt().has_value(),
        .leaderSeenAfter = m_leaderSeenAfter,
        .waited = waited,
        .turn = static_cast<double>(Common::rendezvousRank(m_parts.topics.intake.topic, m_member) % turnSteps) / turnSteps };
    if (mayReadJobs(view)) {
        Common::writeEvent(Common::log_level::Info, Common::log_category::Store, "job_reading_began",
            { { "waited_ms", std::to_string(waited.count()) },
                { "leader_seen_after_ms", m_leaderSeenAfter ? std::to_string(m_leaderSeenAfter->count()) : "not_seen" },
                { "room", std::to_string(view.own.value) },
                { "leader_room", view.leader ? std::to_string(view.leader->value) : "none" } });
        for (const auto& reader : m_intake->readers())
            reader->start();
        return;
    }
    m_timers->after(startupCheckInterval, [this] { startReadingJobs(); });
}

bool entry_node::start(Records::record_sink& operatorFeed, Records::record_sink& workerFeed)
{
    m_operators = startReader(m_parts.topics.operators, operatorInterval, operatorFeed);
    m_workerList = startReader(m_parts.topics.workers, workerInterval, workerFeed);
    std::vector<std::shared_ptr<Records::partition_reader>> intakeReaders;
    for (int partitionIndex = 0; partitionIndex < intakePartitions; ++partitionIndex)
        intakeReaders.push_back(makeReader(
            { m_parts.topics.intake.topic, partitionIndex }, leadership_manager::standbyIntakeInterval, m_intakeFeed));
    m_intake = std::make_unique<Records::partition_reader_group>(std::move(intakeReaders));
    m_progress = startReader(m_parts.topics.progress, progressInterval, m_progressFeed);
    m_handovers = startReader(m_parts.topics.handovers, progressInterval, m_handoverFeed);
    m_states = startReader(m_parts.topics.states, stateInterval, m_stateFeed);
    m_startedAt = m_timers->now();
    const auto ownPartition
        = static_cast<int>(Common::rendezvousRank(m_parts.topics.intake.topic, m_member) % intakePartitions);
    m_appender = std::make_shared<Records::failover_appender>(m_parts.store, *m_timers,
        Records::failover_options { .topic = m_parts.topics.intake.topic,
            .partitionCount = intakePartitions,
            .firstPartition = ownPartition,
            .writer = m_member,
            .resultTimeout = submitTimeout });
    m_jobApi = std::make_unique<job_api>(job_api_parts { .timers = *m_timers,
        .jobRegistry = m_jobRegistry,
        .listener = *this,
        .operators = *m_operators,
        .intake = *m_intake,
        .appender = *m_appender,
        .format = m_parts.jobApiFormat,
        .storeLimits = m_settings.storeLimits,
        .eventCounters = m_eventCounters,
        .openJobBytes = m_settings.workLimits.openJobBytes });
    m_views = std::make_unique<view_monitor>(*m_timers);
    m_views->add(view_kind::Registrations, m_workerList);
    m_views->add(view_kind::Rules, m_operators);
    for (const auto& reader : m_intake->readers())
        m_views->add(view_kind::Intake, reader);
    m_health = std::make_unique<leader_health>(
        leader_health { .load = m_load, .views = *m_views, .processorTime = Common::processorTime });
    m_leadership = std::make_unique<leadership_manager>(leadership_parts { .store = m_parts.store,
                                                            .timers = *m_timers,
                                                            .workers = m_parts.workers,
                                                            .instances = m_parts.instances,
                                                            .operatorFormat = m_parts.operatorFormat,
                                                            .jobRegistry = m_jobRegistry,
                                                            .progressFeed = m_progressFeed,
                                                            .handoverFeed = m_handoverFeed,
                                                            .stateFeed = m_stateFeed,
                                                            .progress = *m_progress,
                                                            .workerList = *m_workerList,
                                                            .intake = *m_intake,
                                                            .eventCounters = m_eventCounters,
                                                            .health = *m_health,
                                                            .pacing = &m_pacing },
        leadership_options { .member = m_member,
            .capacity = m_settings.capacity,
            .progressTopic = m_parts.topics.progress,
            .handoverTopic = m_parts.topics.handovers,
            .stateTopic = m_parts.topics.states,
            .statusTopic = m_parts.topics.status,
            .workerBounds = m_settings.workerBounds,
            .storeLimits = m_settings.storeLimits,
            .maxPlacedTasks = m_settings.workLimits.placedTasks });
    m_callerListener = std::make_unique<EventLoop::http_listener>(
        m_parts.loop, m_settings.callers,
        EventLoop::listener_limits { .budget = m_settings.callerBudget }, [this](const EventLoop::http_request& request, const EventLoop::responder& respond) {
            m_jobApi->handle(request, respond);
        },
        &m_parts.traffic, callerTraffic);
    m_readinessListener = std::make_unique<EventLoop::http_listener>(m_parts.loop, m_settings.readiness,
        probeLimits(), [this](const EventLoop::http_request& request, const EventLoop::responder& respond) {
            answerReadiness(request, respond);
        });
    if (!m_callerListener->start() || !m_readinessListener->start() || !startMetrics())
        return false;
    m_parts.loop.onFailure([this](const std::exception& error) { contain(error); });
    m_leadership->start();
    startReadingJobs();
    watchLoad();
    reportTraffic();
    return true;
}

void entry_node::contain(const std::exception& error)
{
    m_eventCounters.add("callbacks_failed");
    Common::writeEvent(
        Common::log_level::Error, Common::log_category::Daemon, "callback_failed", { { "reason", error.what() } });
    // A decision may have been applied in part; the next leader starts from the log.
    m_leadership->discardTerm();
}

void entry_node::watchLoad()
{
    m_timers->after(loadInterval, [this, due = m_timers->now() + loadInterval] {
        if (const auto change = m_load.timerFired(due, m_timers->now()))
            report(*change, m_load.thresholds());
        watchLoad();
    });
}

bool entry_node::startMetrics()
{
    if (!m_settings.metrics)
        return true;
    m_metricsListener = std::make_unique<EventLoop::http_listener>(m_parts.loop, *m_settings.metrics,
        probeLimits(), [this](const EventLoop::http_request&, const EventLoop::responder& respond) {
            respond({ .status = 200, .body = metricsText(), .contentType = "text/plain" });
        });
    return m_metricsListener->start();
}

std::string entry_node::metricsText() const
{
    std::string text;
    const auto add = [&text](const std::string& name, auto value) { text += "loft_" + name + ' ' + std::to_string(value) + '\n'; };
    for (const auto& [name, count] : m_eventCounters.all())
        add(name, count);
    const auto callers = m_callerListener->use();
    add("caller_held_bytes", callers.heldBytes);
    add("caller_connections", m_callerListener->openConnections());
    add("caller_connections_closed{reason=\"held_bytes\"}", callers.closedForBytes);
    add("caller_connections_closed{reason=\"connections\"}", callers.closedForConnections);
    add("caller_connections_not_admitted", callers.notAdmitted);
    add("caller_requests_rejected", callers.rejected);
    add("jobs", m_jobRegistry.size());
    add("open_job_bytes", m_jobRegistry.openBytes());
    add("open_job_bytes_limit", m_settings.workLimits.openJobBytes);
    add("loop_behind", m_load.isBehind() ? 1 : 0);
    add("loop_last_lag_ms", m_load.lag().count());
    add("read_stretch", m_pacing.stretch());
    add("reads_over_limit", m_pacing.refusedReads());
    add("first_candidate", m_pacing.isFirstCandidate() ? 1 : 0);
    const auto* load = m_leadership ? m_leadership->load() : nullptr;
    add("leading", load ? 1 : 0);
    if (load) {
        for (const auto& gauge : load->gauges())
            add(std::string("leader_") + gauge.name, gauge.value);
    }
    for (const auto& [kind, count] : m_parts.traffic.all()) {
        const auto label = "{kind=\"" + kind + "\"}";
        add("calls" + label, count.calls);
        add("sent_bytes" + label, count.sentBytes);
        add("received_bytes" + label, count.receivedBytes);
    }
    return text;
}

void entry_node::reportTraffic()
{
    for (const auto& [kind, count] : m_parts.traffic.all()) {
        const auto earlier = std::exchange(m_reportedTraffic[kind], count);
        if (count.calls == earlier.calls)
            continue;
        Common::writeEvent(Common::log_level::Info, Common::log_category::Daemon, "traffic",
            { { "kind", kind }, { "calls", std::to_string(count.calls - earlier.calls) },
                { "sent_bytes", std::to_string(count.sentBytes - earlier.sentBytes) },
                { "received_bytes", std::to_string(count.receivedBytes - earlier.receivedBytes) } });
    }
    m_timers->after(trafficReportInterval, [this] { reportTraffic(); });
}

bool entry_node::isReady() const
{
    const auto confirmed = m_operators->confirmedAt();
    return !m_isShuttingDown && m_jobApi->hasRules() && m_intake->isLoaded() && m_states->isLoaded()
        && m_progress->confirmedAt() && confirmed
        && m_timers->now() - *confirmed < readyViewAge;
}

void entry_node::answerReadiness(
    const EventLoop::http_request& request, const EventLoop::responder& respond) const
{
    if (request.target != m_parts.readinessPath) {
        respond({ .status = 404 });
        return;
    }
    respond({ .status = isReady() ? 200 : 503 });
}

std::uint16_t entry_node::callerPort() const { return m_callerListener->port(); }

void entry_node::beginShutdown()
{
    if (m_isShuttingDown)
        return;
    m_isShuttingDown = true;
    m_shutdownBegan = m_timers->now();
    Common::writeEvent(Common::log_level::Info, Common::log_category::Daemon, "shutting_down", {});
    m_leadership->stepDown();
    finishShutdown();
}

void entry_node::finishShutdown()
{
    const auto now = m_timers->now();
    const auto stopAt = m_shutdownBegan + m_settings.stopGrace - stopReserve;
    const bool isOutOfRotation = now >= m_shutdownBegan + m_settings.balancerRemovalTime;
    if (isOutOfRotation)
        m_callerListener->drain();
    if (now >= stopAt - lastAnswersTime)
        answerOpenRequests();
    // Also waits for requests that are still being received.
    const bool isServed = isOutOfRotation && m_callerListener->openConnections() == 0;
    if (isServed || now >= stopAt) {
        Common::writeEvent(Common::log_level::Info, Common::log_category::Daemon, "shut_down",
            { { "open_requests", std::to_string(m_callerListener->openRequests()) } });
        m_parts.loop.stop();
        return;
    }
    m_timers->after(shutdownPollInterval, [this] { finishShutdown(); });
}

void entry_node::answerOpenRequests()
{
    if (std::exchange(m_areRequestsEnded, true))
        return;
    const auto count = m_callerListener->openRequests();
    if (count > 0)
        Common::writeEvent(Common::log_level::Warning, Common::log_category::Daemon, "open_requests_ended",
            { { "open_requests", std::to_string(count) } });
    // The outcome isn't known, so callers have to ask again with the same identifier.
    m_callerListener->answerOpen({ .status = 504, .body = R"({"error":"stopping"})" });
}

void entry_node::rulesChanged(const Rules::fleet_rules& rules)
{
    m_jobApi->setRules(rules);
    Common::writeEvent(Common::log_level::Info, Common::log_category::Daemon, "rules_in_force",
        { { "version", std::to_string(rules.version) } });
    m_leadership->setRules(rules);
}

void entry_node::evacuationsChanged(const std::set<Common::data_centre_id>& zones)
{
    if (zones == m_evacuated)
        return;
    m_evacuated = zones;
    for (const auto& zone : zones)
        Common::writeEvent(
            Common::log_level::Info, Common::log_category::Daemon, "evacuated", { { "data_centre", zone.value } });
    m_leadership->setEvacuated(zones);
}

void entry_node::wavesChanged(const std::map<std::int64_t, Rules::maintenance_wave>& waves)
{
    m_leadership->setWaves(waves);
}

void entry_node::workerRegistered(const Dispatch::worker_entry& worker)
{
    m_leadership->workerRegistered(worker);
}

void entry_node::workerUnregistered(const Common::worker_id& id)
{
    m_leadership->workerUnregistered(id);
}

void entry_node::jobAccepted(const Common::job_id& id)
{
    m_leadership->jobAccepted(id);
}

void entry_node::jobCancelled(const Common::job_id& id)
{
    m_leadership->jobCancelled(id);
}

}
