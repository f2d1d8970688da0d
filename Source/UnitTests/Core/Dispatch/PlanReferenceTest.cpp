#include "DispatcherFixture.h"

#include <catch2/catch.hpp>
#include <random>
#include <tuple>

namespace {
using Dispatch::open_job;
using Dispatch::worker_state;

struct expected_placement {
    Jobs::task_name task;
    Common::worker_id worker;
    Dispatch::run_number run;
    friend auto operator<=>(const expected_placement&, const expected_placement&) = default;
};

std::ostream& operator<<(std::ostream& out, const expected_placement& placement)
{
    return out << placement.task.job.value << '.' << placement.task.step << '.' << placement.task.index << " on "
               << placement.worker.value << " run " << placement.run.value;
}

/// Places tasks in the most direct way: sorts all jobs in each pass and compares each task with each worker.
class reference_planner {
public:
    explicit reference_planner(const Rules::fleet_rules& rules)
        : m_rules(rules)
    {
    }

    void add(const Jobs::job_record& record, Common::wall_millis dueAt)
    {
        auto job = std::make_unique<open_job>(record, Jobs::job_progress { .job = record.id }, Dispatch::run_number {});
        job->dueAt = dueAt;
        m_jobs.push_back(std::move(job));
    }

    open_job* find(const Common::job_id& id)
    {
        const auto found = std::find_if(
            m_jobs.begin(), m_jobs.end(), [&id](const auto& job) { return job->record().id == id; });
        return found == m_jobs.end() ? nullptr : found->get();
    }

    void remove(const Common::job_id& id)
    {
        std::erase_if(m_jobs, [&id](const auto& job) { return job->record().id == id; });
    }

    void setRules(const Rules::fleet_rules& rules) { m_rules = rules; }

    std::vector<Common::job_id> jobs() const
    {
        std::vector<Common::job_id> ids;
        for (const auto& job : m_jobs)
            ids.push_back(job->record().id);
        return ids;
    }

    Dispatch::pool_demand demandOf(const Common::pool_id& pool, Common::wall_millis wall)
    {
        Dispatch::pool_demand demand;
        for (const auto& job : m_jobs) {
            if (m_rules.findQueue(job->record().queue)->pool != pool)
                continue;
            const bool isLate = isTooLate(*job, wall);
            demand.shortJobs += job->hasLongRunningTasks() ? 0 : 1;
            int& spread = demand.workersForSpread;
            const auto& occurrence = job->occurrences().at(0);
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& spec = job->record().spec.steps[step];
                const auto& state = occurrence.steps[step];
                if (spec.isBestEffort)
                    continue;
                const auto open = static_cast<std::int64_t>(spec.count) - state.done() - state.placed();
                const bool isReady = job->isReady(occurrence, static_cast<int>(step));
                if (!isLate && isReady && spec.maxPerWorker > 0)
                    spread = std::max(spread, (spec.count - state.done() + spec.maxPerWorker - 1) / spec.maxPerWorker);
                (isLate ? demand.late : isReady ? demand.waiting
                                                : demand.blocked)
                    += Jobs::times(spec.request, open);
                (isLate ? demand.late : demand.running) += Jobs::times(spec.request, state.placed());
            }
        }
        return demand;
    }

    std::vector<expected_placement> plan(
        std::map<Common::worker_id, worker_state> workers, Common::instant now, Common::wall_millis wall)
    {
        m_placed.clear();
        m_usage = {};
        for (auto& [id, worker] : workers) {
            dropUnsent(worker);
            for (const auto& [name, run] : worker.runs)
                m_usage.add(run.team, run.request);
        }
        for (const auto& pool : m_rules.pools)
            planPool(pool.id, workers, now, wall);
        return m_placed;
    }

private:
    static bool isTooLate(open_job& job, Common::wall_millis wall)
    {
        const auto& steps = job.record().spec.steps;
        if (std::any_of(steps.begin(), steps.end(), [](const auto& step) { return step.isLongRunning; }))
            return false;
        const auto left = static_cast<double>(criticalPath(job.record().spec, &job.occurrences().at(0)).count());
        return wall.value + static_cast<std::int64_t>(left * 0.2) > job.dueAt.value;
    }

