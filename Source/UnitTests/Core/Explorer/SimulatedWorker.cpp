#include "SimulatedWorker.h"

#include "Jobs/JobNames.h"

#include <algorithm>
#include <utility>

using Dispatch::order_outcome;

namespace {

constexpr Common::millis stopTime { 200 };
/// Ends in one list. Real workers list more; few let lists be cut often.
constexpr std::size_t maxListedEnds = 3;
/// Longest lease that a worker accepts, in ms of its clock.
constexpr std::int64_t maxLeaseMillis = 10000;
/// Rate of the worker's clock relative to the nodes' clock.
constexpr double clockRate = 0.98;

/// Each worker has an address of its own. Their ids are a letter and a number.
std::uint16_t portOf(const std::string& id) { return static_cast<std::uint16_t>(1000 + std::stoi(id.substr(1))); }

/// Workers know a job by its caller's identifier alone.
Jobs::task_name asListed(Jobs::task_name task)
{
    task.job.value = Jobs::callerIdOf(task.job).value;
    return task;
}

}

simulated_worker::simulated_worker(
    std::string id, manual_timers& timers, run_observer& observer, Common::millis workTime)
    : m_id(std::move(id))
    , m_timers(timers)
    , m_observer(observer)
    , m_workTime(workTime)
    , m_startedAt(timers.now())
{
}

Dispatch::worker_entry simulated_worker::entry() const
{
    return { .id = { m_id },
        .pool = { "pool" },
        .address = { "127.0.0.1", portOf(m_id) },
        .dataCentre = { "dc" },
        .rack = { "r1" },
        .capacity = { .processor = { m_slots * processorPerSlot.value }, .memory = { 100000 } },
        .incarnationStartedAt = { m_incarnation } };
}

Dispatch::worker_millis simulated_worker::clock() const
{
    const auto age = Common::elapsed(m_startedAt, m_timers.now());
    return { static_cast<std::int64_t>(static_cast<double>(age.count()) * clockRate) };
}

Dispatch::order_reply simulated_worker::reply(order_outcome outcome) const
{
    return { .outcome = outcome, .clock = clock() };
}

Dispatch::order_reply simulated_worker::listReply() const
{
    auto named = reply(order_outcome::Done);
    named.incarnationStartedAt = Common::wall_millis { m_incarnation };
    return named;
}

bool simulated_worker::isFenced(Dispatch::fencing_token token)
{
    if (token < m_fence)
        return true;
    m_fence = token;
    return false;
}

void simulated_worker::extendLease(Dispatch::worker_millis deadline)
{
    const Dispatch::worker_millis latest { clock().value + maxLeaseMillis };
    m_leaseDeadline = std::max(m_leaseDeadline, std::min(deadline, latest));
}

Dispatch::order_reply simulated_worker::start(const Dispatch::start_order& order, Dispatch::fencing_token token)
{
    tick();
    if (isFenced(token))
        return reply(order_outcome::Fenced);
    if (order.deadline <= clock())
        return reply(order_outcome::DeadlinePassed);
    extendLease(order.deadline);
    const auto task = asListed(order.task);
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.run == order.run)
        return reply(order_outcome::Done);
    if (running != m_runs.end() || order.run <= m_highestRuns[task])
        return reply(order_outcome::StaleRun);
    if (m_checksCapacity && runCount() >= m_slots)
        return reply(order_outcome::NoRoom);
    m_runs[task] = { .run = order.run, .expectedEnd = m_observer.isLongRunning(task) ? Common::instant::max() : m_timers.now() + m_workTime };
    m_observer.onRunStarted(m_id, task, order.run);
    return reply(order_outcome::Done);
}

Dispatch::order_reply simulated_worker::stop(const Dispatch::stop_order& order, Dispatch::fencing_token token)
{
    tick();
    if (isFenced(token))
        return reply(order_outcome::Fenced);
    const auto task = asListed(order.task);
    auto& highestRun = m_highestRuns[task];
    highestRun = std::max(highestRun, order.run);
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.run <= order.run)
        running->second.stopsAt = m_timers.now() + stopTime;
    return reply(order_outcome::Done);
}

Dispatch::poll_order_reply simulated_worker::answerPoll(const Dispatch::poll_order& order, Dispatch::fencing_token token)
{
    tick();
    if (isFenced(token))
        return { .base = reply(order_outcome::Fenced) };
    if (order.deadline)
        extendLease(*order.deadline);
    std::erase_if(m_ends, [&order](const auto& end) { return end.number <= order.acknowledgedEnd; });
    Dispatch::poll_order_reply answer { .base = listReply() };
    answer.mayHaveMoreEnds = m_ends.size() >= maxListedEnds;
    answer.ended.assign(m_ends.begin(), m_ends.begin() + static_cast<std::ptrdiff_t>(std::min(m_ends.size(), maxListedEnds)));
    for (const auto& [task, run] : m_runs)
        answer.running.push_back({ .task = task, .run = run.run, .percent = { 50 + m_lastEnd % 50 } });
    return answer;
}

void simulated_worker::end(const Jobs::task_name& task, Dispatch::end_kind kind)
{
    const auto run = m_runs.at(task).run;
    m_runs.erase(task);
    m_highestRuns[task] = std::max(m_highestRuns[task], run);
    m_ends.push_back({ .number = { ++m_lastEnd }, .task = task, .run = run, .kind = kind });
    m_observer.onRunEnded(m_id, task, kind);
}

void simulated_worker::tick()
{
    const auto now = m_timers.now();
    const auto runs = m_runs;
    for (const auto& [task, run] : runs) {
        if (now >= run.expectedEnd && (!run.stopsAt || run.expectedEnd <= *run.stopsAt))
            end(task, Dispatch::end_kind::Done);
        else if (run.stopsAt && now >= *run.stopsAt)
            end(task, Dispatch::end_kind::Stopped);
        else if (clock() >= m_leaseDeadline)
            end(task, Dispatch::end_kind::LeaseExpired);
    }
}

bool simulated_worker::isRunning(const Jobs::task_name& task, Dispatch::run_number run) const
{
    const auto found = m_runs.find(task);
    return found != m_runs.end() && found->second.run == run;
}

void simulated_worker::loseState()
{
    tick();
    const auto runs = std::exchange(m_runs, {});
    for (const auto& [task, run] : runs)
        m_observer.onRunEnded(m_id, task, Dispatch::end_kind::LeaseExpired);
    m_highestRuns.clear();
    m_ends.clear();
    m_lastEnd = 0;
    m_fence = {};
    m_leaseDeadline = {};
}

void simulated_worker::beginIncarnation()
{
    m_startedAt = m_timers.now();
    m_losesAnswers = false;
    m_outage.reset();
    ++m_incarnation;
}

void simulated_worker::crash()
{
    loseState();
    beginIncarnation();
}

void simulated_worker::crash(const worker_outage& outage)
{
    loseState();
    m_outage = outage;
    m_timers.after(outage.duration, [this] {
        beginIncarnation();
        m_observer.onWorkerRestarted(m_id);
    });
}
