#include "Station/HolderRun.h"

#include "Common/Logging.h"
#include "Station/JobFeeds.h"

namespace Station {

namespace {

    /// Events that come this close together are planned for in one turn.
    constexpr Common::millis turnDelay { 4 };
    /// Longest time between two turns.
    constexpr Common::millis beatInterval { 100 };
    constexpr Common::millis forgetInterval { 5000 };
    constexpr Common::millis orderTimeout { 700 };
    /// A look may take this long beyond its wait.
    constexpr Common::millis holdPatience { 700 };
    /// Shortest time between two appends of progress.
    constexpr Common::millis commitGap { 4 };
    /// A holder that has nothing else to store shows itself this often.
    constexpr Common::millis signInterval { 150 };
    /// An append of progress is sent again after this time; 60 times slower than usual, the store answers sooner.
    constexpr Common::millis commitTimeout { 600 };
    /// An append of progress that takes longer puts the store's health in doubt.
    constexpr Common::millis slowCommit { 200 };
    /// Run numbers that one tenure may use for a task.
    constexpr std::int64_t runsPerTenure = 1000;

    const char* toText(Dispatch::dispatch_event_kind kind)
    {
        using enum Dispatch::dispatch_event_kind;
        switch (kind) {
        case Adopted:
            return "run_adopted";
        case Started:
            return "started";
        case StartRefused:
            return "start_refused";
        case StartUnsettled:
            return "start_unsettled";
        case StopOrdered:
            return "stop_ordered";
        case Ended:
            return "ended";
        case Vanished:
            return "run_vanished";
        case Stalled:
            return "run_stalled";
        case WorkerSilent:
            return "worker_silent";
        case WorkerLapsed:
            return "worker_lapsed";
        case WorkerReborn:
            return "worker_reborn";
        case WorkerDistrusted:
            return "worker_distrusted";
        case JobOver:
            return "job_over";
        case Fenced:
            break;
        }
        return "fenced";
    }

    const char* toText(Dispatch::order_outcome outcome)
    {
        using enum Dispatch::order_outcome;
        switch (outcome) {
        case Done:
            return "done";
        case Dispatch::order_outcome::Fenced:
            return "fenced";
        case OldRun:
            return "old_run";
        case Late:
            return "late";
        case NoRoom:
            return "no_room";
        case NoTicket:
            return "no_ticket";
        case OtherLife:
            return "other_life";
        case Unhealthy:
            return "unhealthy";
        case Invalid:
            return "invalid";
        case NotSent:
            return "not_sent";
        case NoAnswer:
            break;
        }
        return "no_answer";
    }

    const char* toText(Dispatch::end_kind kind)
    {
        using enum Dispatch::end_kind;
        switch (kind) {
        case Done:
            return "done";
        case Failed:
            return "failed";
        case Stopped:
            return "stopped";
        case Lapsed:
            return "lapsed";
        case Broken:
            return "broken";
        case Alone:
            break;
        }
        return "alone";
    }