    /// Runs of cancelled jobs whose start wasn't sent are gone when the pass begins.
    static void dropUnsent(worker_state& worker)
    {
        const auto runs = worker.runs;
        for (const auto& [name, run] : runs) {
            if (run.phase == Dispatch::run_phase::Stopping && !run.isSent)
                worker.removeRun(name);
        }
    }

    void planPool(const Common::pool_id& pool, std::map<Common::worker_id, worker_state>& all, Common::instant now,
        Common::wall_millis wall)
    {
        std::vector<worker_state*> workers;
        for (auto& [id, worker] : all) {
            const bool isUsable = worker.isRegistered && !worker.entry.isDraining && worker.hasReported
                && worker.knowsClock() && !worker.isCordoned && now >= worker.suspectedUntil;
            if (worker.entry.pool == pool && isUsable)
                workers.push_back(&worker);
        }
        using rank = std::tuple<bool, bool, int, std::int64_t, std::string>;
        std::vector<std::pair<rank, open_job*>> jobs;
        for (const auto& job : m_jobs) {
            const auto* queue = m_rules.findQueue(job->record().queue);
            const auto& steps = job->record().spec.steps;
            const bool isLongRunning
                = std::any_of(steps.begin(), steps.end(), [](const auto& step) { return step.isLongRunning; });
            if (queue->pool == pool)
                jobs.push_back({ { !isLongRunning, isTooLate(*job, wall), queue->priority, job->dueAt.value,
                                     job->record().id.value },
                    job.get() });
        }
        std::sort(jobs.begin(), jobs.end());
        for (const auto& [rank, job] : jobs) {
            for (std::size_t step = 0; step < job->record().spec.steps.size(); ++step) {
                if (job->isReady(job->occurrences().at(0), static_cast<int>(step)))
                    planStep(*job, step, workers, now);
            }
        }
    }

