#include "ControlPlane/LeaderTerm.h"

#include "Common/Logging.h"
#include "ControlPlane/DispatchLog.h"
#include "ControlPlane/JobFeeds.h"

#include <algorithm>
#include <utility>

namespace ControlPlane {

namespace {

    /// Events within this time are handled by one planning pass.
    constexpr Common::millis planDelay { 4 };
    /// After a planning pass, other work has the event loop for this multiple of the time that the pass took.
    constexpr int restPerPass = 2;
    constexpr Common::millis longestRest { 100 };
    /// Longest time between two planning passes.
    constexpr Common::millis tickInterval { 100 };
    constexpr Common::millis connectionCheckInterval { 5000 };
    constexpr Common::millis orderTimeout { 700 };
    /// Time that a poll may take beyond its wait.
    constexpr Common::millis pollTimeoutMargin { 700 };
    /// Shortest time between two appends of progress.
    constexpr Common::millis commitInterval { 4 };
    /// A leader with nothing else to store writes a heartbeat this often.
    constexpr Common::millis heartbeatInterval { 150 };
    /// An append of progress is retried after this time. A store that is 60 times slower than usual answers sooner.
    constexpr Common::millis commitTimeout { 600 };
    /// The store counts as unresponsive when an append of progress takes longer.
    constexpr Common::millis slowCommitTime { 200 };
    /// Starts that may be planned in a pool for each place in the window of unanswered starts, and at least.
    constexpr int plannedPerPlace = 4;
    constexpr int minPlannedPerPool = 64;
    /// Run numbers that one term may use for a task.
    constexpr std::int64_t runsPerTerm = 1000;

}

leader_term::leader_term(
    const leader_term_parts& parts, const leader_term_options& options, std::function<void()> onLost)
    : m_parts(parts)
    , m_options(options)
    , m_dispatcher({ .token = options.token,
                       .runBase = { (options.number - 1) * runsPerTerm },
                       .bounds = options.workerBounds,
                       .maxPlacedTasks = options.maxPlacedTasks },
          parts.timers.now(), *this)
    , m_progressWriter(parts.jobRegistry, options.storeLimits)
    , m_appender(std::make_shared<Records::batch_appender>(parts.store, parts.timers,
          Records::appender_options { .partition = options.progressTopic,
              .writer = options.writer,
              .epoch = options.token.value,
              .sequence = 1,
              .appendInterval = commitInterval,
              .callTimeout = commitTimeout,
              .maxBytes = std::min(Records::appender_options().maxBytes, options.storeLimits.appendBytes),
              .onStored = [&reader = parts.progressReader](const auto& records,
                              Common::log_offset first) { reader.applyStored(records, first); } }))
    , m_orders(parts.timers.now())
    , m_load(parts.health, parts.timers.now())
{
    m_onLost = std::move(onLost);
    if (!parts.instances)
        return;
    const capacity_controller_parts capacity { .store = parts.store,
        .timers = parts.timers,
        .instances = *parts.instances,
        .format = parts.operatorFormat,
        .statusTopic = options.statusTopic,
        .eventCounters = parts.eventCounters };
    m_capacity = std::make_shared<capacity_controller>(capacity, options.token, m_dispatcher,
        [this](const Capacity::wave_status& status, const std::function<void()>& onStored) {
            storeWave(status, onStored);
        });
}

void leader_term::startHeartbeats()
{
    // A read that waits for records would be answered with the leader's own.
    m_parts.progressReader.setLongPolling(false);
    m_states = std::make_unique<state_publisher>(m_parts.store, m_parts.timers,
        state_publisher_options {
            .topic = m_options.stateTopic, .writer = m_options.writer, .epoch = m_options.token.value },
        m_parts.states, [term = weak_from_this()] {
            if (const auto current = term.lock())
                current->loseLeadership("fenced_by_store");
        });
    m_states->begin(m_parts.progress.claim(), m_parts.jobRegistry);
    tick();
}

void leader_term::start(const std::map<std::int64_t, Capacity::wave_status>& waves)
{
    m_isStarted = true;
    const auto openJobs = m_parts.jobRegistry.openJobs();
    const auto cancelledJobs = m_parts.jobRegistry.cancelledJobs();
    Common::writeEvent(Common::log_level::Info, Common::log_category::Dispatch, "dispatch_began",
        { { "number", std::to_string(m_options.number) }, { "open_jobs", std::to_string(openJobs.size()) },
            { "cancelled_jobs", std::to_string(cancelledJobs.size()) } });
    for (const auto& id : openJobs)
        addJob(id);
    for (const auto& id : cancelledJobs) {
        addJob(id);
        m_dispatcher.cancelJob(id);
    }
    if (m_capacity)
        m_capacity->start(waves);
    schedulePlan();
}

void leader_term::addJob(const Common::job_id& id)
{
    const auto& jobs = m_parts.jobRegistry;
    const auto now = m_parts.timers.now();
    bool isFirst = true;
    // The progress of a large job isn't put together: as a whole it takes far more memory than the job.
    jobs.visitProgress(id, [&](const Jobs::job_progress& part) {
        if (std::exchange(isFirst, false))
            m_dispatcher.addJob(*jobs.find(id), part, now, jobs.highestLaneOfOthers(id));
        else
            m_dispatcher.addProgress(part, now);
    });
}

void leader_term::stopOrders()
{
    m_isOver = true;
    m_parts.progressReader.setLongPolling(true);
    if (m_capacity)
        m_capacity->stop();
}

void leader_term::stop()
{
    stopOrders();
    m_isReleaseOver = true;
    m_appender->stop();
    m_states.reset();
}

void leader_term::release(
    const std::string& successor, Common::millis timeout, std::function<void(bool)> onEnd)
{
    auto records = progressRecords(m_dispatcher.takeCommit());
    Common::writeEvent(Common::log_level::Info, Common::log_category::Membership, "leadership_released",
        { { "number", std::to_string(m_options.number) }, { "successor", successor },
            { "progress", std::to_string(records.size()) }, { "commits_in_flight", std::to_string(m_pendingCommits) } });
    records.push_back(releaseRecord(m_options.number, successor));
    const auto end = [self = shared_from_this(), onEnd = std::move(onEnd)](bool isStored) {
        if (self->m_isReleaseOver)
            return;
        self->stop();
        onEnd(isStored);
    };
    append(std::move(records),
        [end](Records::append_outcome outcome) { end(outcome == Records::append_outcome::Stored); });
    m_parts.timers.after(timeout, [end] { end(false); });
}

void leader_term::loseLeadership(const char* why)
{
    if (m_isOver)
        return;
    Common::writeEvent(Common::log_level::Warning, Common::log_category::Dispatch, "leadership_lost",
        { { "reason", why }, { "token", std::to_string(m_options.token.value) } });
    stop();
    m_onLost();
}

void leader_term::setRules(const Rules::fleet_rules& rules)
{
    m_dispatcher.setRules(rules);
    if (m_capacity)
        m_capacity->setRules(rules);
    schedulePlan();
}

void leader_term::setEvacuated(const std::set<Common::data_centre_id>& zones)
{
    m_dispatcher.setEvacuated(zones);
    schedulePlan();
}

void leader_term::setWaves(const std::map<std::int64_t, Rules::maintenance_wave>& waves)
{
    if (m_capacity)
        m_capacity->setWaves(waves);
}

void leader_term::storeWave(const Capacity::wave_status& status, const std::function<void()>& onStored)
{
    m_appender->add({ waveRecord(status) }, [self = shared_from_this(), onStored](Records::append_outcome outcome) {
        if (outcome == Records::append_outcome::Stored)
            onStored();
        else
            self->loseLeadership("fenced_by_store");
    });
}

void leader_term::workerRegistered(const Dispatch::worker_entry& entry, Common::instant seenAt)
{
    m_dispatcher.workerRegistered(entry, seenAt, m_parts.timers.now());
    schedulePlan();
}

void leader_term::workerUnregistered(const Common::worker_id& id) { m_dispatcher.workerUnregistered(id); }

void leader_term::jobAccepted(const Common::job_id& id)
{
    if (!m_isStarted || !m_parts.jobRegistry.find(id))
        return;
    addJob(id);
    if (m_parts.jobRegistry.isCancelled(id))
        m_dispatcher.cancelJob(id);
    schedulePlan();
}

void leader_term::jobCancelled(const Common::job_id& id)
{
    if (m_dispatcher.hasJob(id))
        Common::writeEvent(Common::log_level::Info, Common::log_category::Dispatch, "cancellation_read",
            { { "job", id.value }, { "number", std::to_string(m_options.number) } });
    m_dispatcher.cancelJob(id);
    schedulePlan();
}

void leader_term::tick()
{
    if (m_isOver)
        return;
    if (m_isStarted) {
        schedulePlan();
        closeStaleConnections();
    } else {
        flush();
    }
    reportLoad();
    m_parts.timers.after(tickInterval, [self = shared_from_this(), due = m_parts.timers.now() + tickInterval] {
        self->noteLag(due);
        self->tick();
    });
}

void leader_term::noteLag(Common::instant due)
{
    if (const auto change = m_parts.health.load.timerFired(due, m_parts.timers.now()))
        report(*change, m_parts.health.load.thresholds());
    if (m_parts.health.load.isBehind())
        m_window.loopBehind(m_parts.timers.now());
}

void leader_term::reportLoad()
{
    const auto now = m_parts.timers.now();
    if (m_isStarted && m_load.isDue(now))
        report(m_load.measure(m_orders, m_window.size(), m_dispatcher.backlog(now), now));
}

void leader_term::closeStaleConnections()
{
    const auto now = m_parts.timers.now();
    if (now - m_connectionsCheckedAt < connectionCheckInterval)
        return;
    m_connectionsCheckedAt = now;
    std::vector<Common::worker_id> known;
    for (const auto& [id, worker] : m_dispatcher.workers())
        known.push_back(id);
    m_parts.workers.keepOnly(known);
}

void leader_term::schedulePlan()
{
    if (m_isPlanScheduled || m_isOver || !m_isStarted)
        return;
    m_isPlanScheduled = true;
    const auto delay = std::max(planDelay, restLeft());
    m_parts.timers.after(delay, [self = shared_from_this(), due = m_parts.timers.now() + delay] {
        self->m_isPlanScheduled = false;
        self->noteLag(due);
        self->planAfterRest();
    });
}

Common::millis leader_term::restLeft() const { return Common::elapsed(m_parts.timers.now(), m_restsUntil); }

void leader_term::planAfterRest()
{
    if (restLeft().count() > 0)
        schedulePlan();
    else
        planAndSend();
}

void leader_term::planAndSend()
{
    if (m_isOver || !m_isStarted)
        return;
    // Progress stored by the next leader would be taken for placements of this one.
    if (m_parts.progress.claim().number > m_options.number) {
        loseLeadership("claimed_by_another");
        return;
    }
    const auto began = m_parts.timers.now();
    auto leadership = m_parts.election.status();
    leadership.isStoreUnresponsive = leadership.isStoreUnresponsive
        || (m_pendingCommits > 0 && m_parts.timers.now() - m_commitBeganAt > slowCommitTime);
    if (m_parts.progress.released() + 1 >= m_options.number)
        m_dispatcher.setLogComplete();
    // Plan instances first, so that a worker that is about to leave gets no more starts.
    if (m_capacity)
        m_capacity->plan(!m_areInstanceOrdersPaused && leadership.isConfirmed(m_parts.timers.now()));
    const auto permission = judgeStarts();
    noteStartPermission(permission);
    m_dispatcher.limitStarts({ .room = isGranted(permission) ? m_window.room() : 0,
        .plannedPerPool = std::max(minPlannedPerPool, plannedPerPlace * m_window.size()) });
    sendOrders(m_dispatcher.plan(m_parts.timers.now(), Common::wallNow(), leadership));
    if (m_dispatcher.awaitsPlacementLog())
        m_parts.health.views.refreshOld([self = shared_from_this()] { self->schedulePlan(); });
    flush();
    const auto ended = m_parts.timers.now();
    m_restsUntil = ended + std::min<Common::instant::duration>(restPerPass * (ended - began), longestRest);
    if (m_dispatcher.isFenced())
        loseLeadership("fenced_by_worker");
}

start_permission leader_term::judgeStarts() const
{
    const auto& views = m_parts.health.views;
    if (m_parts.health.load.isBehind())
        return start_permission::LoopBehind;
    if (views.areRecent(unanswered_reads::CountAsOld))
        return start_permission::Granted;
    // Reads also stay unanswered when this instance's own link is full. The store goes on with other instances then, and
    // what it has acknowledged to them may forbid the start.
    if (m_orders.areAnswersSlow(m_parts.timers.now()))
        return start_permission::ViewsOld;
    return views.areRecent(unanswered_reads::CountAsRecent) ? start_permission::GrantedWithoutStore
                                                            : start_permission::ViewsOld;
}

void leader_term::noteStartPermission(start_permission permission)
{
    if (!m_dispatcher.awaitsPlacementLog() || std::exchange(m_loggedPermission, permission) == permission)
        return;
    report(permission, m_parts.health.views);
}

void leader_term::sendOrders(const Dispatch::dispatch_orders& orders)
{
    for (const auto& order : orders.stops)
        sendStop(order);
    // Only starts can wait: what runs has to be stopped or renewed in time.
    for (const auto& order : orders.polls)
        sendPoll(order);
    for (const auto& order : orders.starts)
        sendStart(order);
    for (const auto& order : orders.paces)
        sendPace(order);
}

void leader_term::sendStart(const Dispatch::start_order& order)
{
    m_parts.eventCounters.add("starts");
    m_orders.sent(order_kind::Start);
    m_window.sent();
    const auto sentAt = m_parts.timers.now();
    m_parts.workers.start(order, m_options.token, orderTimeout,
        [self = shared_from_this(), order, sentAt](const Dispatch::order_reply& reply) {
            self->noteAnswer(order_kind::Start, sentAt, Common::millis(0), reply);
            self->m_dispatcher.onStart(order, reply, self->m_parts.timers.now());
            self->schedulePlan();
        });
}

void leader_term::sendStop(const Dispatch::stop_order& order)
{
    m_parts.eventCounters.add("stops");
    m_orders.sent(order_kind::Stop);
    const auto sentAt = m_parts.timers.now();
    m_parts.workers.stop(order, m_options.token, orderTimeout,
        [self = shared_from_this(), order, sentAt](const Dispatch::order_reply& reply) {
            self->noteAnswer(order_kind::Stop, sentAt, Common::millis(0), reply);
            self->m_dispatcher.onStop(order, reply, self->m_parts.timers.now());
            self->schedulePlan();
        });
}

void leader_term::sendPoll(const Dispatch::poll_order& order)
{
    m_parts.eventCounters.add("holds");
    m_orders.sent(order_kind::Poll);
    const auto sentAt = m_parts.timers.now();
    m_parts.workers.poll(order, m_options.token, order.wait + pollTimeoutMargin,
        [self = shared_from_this(), order, sentAt](const Dispatch::poll_order_reply& reply) {
            self->noteAnswer(order_kind::Poll, sentAt, order.wait, reply.base);
            self->m_dispatcher.onPollReply(order, reply, sentAt, self->m_parts.timers.now());
            self->schedulePlan();
        });
}

void leader_term::sendPace(const Dispatch::pace_order& order)
{
    m_orders.sent(order_kind::Pace);
    const auto sentAt = m_parts.timers.now();
    m_parts.workers.pace(order, m_options.token, orderTimeout,
        [self = shared_from_this(), order, sentAt](const Dispatch::order_reply& reply) {
            self->noteAnswer(order_kind::Pace, sentAt, Common::millis(0), reply);
            self->m_dispatcher.onPace(order, reply);
        });
}

void leader_term::noteAnswer(
    order_kind kind, Common::instant sentAt, Common::millis wait, const Dispatch::order_reply& reply)
{
    const auto time = Common::elapsed(sentAt + wait, m_parts.timers.now());
    const bool isAnswered = reply.outcome != Dispatch::order_outcome::NoAnswer
        && reply.outcome != Dispatch::order_outcome::NotSent;
    m_orders.answered(kind, time, isAnswered, m_parts.timers.now());
    if (kind == order_kind::Start)
        m_window.startAnswered(time, m_parts.timers.now());
    else if (kind == order_kind::Stop)
        m_window.stopAnswered(time, m_parts.timers.now());
}

void leader_term::flush()
{
    if (m_pendingCommits > 0 || m_isOver)
        return;
    const auto batch = m_dispatcher.takeCommit();
    auto records = progressRecords(batch);
    if (records.empty() && !batch.empty())
        m_dispatcher.onCommitted(batch, m_parts.timers.now());
    // Any record of the term counts as a heartbeat.
    if (records.empty() && m_parts.timers.now() - m_commitBeganAt >= heartbeatInterval)
        records.push_back(heartbeatRecord(m_options.number));
    if (!records.empty())
        store(std::move(records), batch);
}

std::vector<Records::keyed_record> leader_term::progressRecords(const Dispatch::commit_batch& batch)
{
    std::vector<Records::keyed_record> records;
    for (const auto& progress : batch.progress) {
        auto written = m_progressWriter.write(progress);
        records.insert(records.end(), std::make_move_iterator(written.begin()), std::make_move_iterator(written.end()));
    }
    return records;
}

void leader_term::append(std::vector<Records::keyed_record> records, Records::batch_appender::done_handler done)
{
    auto groups = divideIntoAppends(std::move(records), m_options.storeLimits);
    for (std::size_t index = 0; index + 1 < groups.size(); ++index)
        m_appender->add(std::move(groups[index]), [](Records::append_outcome) {});
    m_appender->add(std::move(groups.back()), std::move(done));
}

void leader_term::store(std::vector<Records::keyed_record> records, const Dispatch::commit_batch& batch)
{
    ++m_pendingCommits;
    m_commitBeganAt = m_parts.timers.now();
    append(
        std::move(records), [self = shared_from_this(), batch](Records::append_outcome outcome) {
            --self->m_pendingCommits;
            if (outcome != Records::append_outcome::Stored) {
                self->loseLeadership("fenced_by_store");
                return;
            }
            self->m_parts.election.confirm(self->m_commitBeganAt);
            for (const auto& progress : batch.progress)
                self->applyStored(progress);
            self->m_dispatcher.onCommitted(batch, self->m_parts.timers.now());
            // Send the starts that waited for their placements to be stored.
            self->planAfterRest();
        });
}

void leader_term::applyStored(const Jobs::job_progress& progress)
{
    // The tasks are read back from the log.
    m_parts.jobRegistry.noteState(progress.job, progress.state);
    // The term may have ended while the answers to one append are handled.
    if (m_states)
        m_states->publish(progress);
}

void leader_term::observe(const Dispatch::dispatch_event& event)
{
    m_parts.eventCounters.add(toText(event.kind));
    report(event);
}

}