    std::string taskText(const Jobs::task_name& task)
    {
        return std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
    }

}

holder_run::holder_run(
    const holder_parts& parts, const holder_tenure& tenure, std::function<void()> onLost)
    : m_parts(parts)
    , m_tenure(tenure)
    , m_dispatcher({ .token = tenure.token,
                       .runBase = { (tenure.number - 1) * runsPerTenure },
                       .stopTime = tenure.stopTime },
          parts.timers.now(), *this)
    , m_appender(std::make_shared<Records::batch_appender>(parts.store, parts.timers,
          Records::appender_options { .where = tenure.progressTopic,
              .writer = tenure.writer,
              .epoch = tenure.token.value,
              .sequence = 1,
              .gap = commitGap,
              .callTimeout = commitTimeout }))
{
    m_onLost = std::move(onLost);
    if (!parts.instances)
        return;
    const fleet_parts fleet { .store = parts.store,
        .timers = parts.timers,
        .instances = *parts.instances,
        .format = parts.operatorFormat,
        .statusTopic = tenure.statusTopic,
        .figures = parts.figures };
    m_fleet = std::make_shared<fleet_run>(fleet, tenure.token, m_dispatcher,
        [this](const Capacity::wave_status& status, const std::function<void()>& onStored) {
            keepWave(status, onStored);
        });
}

void holder_run::open() { beat(); }

void holder_run::start(const std::map<std::int64_t, Capacity::wave_status>& waves)
{
    m_isStarted = true;
    const auto now = m_parts.timers.now();
    for (const auto& id : m_parts.book.openJobs()) {
        const auto* job = m_parts.book.find(id);
        m_dispatcher.addJob(*job->record, job->progress, now);
    }
    for (const auto& id : m_parts.book.cancelledJobs()) {
        const auto* job = m_parts.book.find(id);
        m_dispatcher.addJob(*job->record, job->progress, now);
        m_dispatcher.cancelJob(id);
    }
    if (m_fleet)
        m_fleet->start(waves);
    wake();
}

void holder_run::stop()
{
    m_isOver = true;
    if (m_fleet)
        m_fleet->stop();
    m_appender->stop();
}

void holder_run::lose(const char* why)
{
    if (m_isOver)
        return;
    Common::writeEvent(Common::log_level::Warning, Common::log_category::Dispatch, "holder_lost",
        { { "reason", why }, { "token", std::to_string(m_tenure.token.value) } });
    stop();
    m_onLost();
}

void holder_run::setRules(const Rules::fleet_rules& rules)
{
    m_dispatcher.setRules(rules);
    if (m_fleet)
        m_fleet->setRules(rules);
    wake();
}

void holder_run::setEvacuated(const std::set<Common::data_centre_id>& zones)
{
    m_dispatcher.setEvacuated(zones);
    wake();
}

void holder_run::setWaves(const std::map<std::int64_t, Rules::upkeep_wave>& waves)
{
    if (m_fleet)
        m_fleet->setWaves(waves);
}

void holder_run::keepWave(const Capacity::wave_status& status, const std::function<void()>& onStored)
{
    m_appender->add({ waveRecord(status) }, [self = shared_from_this(), onStored](Records::append_outcome outcome) {
        if (outcome == Records::append_outcome::Stored)
            onStored();
        else
            self->lose("fenced_by_store");
    });
}

void holder_run::workerListed(const Dispatch::worker_entry& entry, Common::instant seenAt)
{
    m_dispatcher.workerListed(entry, seenAt, m_parts.timers.now());
    wake();
}

void holder_run::workerUnlisted(const Common::worker_id& id) { m_dispatcher.workerUnlisted(id); }

void holder_run::jobAccepted(const Common::job_id& id)
{
    const auto* job = m_parts.book.find(id);
    if (!job || !m_isStarted)
        return;
    m_dispatcher.addJob(*job->record, job->progress, m_parts.timers.now());
    if (job->isCancelled)
        m_dispatcher.cancelJob(id);
    wake();
}

void holder_run::jobCancelled(const Common::job_id& id)
{
    m_dispatcher.cancelJob(id);
    wake();
}

void holder_run::beat()
{
    if (m_isOver)
        return;
    if (m_isStarted) {
        wake();
        forgetWorkers();
    } else {
        flush();
    }
    m_parts.timers.after(beatInterval, [self = shared_from_this()] { self->beat(); });
}

void holder_run::forgetWorkers()
{
    const auto now = m_parts.timers.now();
    if (now - m_forgotAt < forgetInterval)
        return;
    m_forgotAt = now;
    std::vector<Common::worker_id> known;
    for (const auto& [id, worker] : m_dispatcher.workers())
        known.push_back(id);
    m_parts.workers.keepOnly(known);
}

void holder_run::wake()
{
    if (m_isTurnDue || m_isOver || !m_isStarted)
        return;
    m_isTurnDue = true;
    m_parts.timers.after(turnDelay, [self = shared_from_this()] {
        self->m_isTurnDue = false;
        self->turn();
    });
}

void holder_run::turn()
{
    if (m_isOver || !m_isStarted)
        return;
    // The next holder's records tell of jobs that we would take for begun by us.
    if (m_parts.progress.claim().number > m_tenure.number) {
        lose("claimed_by_another");
        return;
    }
    auto standing = m_parts.seat.standing();
    standing.isInDoubt = standing.isInDoubt || (m_commitsOpen > 0 && m_parts.timers.now() - m_commitBegan > slowCommit);
    if (m_parts.progress.released() + 1 >= m_tenure.number)
        m_dispatcher.trustNotes();
    // Instances go first: a worker that is about to leave gets no more starts.
    if (m_fleet)
        m_fleet->turn(standing.isConfirmed(m_parts.timers.now()));
    carryOut(m_dispatcher.plan(m_parts.timers.now(), Common::wallNow(), standing));
    flush();
    if (m_dispatcher.isFenced())
        lose("fenced_by_worker");
}

void holder_run::carryOut(const Dispatch::dispatch_orders& orders)
{
    for (const auto& order : orders.stops)
        sendStop(order);
    for (const auto& order : orders.starts)
        sendStart(order);
    for (const auto& order : orders.holds)
        sendHold(order);
    for (const auto& order : orders.paces)
        sendPace(order);
}

void holder_run::sendStart(const Dispatch::start_order& order)
{
    m_parts.figures.add("starts");
    m_parts.workers.start(order, m_tenure.token, orderTimeout,
        [self = shared_from_this(), order](const Dispatch::order_reply& reply) {
            self->m_dispatcher.onStart(order, reply, self->m_parts.timers.now());
            self->wake();
        });
}

void holder_run::sendStop(const Dispatch::stop_order& order)
{
    m_parts.figures.add("stops");
    m_parts.workers.stop(order, m_tenure.token, orderTimeout,
        [self = shared_from_this(), order](const Dispatch::order_reply& reply) {
            self->m_dispatcher.onStop(order, reply, self->m_parts.timers.now());
            self->wake();
        });
}

void holder_run::sendHold(const Dispatch::hold_order& order)
{
    m_parts.figures.add("holds");
    const auto sentAt = m_parts.timers.now();
    m_parts.workers.hold(order, m_tenure.token, order.wait + holdPatience,
        [self = shared_from_this(), order, sentAt](const Dispatch::hold_reply& reply) {
            self->m_dispatcher.onHold(order, reply, sentAt, self->m_parts.timers.now());
            self->wake();
        });
}

void holder_run::sendPace(const Dispatch::pace_order& order)
{
    m_parts.workers.pace(order, m_tenure.token, orderTimeout,
        [self = shared_from_this(), order](
            const Dispatch::order_reply& reply) { self->m_dispatcher.onPace(order, reply); });
}

void holder_run::flush()
{
    if (m_commitsOpen > 0 || m_isOver)
        return;
    const auto batch = m_dispatcher.takeCommit();
    std::vector<Records::keyed_record> records;
    for (const auto& progress : batch.progress)
        records.push_back(progressRecord(progress));
    if (records.empty() && !batch.empty())
        m_dispatcher.onCommitted(batch, m_parts.timers.now());
    // Records show the others that the seat is held.
    if (records.empty() && m_parts.timers.now() - m_commitBegan >= signInterval)
        records.push_back(signRecord(m_tenure.number));
    if (!records.empty())
        store(std::move(records), batch);
}

void holder_run::store(std::vector<Records::keyed_record> records, const Dispatch::commit_batch& batch)
{
    ++m_commitsOpen;
    m_commitBegan = m_parts.timers.now();
    m_appender->add(
        std::move(records), [self = shared_from_this(), batch](Records::append_outcome outcome) {
            --self->m_commitsOpen;
            if (outcome != Records::append_outcome::Stored) {
                self->lose("fenced_by_store");
                return;
            }
            self->m_parts.seat.confirm(self->m_commitBegan);
            for (const auto& progress : batch.progress)
                self->m_parts.book.advance(progress);
            self->m_dispatcher.onCommitted(batch, self->m_parts.timers.now());
            // Starts that waited for the log go out without delay.
            self->turn();
        });
}

void holder_run::observe(const Dispatch::dispatch_event& event)
{
    m_parts.figures.add(toText(event.kind));
    const bool isBad = event.kind == Dispatch::dispatch_event_kind::StartRefused
        || event.kind == Dispatch::dispatch_event_kind::Vanished
        || event.kind == Dispatch::dispatch_event_kind::WorkerLapsed;
    std::string detail;
    if (event.outcome)
        detail = toText(*event.outcome);
    else if (event.end)
        detail = toText(*event.end);
    else if (event.state)
        detail = std::to_string(static_cast<int>(*event.state));
    Common::writeEvent(isBad ? Common::log_level::Warning : Common::log_level::Info, Common::log_category::Dispatch,
        toText(event.kind),
        { { "job", event.task.job.value }, { "task", taskText(event.task) }, { "worker", event.worker.value },
            { "run", std::to_string(event.run.value) }, { "detail", detail } });
}

}