    void planStep(open_job& job, std::size_t step, const std::vector<worker_state*>& workers, Common::instant now)
    {
        const auto& spec = job.record().spec.steps[step];
        auto tasks = tasksOf(job.occurrences().at(0).steps[step]);
        std::map<Common::worker_id, int> counts;
        Common::rack_id rack;
        Dispatch::run_number gangRun;
        for (const auto& task : tasks) {
            gangRun = std::max(gangRun, task.lastRun);
            const bool mayStart = task.phase == Dispatch::task_phase::Waiting && now >= task.notBefore;
            if (spec.isGang && !mayStart)
                return;
            if (task.phase != Dispatch::task_phase::Placed)
                continue;
            ++counts[task.worker];
            const auto on = std::find_if(
                workers.begin(), workers.end(), [&task](const auto* worker) { return worker->entry.id == task.worker; });
            if (spec.isRackSensitive)
                rack = on != workers.end() ? (*on)->entry.rack : rackOf[task.worker];
        }
        const auto total = Jobs::times(spec.request, static_cast<std::int64_t>(tasks.size()));
        if (spec.isGang && !m_usage.allows(m_rules, job.record().team, total))
            return;
        std::vector<worker_state> backup;
        for (const auto* worker : workers)
            backup.push_back(*worker);
        std::vector<expected_placement> chosen;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            auto& task = tasks[index];
            if (task.phase != Dispatch::task_phase::Waiting || now < task.notBefore)
                continue;
            if (!spec.isGang && !m_usage.allows(m_rules, job.record().team, spec.request))
                break;
            auto* worker = choose(workers, spec, spec.isGang ? Common::worker_id() : task.failedOn, rack, counts);
            if (!worker)
                break;
            ++counts[worker->entry.id];
            if (spec.isRackSensitive && rack.empty())
                rack = worker->entry.rack;
            const auto name = Dispatch::taskAt(job.record(), 0, static_cast<int>(step), static_cast<int>(index));
            const Dispatch::run_number run { (spec.isGang ? gangRun : task.lastRun).value + 1 };
            // Members of a gang reserve processor until all of them are placed, even if they are best-effort tasks.
            worker->addRun(name,
                { .run = run,
                    .request = spec.request,
                    .team = job.record().team,
                    .isLongRunning = spec.isLongRunning && !spec.isGang,
                    .isBestEffort = spec.isBestEffort && !spec.isGang });
            if (!spec.isGang)
                m_usage.add(job.record().team, spec.request);
            chosen.push_back({ name, worker->entry.id, run });
        }
        if (spec.isGang) {
            for (std::size_t index = 0; index < workers.size(); ++index)
                *workers[index] = backup[index];
            if (chosen.size() < tasks.size())
                return;
        }
        for (const auto& placed : chosen) {
            if (spec.isGang) {
                const auto on = std::find_if(workers.begin(), workers.end(),
                    [&placed](const auto* worker) { return worker->entry.id == placed.worker; });
                (*on)->addRun(placed.task,
                    { .run = placed.run,
                        .request = spec.request,
                        .team = job.record().team,
                        .isLongRunning = spec.isLongRunning,
                        .isBestEffort = spec.isBestEffort });
                m_usage.add(job.record().team, spec.request);
            }
            job.place(placed.task, { .worker = placed.worker }, placed.run);
            m_placed.push_back(placed);
        }
    }

    static worker_state* choose(const std::vector<worker_state*>& workers, const Jobs::step_spec& spec,
        const Common::worker_id& avoided, const Common::rack_id& rack, const std::map<Common::worker_id, int>& counts)
    {
        using rank = std::tuple<bool, bool, bool, std::int64_t, std::string>;
        std::optional<rank> best;
        worker_state* bestWorker = nullptr;
        auto amount = spec.request;
        if (spec.isBestEffort)
            amount.processor = {};
        for (auto* worker : workers) {
            const auto& entry = worker->entry;
            const bool hasLabel = spec.requiredLabel.empty()
                || std::find(entry.labels.begin(), entry.labels.end(), spec.requiredLabel) != entry.labels.end();
            const auto count = counts.find(entry.id);
            const bool isWithinLimit
                = spec.maxPerWorker <= 0 || count == counts.end() || count->second < spec.maxPerWorker;
            if (!hasLabel || !isWithinLimit || !Jobs::fits(amount, worker->free()))
                continue;
            bool isPacked = false;
            std::int64_t spare = worker->free().processor.value;
            for (const auto& [name, run] : worker->runs) {
                isPacked = isPacked || run.isLongRunning || run.isBestEffort;
                spare -= run.isBestEffort ? run.request.processor.value : 0;
            }
            const bool isElsewhere = (!spec.dataRack.empty() && spec.dataRack != entry.rack)
                || (!rack.empty() && rack != entry.rack);
            const rank found { entry.id == avoided, isElsewhere,
                spec.isLongRunning && !spec.isBestEffort && !isPacked,
                spec.isBestEffort ? -spare : worker->free().processor.value, entry.id.value };
            if (best && *best <= found)
                continue;
            best = found;
            bestWorker = worker;
        }
        return bestWorker;
    }

public:
    /// Racks of all workers, also of those that get no new work.
    std::map<Common::worker_id, Common::rack_id> rackOf;

private:
    Rules::fleet_rules m_rules;
    std::vector<std::unique_ptr<open_job>> m_jobs;
    Dispatch::team_usage m_usage;
    std::vector<expected_placement> m_placed;
};

/// A dispatcher and the reference, both fed with the same random jobs, ends and failures.
class random_comparison {
public:
    explicit random_comparison(std::uint32_t seed)
        : m_random(seed)
        , m_reference(setRules())
    {
        for (int index = 0; index < 24; ++index) {
            auto entry = m_fixture.worker("w" + std::to_string(100 + index), 4 + pick(3) * 4);
            entry.pool = { index % 3 == 0 ? "other" : "pool" };
            entry.rack = { "r" + std::to_string(index % 3) };
            entry.labels = { index % 2 == 0 ? "a" : "b" };
            entry.capacity.memory = { 4000 + pick(5) * 500 };
            m_reference.rackOf[entry.id] = entry.rack;
            m_fixture.dispatcher.workerRegistered(entry, m_fixture.now, m_fixture.now);
        }
    }

