#include "Station/EntryStation.h"

#include "Common/Hashing.h"
#include "Common/Logging.h"

#include <utility>

namespace Station {

namespace {

    /// Shortest time between reads of the jobs' topics, for the holder and for the others.
    constexpr Common::millis holderGap { 20 };
    constexpr Common::millis progressGap { 200 };
    /// A job that isn't known is looked for in the store, so a view of the intake may lag.
    constexpr Common::millis intakeGap { 900 };
    /// A slow store takes appends to one partition one after the other, so submitters are spread over some.
    constexpr int intakeParts = 4;
    constexpr Common::millis workerGap { 400 };
    constexpr Common::millis operatorGap { 20 };
    constexpr Common::millis followWait { 1000 };
    constexpr Common::millis jobWait { 2000 };
    /// A view that wasn't confirmed for so long makes the instance unready.
    constexpr Common::millis oldestReadyView { 4000 };
    /// A submission is given up after this time, before its caller gives up.
    constexpr Common::millis storePatience { 2300 };
    /// How long a new holder waits for the store before it gives its seat up.
    constexpr Common::millis tenurePatience { 2000 };
    constexpr Common::millis releaseTimeout { 300 };
    /// The balancer looks once a second and takes an instance out after two misses.
    constexpr Common::millis balancerGrace { 2500 };
    constexpr Common::millis retirePoll { 50 };
    /// Kept back from the grace of a stop, for the end itself.
    constexpr Common::millis stopReserve { 700 };
    constexpr auto holderWriter = "holder";

}

struct entry_station::loop_timers : Records::timer_service {
    explicit loop_timers(EventLoop::event_loop& owner)
        : loop(owner)
    {
    }

    void after(Common::millis delay, std::function<void()> action) override { loop.after(delay, std::move(action)); }
    Common::instant now() const override { return Common::boot_clock::now(); }

