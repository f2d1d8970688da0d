#include "Bench/LeaderLoad.h"

#include <ctime>
#include <numeric>
#include <utility>

namespace Bench {

namespace {

    constexpr int poolCount = 4;
    constexpr Common::millis stepTime { 4 };
    constexpr Common::millis appendTime { 7 };
    constexpr Common::millis sizerInterval { 80 };
    constexpr double jobsPerWorkerAndSecond = 0.17;
    constexpr std::int64_t workerMillicores = 8000;
    constexpr std::int64_t workerMegabytes = 32000;
    constexpr int longRunningJobsEach = 40;
    constexpr int racks = 20;
    constexpr const char* longRunningPayload = "service";

    std::chrono::nanoseconds processorTime()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    std::string poolName(int index) { return "pool-" + std::to_string(index % poolCount); }

    std::string workerName(int index) { return "worker-" + std::to_string(100000 + index); }

    int workerNumber(const Common::worker_id& id) { return std::stoi(id.value.substr(7)) - 100000; }

    Jobs::step_spec stepOf(int job, int step)
    {
        // Sizes and run times vary from job to job, the same in each run. Hardly two steps request the same.
        const int variant = (job * 7 + step * 3) % 5;
        const int size = (job * 7919 + step * 104729) % 2000;
        const int memory = (job * 6151 + step * 49157) % 1000;
        return { .count = step == 0 ? 8 : 6,
            .request = { .processor = { 1000 + size }, .memory = { 1000 + memory } },
            .estimate = Common::millis(600 + 200 * variant),
            .dependsOn = step == 0 ? std::vector<int> {} : std::vector<int> { 0 },
            .isRackSensitive = job % 9 == 0,
            .maxPerWorker = job % 7 == 0 ? 2 : 0 };
    }

}

std::chrono::nanoseconds leader_load_result::totalTime() const
{
    return std::accumulate(time.begin(), time.end(), std::chrono::nanoseconds(0));
}

leader_load::leader_load(const leader_load_options& options)
    : m_options(options)
    , m_dispatcher({ .token = { 1 } }, m_now, *this)
    , m_planner(Capacity::sizer_options {})
{
    for (int pool = 0; pool < poolCount; ++pool) {
        m_rules.pools.push_back({ .id = { poolName(pool) }, .checksCapacity = true });
        for (int priority = 0; priority < 2; ++priority) {
            m_rules.queues.push_back({ .id = { poolName(pool) + "-" + std::to_string(priority) },
                .pool = { poolName(pool) },
                .priority = priority,
                .maxAttempts = 3,
                .stretch = 3,
                .latencyTarget = Common::millis(2000) });
        }
    }
    for (int team = 0; team < 10; ++team)
        m_rules.teams.push_back({ .id = { "team-" + std::to_string(team) } });
    m_dispatcher.setRules(m_rules);
    m_planner.setRules(m_rules);
    addWorkers();
    for (int job = 0; job < options.backlogPerWorker * options.workers; ++job)
        addJob();
}

Common::wall_millis leader_load::wall() const
{
    return { std::chrono::duration_cast<Common::millis>(m_now.time_since_epoch()).count() };
}

Dispatch::order_reply leader_load::reply(Dispatch::order_outcome outcome) const
{
    return { .outcome = outcome,
        .clock = Dispatch::worker_millis { wall().value },
        .incarnationStartedAt = Common::wall_millis { 1 } };
}

void leader_load::addWorkers()
{
    m_workers.resize(static_cast<std::size_t>(m_options.workers));
    for (int index = 0; index < m_options.workers; ++index) {
        const Dispatch::worker_entry entry { .id = { workerName(index) },
            .pool = { poolName(index) },
            .address = { "127.0.0.1", 1 },
            .dataCentre = { "dc-" + std::to_string(index % 3) },
            .rack = { "rack-" + std::to_string(index % racks) },
            .capacity = { .processor = { workerMillicores }, .memory = { workerMegabytes } },
            .incarnationStartedAt = { 1 } };
        m_dispatcher.workerRegistered(entry, m_now, m_now);
        m_instances.push_back({ .id = { "instance-" + std::to_string(index) },
            .pool = entry.pool,
            .dataCentre = entry.dataCentre,
            .capacity = entry.capacity,
            .worker = entry.id });
    }
    m_planner.onList(m_instances, m_dispatcher, m_now, m_now, wall());
}

void leader_load::addJob()
{
    const int number = m_nextJob++;
    Jobs::job_record record { .id = { "job-" + std::to_string(1000000 + number) },
        .queue = { poolName(number) + "-" + std::to_string(number % 2) },
        .team = { "team-" + std::to_string(number % 10) },
        .acceptedAt = wall(),
        .spec = { .payload = "p" } };
    if (number % longRunningJobsEach == longRunningJobsEach - 1) {
        record.spec.payload = longRunningPayload;
        record.spec.steps = { { .count = 1,
            .request = { .processor = { 500 }, .memory = { 500 } },
            .isLongRunning = true,
            .latencyTarget = Common::millis(100) } };
    } else {
        record.spec.steps = { stepOf(number, 0), stepOf(number, 1) };
    }
    m_dispatcher.addJob(record, { .job = record.id }, m_now);
}

void leader_load::enter(leader_part part)
{
    const auto now = processorTime();
    if (m_part != leader_part::Outside)
        m_result.time[static_cast<std::size_t>(m_part)] += now - m_partBeganAt;
    m_part = part;
    m_partBeganAt = now;
}

void leader_load::onPlanPart(Dispatch::plan_part part)
{
    enter(part == Dispatch::plan_part::End ? leader_part::Outside : static_cast<leader_part>(part));
}

leader_load_result leader_load::run(Common::millis duration, Common::millis most)
{
    const auto began = m_now;
    while (m_now - began < duration && m_result.totalTime() < most)
        step();
    m_result.simulated = Common::elapsed(began, m_now);
    return m_result;
}

void leader_load::step()
{
    m_now += stepTime;
    endRuns();
    m_jobsDue += jobsPerWorkerAndSecond * m_options.workers * std::chrono::duration<double>(stepTime).count();
    enter(leader_part::Jobs);
    for (; m_jobsDue >= 1; m_jobsDue -= 1)
        addJob();
    enter(leader_part::Replies);
    answerStarts();
    answerPolls();
    enter(leader_part::Outside);
    planSizes();
    plan();
    commit();
}

void leader_load::endRuns()
{
    for (; !m_runEnds.empty() && m_runEnds.top().at <= m_now; m_runEnds.pop()) {
        const auto& due = m_runEnds.top();
        auto& worker = m_workers[static_cast<std::size_t>(due.worker)];
        const auto found = worker.runs.find(due.task);
        if (found == worker.runs.end())
            continue;
        worker.ends.push_back({ .number = { ++worker.lastEnd }, .task = due.task, .run = found->second });
        worker.runs.erase(found);
    }
}

void leader_load::answerStarts()
{
    for (const auto& order : std::exchange(m_unansweredStarts, {}))
        m_dispatcher.onStart(order, reply(Dispatch::order_outcome::Done), m_now);
    for (const auto& order : std::exchange(m_unansweredStops, {}))
        m_dispatcher.onStop(order, reply(Dispatch::order_outcome::Done), m_now);
}

void leader_load::answerPolls()
{
    for (auto& worker : m_workers) {
        if (!worker.poll)
            continue;
        const auto acknowledged = worker.poll->acknowledgedEnd;
        std::erase_if(worker.ends, [&acknowledged](const auto& end) { return end.number <= acknowledged; });
        if (worker.ends.empty() && m_now < worker.pollEndsAt)
            continue;
        Dispatch::poll_order_reply answer { .base = reply(Dispatch::order_outcome::Done), .ended = worker.ends };
        for (const auto& [task, run] : worker.runs)
            answer.running.push_back({ .task = task, .run = run, .percent = { wall().value % 100 } });
        const auto order = *std::exchange(worker.poll, std::nullopt);
        m_dispatcher.onPollReply(order, answer, worker.pollSentAt, m_now);
    }
}

void leader_load::planSizes()
{
    if (m_now - m_sizedAt < sizerInterval)
        return;
    m_sizedAt = m_now;
    enter(leader_part::Sizer);
    const auto orders = m_planner.plan(m_dispatcher, m_now, wall());
    enter(leader_part::Outside);
    // Instances stay in their pools, so that runs stay comparable.
    for (const auto& order : orders.moves)
        m_planner.onMove(order, Capacity::instance_outcome::Invalid, m_dispatcher, m_now);
}

void leader_load::plan()
{
    const Dispatch::leadership_status status { .isHeld = true, .confirmedUntil = m_now + Common::millis(600) };
    const auto orders = m_dispatcher.plan(m_now, wall(), status);
    ++m_result.passes;
    m_result.workersExamined += m_dispatcher.lastPlan().workersExamined;
    m_result.starts += static_cast<int>(orders.starts.size());
    for (const auto& order : orders.starts) {
        addToChecksum(order.task, order.worker.id);
        const int number = workerNumber(order.worker.id);
        m_workers[static_cast<std::size_t>(number)].runs[order.task] = order.run;
        m_unansweredStarts.push_back(order);
        if (order.payload == longRunningPayload)
            continue;
        const Common::millis runTime { 500 + (order.task.index * 131 + number * 17) % 1000 };
        m_runEnds.push({ m_now + runTime, number, order.task });
    }
    for (const auto& order : orders.stops)
        addToChecksum(order.task, order.worker.id);
    m_unansweredStops = orders.stops;
    for (const auto& order : orders.polls) {
        auto& worker = m_workers[static_cast<std::size_t>(workerNumber(order.worker.id))];
        worker.poll = order;
        worker.pollSentAt = m_now;
        worker.pollEndsAt = m_now + order.wait;
    }
}

void leader_load::addToChecksum(const Jobs::task_name& task, const Common::worker_id& worker)
{
    const auto text = task.job.value + '/' + std::to_string(task.step) + '/' + std::to_string(task.index) + worker.value;
    constexpr std::size_t multiplier = 1099511628211U;
    m_result.checksum = (m_result.checksum * multiplier) ^ std::hash<std::string> {}(text);
}

void leader_load::commit()
{
    enter(leader_part::Commits);
    if (m_commit && m_now >= m_commitEndsAt) {
        m_dispatcher.onCommitted(*m_commit, m_now);
        m_commit.reset();
    }
    if (!m_commit) {
        m_commit = m_dispatcher.takeCommit();
        m_commitEndsAt = m_now + appendTime;
    }
    enter(leader_part::Outside);
}

}