    void step()
    {
        for (int count = pick(4); count > 0; --count)
            addJob();
        if (pick(8) == 0)
            m_fixture.dispatcher.setCordoned({ "w" + std::to_string(100 + pick(24)) }, pick(2) == 0);
        if (pick(40) == 0)
            changePriorities();
        if (const auto open = m_reference.jobs(); !open.empty() && pick(10) == 0)
            cancel(open[static_cast<std::size_t>(pick(static_cast<int>(open.size())))]);
        const auto before = m_fixture.dispatcher.workers();
        const auto at = m_fixture.now + dispatcher_fixture::stepTime;
        const auto orders = m_fixture.turn();
        auto expected = m_reference.plan(before, at, m_fixture.wall());
        auto actual = placements();
        std::sort(expected.begin(), expected.end());
        std::sort(actual.begin(), actual.end());
        REQUIRE(actual == expected);
        m_compared += static_cast<int>(actual.size());
        releaseUnsent(orders.starts);
        m_unsent = std::move(actual);
        m_fixture.dispatcher.onCommitted(m_fixture.dispatcher.takeCommit(), m_fixture.now);
        for (const auto& start : orders.starts)
            m_fixture.accept(start);
        for (const auto& stop : orders.stops)
            m_fixture.dispatcher.onStop(stop, m_fixture.done(), m_fixture.now);
        for (const auto& poll : orders.polls)
            answer(poll);
        m_fixture.dispatcher.onCommitted(m_fixture.dispatcher.takeCommit(), m_fixture.now);
    }

    /// The wall clock may be set back between two calls.
    void compareDemand()
    {
        for (const auto& pool : m_fixture.rules.pools) {
            const Common::wall_millis wall { m_fixture.wall().value + pick(5) * 1000 - 2000 };
            REQUIRE(m_fixture.dispatcher.demandOf(pool.id, wall) == m_reference.demandOf(pool.id, wall));
        }
    }

    int compared() const { return m_compared; }

private:
    int pick(int below) { return static_cast<int>(m_random() % static_cast<std::uint32_t>(below)); }

    Rules::fleet_rules setRules()
    {
        m_fixture.rules.pools.push_back({ .id = { "other" } });
        m_fixture.rules.queues = { { .id = { "queue" }, .pool = { "pool" }, .priority = 1, .maxAttempts = 1000, .stretch = 2 },
            { .id = { "urgent" }, .pool = { "pool" }, .priority = 0, .maxAttempts = 1000, .stretch = 3 },
            { .id = { "far" }, .pool = { "other" }, .priority = 1, .maxAttempts = 1000, .stretch = 2 } };
        m_fixture.rules.teams = { { .id = { "team" } }, { .id = { "limited" }, .limit = { .processor = { 20000 } } } };
        m_fixture.dispatcher.setRules(m_fixture.rules);
        return m_fixture.rules;
    }

    void changePriorities()
    {
        for (auto& queue : m_fixture.rules.queues)
            queue.priority = pick(2);
        m_fixture.dispatcher.setRules(m_fixture.rules);
        m_reference.setRules(m_fixture.rules);
    }

    void cancel(const Common::job_id& id)
    {
        m_fixture.dispatcher.cancelJob(id);
        m_reference.remove(id);
    }

    Jobs::step_spec randomStep(int index)
    {
        auto step = m_fixture.step(1 + pick(5), 250 * (1 + pick(20)));
        step.request.memory = { 100 * (1 + pick(20)) };
        step.estimate = Common::millis(100 * pick(10));
        if (index > 0 && pick(2) == 0)
            step.dependsOn = { index - 1 };
        step.isGang = pick(6) == 0;
        step.isRackSensitive = pick(4) == 0;
        step.isLongRunning = pick(12) == 0;
        step.isBestEffort = pick(10) == 0;
        step.maxPerWorker = pick(3);
        step.requiredLabel = pick(3) == 0 ? (pick(2) == 0 ? "a" : "b") : "";
        step.dataRack = { pick(5) == 0 ? "r1" : "" };
        return step;
    }