    EventLoop::event_loop& loop;
};

entry_station::entry_station(const station_settings& settings, const station_parts& parts)
    : m_settings(settings)
    , m_parts(parts)
    , m_timers(std::make_unique<loop_timers>(parts.loop))
    , m_member(settings.node + '-' + std::to_string(Common::wallNow().value))
    , m_intakeFeed(m_book, *this)
    , m_progressFeed(m_book)
{
}

entry_station::~entry_station() = default;

std::shared_ptr<Records::topic_follower> entry_station::follow(
    const Records::topic_part& where, Common::millis gap, Records::record_sink& sink)
{
    const bool isJobs = where.topic == m_parts.topics.intake.topic || where == m_parts.topics.progress;
    auto follower = std::make_shared<Records::topic_follower>(m_parts.store, *m_timers,
        Records::follower_options { .where = where, .gap = gap, .wait = isJobs ? jobWait : followWait }, sink);
    follower->start();
    return follower;
}

bool entry_station::start(Records::record_sink& operatorFeed, Records::record_sink& workerFeed)
{
    m_operators = follow(m_parts.topics.operators, operatorGap, operatorFeed);
    m_workerList = follow(m_parts.topics.workers, workerGap, workerFeed);
    std::vector<std::shared_ptr<Records::topic_follower>> intakes;
    for (int part = 0; part < intakeParts; ++part)
        intakes.push_back(follow({ m_parts.topics.intake.topic, part }, intakeGap, m_intakeFeed));
    m_intake = std::make_unique<Records::follower_group>(std::move(intakes));
    m_progress = follow(m_parts.topics.progress, progressGap, m_progressFeed);
    const auto ownPart = static_cast<int>(Common::rendezvousRank(m_parts.topics.intake.topic, m_member) % intakeParts);
    m_appender = std::make_shared<Records::spread_appender>(m_parts.store, *m_timers,
        Records::spread_options { .topic = m_parts.topics.intake.topic,
            .parts = intakeParts,
            .firstPart = ownPart,
            .writer = m_member,
            .settleAfter = storePatience });
    m_desk = std::make_unique<caller_desk>(caller_desk_parts { .timers = *m_timers,
        .book = m_book,
        .jobs = *this,
        .operators = *m_operators,
        .intake = *m_intake,
        .appender = *m_appender,
        .format = m_parts.callerFormat,
        .figures = m_figures });
    m_seat = std::make_shared<holder_seat>(m_parts.store, *m_timers,
        seat_options { .member = m_member,
            .progressTopic = m_parts.topics.progress,
            .writer = holderWriter },
        *m_progress, m_progressFeed);
    m_callers = std::make_unique<EventLoop::http_listener>(m_parts.loop, m_settings.callers,
        EventLoop::listener_limits {}, [this](const EventLoop::http_request& request, const EventLoop::responder& respond) {
            m_desk->handle(request, respond);
        });
    m_readiness = std::make_unique<EventLoop::http_listener>(m_parts.loop, m_settings.readiness,
        EventLoop::listener_limits {}, [this](const EventLoop::http_request& request, const EventLoop::responder& respond) {
            answerReadiness(request, respond);
        });
    if (!m_callers->start() || !m_readiness->start() || !startMetrics())
        return false;
    m_seat->start([this](const won_seat& won) { beginTenure(won); });
    return true;
}

bool entry_station::startMetrics()
{
    if (!m_settings.metrics)
        return true;
    m_metrics = std::make_unique<EventLoop::http_listener>(m_parts.loop, *m_settings.metrics,
        EventLoop::listener_limits {}, [this](const EventLoop::http_request&, const EventLoop::responder& respond) {
            EventLoop::http_response response { .status = 200, .contentType = "text/plain" };
            for (const auto& [name, count] : m_figures.all())
                response.body += "loft_" + name + ' ' + std::to_string(count) + '\n';
            response.body += "loft_jobs " + std::to_string(m_book.size()) + '\n';
            respond(std::move(response));
        });
    return m_metrics->start();
}

bool entry_station::isReady() const
{
    const auto confirmed = m_operators->confirmedAt();
    return !m_isRetiring && m_desk->hasRules() && m_intake->isFollowing() && m_progress->isFollowing() && confirmed
        && m_timers->now() - *confirmed < oldestReadyView;
}

void entry_station::answerReadiness(
    const EventLoop::http_request& request, const EventLoop::responder& respond) const
{
    if (request.target != m_parts.readinessPath) {
        respond({ .status = 404 });
        return;
    }
    respond({ .status = isReady() ? 200 : 503 });
}

void entry_station::beginTenure(const won_seat& won)
{
    m_intake->setGap(holderGap);
    m_run = std::make_shared<holder_run>(holder_parts { .store = m_parts.store,
                                             .timers = *m_timers,
                                             .workers = m_parts.workers,
                                             .instances = m_parts.instances,
                                             .operatorFormat = m_parts.operatorFormat,
                                             .book = m_book,
                                             .seat = *m_seat,
                                             .progress = m_progressFeed,
                                             .figures = m_figures },
        holder_tenure { .token = { won.token },
            .number = won.number,
            .progressTopic = m_parts.topics.progress,
            .statusTopic = m_parts.topics.status,
            .writer = holderWriter,
            .stopTime = m_settings.stopTime },
        [this] { endTenure(); });
    m_run->open();
    // Workers and jobs that an earlier holder dealt with must be known before anything is started.
    m_workerList->refresh(tenurePatience, [this, run = m_run](bool isRead) { readJobsForTenure(run, isRead); });
}

void entry_station::readJobsForTenure(const std::shared_ptr<holder_run>& run, bool areWorkersRead)
{
    m_intake->refresh(tenurePatience, [this, run, areWorkersRead](bool isRead) {
        if (run != m_run)
            return;
        const bool isConfirmed = m_seat->standing().isConfirmed(m_timers->now());
        if (areWorkersRead && isRead && isConfirmed && m_rules)
            fillTenure(run);
        else
            endTenure();
    });
}

void entry_station::fillTenure(const std::shared_ptr<holder_run>& run)
{
    run->setRules(*m_rules);
    run->setEvacuated(m_evacuated);
    run->setWaves(m_waves);
    for (const auto& [id, worker] : m_workers)
        run->workerListed(worker.entry, worker.seenAt);
    run->start(m_progressFeed.waves());
}

void entry_station::endTenure()
{
    const auto run = std::exchange(m_run, nullptr);
    const bool isFullyNoted = run && run->isFullyNoted();
    if (run)
        run->stop();
    m_intake->setGap(intakeGap);
    m_seat->vacate();
    if (!isFullyNoted)
        return;
    Common::writeEvent(Common::log_level::Info, Common::log_category::Roster, "seat_released",
        { { "number", std::to_string(run->number()) } });
    // The next holder needn't wait for workers that don't answer it.
    const Records::append_request release { .where = m_parts.topics.progress,
        .records = { releaseRecord(run->number()) } };
    m_parts.store.append(release, releaseTimeout, [](const auto&) {});
}

void entry_station::retire()
{
    if (m_isRetiring)
        return;
    m_isRetiring = true;
    m_retiringSince = m_timers->now();
    Common::writeEvent(Common::log_level::Info, Common::log_category::Daemon, "retiring", {});
    m_seat->leave();
    endTenure();
    finishRetiring();
}

void entry_station::finishRetiring()
{
    const auto now = m_timers->now();
    const bool isOutOfRotation = now >= m_retiringSince + balancerGrace;
    if (isOutOfRotation)
        m_callers->drain();
    const bool isServed = isOutOfRotation && m_callers->openRequests() == 0;
    if (isServed || now >= m_retiringSince + m_settings.stopGrace - stopReserve) {
        Common::writeEvent(Common::log_level::Info, Common::log_category::Daemon, "left",
            { { "open_requests", std::to_string(m_callers->openRequests()) } });
        m_parts.loop.stop();
        return;
    }
    m_timers->after(retirePoll, [this] { finishRetiring(); });
}

void entry_station::rulesChanged(const Rules::fleet_rules& rules)
{
    m_rules = rules;
    m_desk->setRules(rules);
    Common::writeEvent(Common::log_level::Info, Common::log_category::Daemon, "rules_in_force",
        { { "version", std::to_string(rules.version) } });
    if (m_run)
        m_run->setRules(rules);
}

void entry_station::evacuationsChanged(const std::set<Common::data_centre_id>& zones)
{
    if (zones == m_evacuated)
        return;
    m_evacuated = zones;
    for (const auto& zone : zones)
        Common::writeEvent(
            Common::log_level::Info, Common::log_category::Daemon, "evacuated", { { "data_centre", zone.value } });
    if (m_run)
        m_run->setEvacuated(zones);
}

void entry_station::wavesChanged(const std::map<std::int64_t, Rules::upkeep_wave>& waves)
{
    m_waves = waves;
    if (m_run)
        m_run->setWaves(waves);
}

void entry_station::workerListed(const Dispatch::worker_entry& worker)
{
    auto& known = m_workers.try_emplace(worker.id, registered_worker { .seenAt = m_timers->now() }).first->second;
    known.entry = worker;
    if (m_run)
        m_run->workerListed(worker, known.seenAt);
}

void entry_station::workerUnlisted(const Common::worker_id& id)
{
    m_workers.erase(id);
    if (m_run)
        m_run->workerUnlisted(id);
}

void entry_station::jobAccepted(const Common::job_id& id)
{
    if (m_run)
        m_run->jobAccepted(id);
}

void entry_station::jobCancelled(const Common::job_id& id)
{
    if (m_run)
        m_run->jobCancelled(id);
}

}