    void addJob()
    {
        static const std::vector<std::string> queues { "queue", "urgent", "far" };
        const int queueIndex = pick(3);
        std::vector<Jobs::step_spec> steps;
        for (int index = 0; index <= pick(3); ++index)
            steps.push_back(randomStep(index));
        auto record = m_fixture.job("j" + std::to_string(pick(1000000)), steps);
        if (m_reference.find(record.id))
            return;
        record.queue = { queues[static_cast<std::size_t>(queueIndex)] };
        record.team = { pick(4) == 0 ? "limited" : "team" };
        record.acceptedAt = { m_fixture.wall().value - pick(3000) };
        const auto& queue = *m_fixture.rules.findQueue(record.queue);
        const auto path = static_cast<double>(Dispatch::criticalPath(record.spec).count());
        m_fixture.add(record);
        m_reference.add(record, { record.acceptedAt.value + static_cast<std::int64_t>(queue.stretch * path) });
    }

    /// A worker that was cordoned after a task was placed on it gets no start.
    void releaseUnsent(const std::vector<Dispatch::start_order>& starts)
    {
        for (const auto& placed : m_unsent) {
            const bool isSent = std::any_of(
                starts.begin(), starts.end(), [&placed](const auto& start) { return start.task == placed.task; });
            auto* job = m_reference.find(placed.task.job);
            if (!isSent && job)
                job->release(placed.task, m_fixture.now);
        }
    }

    std::vector<expected_placement> placements() const
    {
        std::vector<expected_placement> found;
        for (const auto& [id, worker] : m_fixture.dispatcher.workers()) {
            for (const auto& [name, run] : worker.runs) {
                if (run.phase == Dispatch::run_phase::Planned && !run.isLogged)
                    found.push_back({ name, id, run.run });
            }
        }
        return found;
    }

    void answer(const Dispatch::poll_order& poll)
    {
        std::vector<Dispatch::listed_run> running;
        std::vector<Dispatch::listed_end> ended;
        for (const auto& [name, run] : m_fixture.dispatcher.workers().at(poll.worker.id).runs) {
            const bool isStopping = run.phase == Dispatch::run_phase::Stopping;
            if (!isStopping && run.phase != Dispatch::run_phase::Running)
                continue;
            if (!isStopping && pick(5) != 0) {
                running.push_back({ .task = name, .run = run.run, .percent = { 1 + ++m_percent % 90 } });
                continue;
            }
            const auto kind = pick(6) == 0 ? Dispatch::end_kind::Failed : Dispatch::end_kind::Done;
            ended.push_back({ .number = { ++m_lastEnd },
                .task = name,
                .run = run.run,
                .kind = isStopping ? Dispatch::end_kind::Stopped : kind });
        }
        m_fixture.answerPoll(poll, running, ended);
        for (const auto& end : ended)
            apply(end, poll.worker.id);
    }

    void apply(const Dispatch::listed_end& end, const Common::worker_id& worker)
    {
        auto* job = m_reference.find(end.task.job);
        auto* task = job ? job->find(end.task) : nullptr;
        if (!task)
            return;
        task->lastRun = std::max(task->lastRun, end.run);
        const auto& spec = job->spec(end.task);
        if (end.kind == Dispatch::end_kind::Done && !spec.isLongRunning) {
            auto name = end.task;
            for (int index = 0; index < spec.count; ++index) {
                name.index = index;
                if (spec.isGang || index == end.task.index)
                    job->finish(name);
            }
            if (job->isComplete())
                m_reference.remove(end.task.job);
            return;
        }
        if (task->phase == Dispatch::task_phase::Placed && task->worker == worker && task->run == end.run)
            job->release(end.task, m_fixture.now + Common::millis(spec.isLongRunning ? 150 : 0));
        if (end.kind == Dispatch::end_kind::Failed && !spec.isLongRunning && task->phase != Dispatch::task_phase::Done)
            task->failedOn = worker;
    }

    dispatcher_fixture m_fixture;
    std::mt19937 m_random;
    reference_planner m_reference;
    /// Placed in the last pass.
    std::vector<expected_placement> m_unsent;
    std::int64_t m_lastEnd { 0 };
    int m_percent { 0 };
    int m_compared { 0 };
};

}

TEST_CASE("Placements and demand are the same as those of a planner that walks all jobs and workers", "[dispatch]")
{
    int compared = 0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_comparison comparison(seed);
        for (int step = 0; step < 150; ++step) {
            CAPTURE(step);
            comparison.step();
            comparison.compareDemand();
        }
        compared += comparison.compared();
    }
    CHECK(compared > 5000);
}
