#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

#include <random>

using Dispatch::end_kind;
using Dispatch::order_outcome;

namespace {

/// What really runs on a worker.
struct simulated_runs {
    struct late_start {
        Dispatch::start_order order;
        Common::instant refusedFrom;
    };

    Jobs::resources capacity;
    std::map<Jobs::task_name, Dispatch::run_number> running;
    /// Starts that weren't answered and may still be carried out.
    std::vector<late_start> late;
    std::vector<Dispatch::listed_end> ends;
};

/// Workers whose capacities change, with starts and stops that are carried out late or not answered.
struct capacity_simulation : dispatcher_fixture {
    static constexpr int maxCores = 8;
    /// A start that arrives later is refused.
    static constexpr std::chrono::milliseconds startLease { 1200 };

    explicit capacity_simulation(unsigned seed)
        : random(seed)
    {
        for (const auto* id : { "w1", "w2", "w3" }) {
            join(worker(id));
            resize(id, maxCores);
        }
    }

    int draw(int count) { return std::uniform_int_distribution(0, count - 1)(random); }

    static Jobs::resources sizeOf(const Jobs::task_name& task)
    {
        return { .processor = { 1000 * (1 + task.step) }, .memory = { 10 } };
    }

    void resize(const std::string& id, int cores)
    {
        auto entry = worker(id, cores);
        entry.capacity.memory = { 10 * (1 + draw(8)) };
        workers[id].capacity = entry.capacity;
        dispatcher.workerRegistered(entry, now, now);
    }

    void submit()
    {
        auto small = step(1 + draw(3));
        auto large = step(1 + draw(2), 2000);
        large.isGang = draw(2) == 0;
        jobs.push_back('j' + std::to_string(jobs.size()));
        add(job(jobs.back(), { small, large }));
    }

    Jobs::resources takenOn(const simulated_runs& worker) const
    {
        Jobs::resources taken;
        for (const auto& [task, run] : worker.running)
            taken += sizeOf(task);
        for (const auto& start : worker.late)
            taken += now < start.refusedFrom ? sizeOf(start.order.task) : Jobs::resources {};
        return taken;
    }

    void onOrder(const Dispatch::start_order& order)
    {
        ++starts;
        auto& worker = workers.at(order.worker.id.value);
        CHECK(Jobs::fits(takenOn(worker) + sizeOf(order.task), worker.capacity));
        const int fate = draw(6);
        if (fate == 0) {
            worker.late.push_back({ order, now + startLease });
        } else if (fate == 1) {
            dispatcher.onStart(order, reply(order_outcome::NoRoom), now);
            return;
        } else {
            worker.running[order.task] = order.run;
        }
        if (fate <= 2)
            dispatcher.onStart(order, reply(order_outcome::NoAnswer), now);
        else
            accept(order);
    }

    void onOrder(const Dispatch::stop_order& order)
    {
        if (draw(4) == 0) {
            dispatcher.onStop(order, reply(order_outcome::NoAnswer), now);
            return;
        }
        auto& worker = workers.at(order.worker.id.value);
        std::erase_if(worker.late,
            [&order](const auto& start) { return start.order.task == order.task && start.order.run == order.run; });
        const auto found = worker.running.find(order.task);
        if (found != worker.running.end() && found->second == order.run)
            end(worker, order.task, end_kind::Stopped);
        auto accepted = done();
        accepted.outcome = order_outcome::Done;
        dispatcher.onStop(order, accepted, now);
    }

    static void end(simulated_runs& worker, const Jobs::task_name& task, end_kind kind)
    {
        worker.ends.push_back({ .number = { static_cast<std::int64_t>(worker.ends.size()) + 1 },
            .task = task,
            .run = worker.running.at(task),
            .kind = kind });
        worker.running.erase(task);
    }

    void workOn(simulated_runs& worker)
    {
        if (!worker.late.empty() && draw(10) == 0) {
            const auto start = worker.late.front();
            worker.late.erase(worker.late.begin());
            if (now < start.refusedFrom)
                worker.running[start.order.task] = start.order.run;
        }
        if (!worker.running.empty() && draw(20) == 0)
            end(worker, worker.running.begin()->first, draw(5) == 0 ? end_kind::Failed : end_kind::Done);
    }

    void report(const std::string& id)
    {
        std::vector<Dispatch::listed_run> running;
        for (const auto& [task, run] : workers.at(id).running)
            running.push_back({ .task = task, .run = run, .percent = { draw(100) } });
        const auto poll = openPolls.at({ id });
        answerPoll(poll, running, workers.at(id).ends);
    }

    void turnAround()
    {
        if (draw(15) == 0)
            submit();
        if (draw(30) == 0 && !jobs.empty())
            dispatcher.cancelJob({ jobs[static_cast<std::size_t>(draw(static_cast<int>(jobs.size())))] });
        for (auto& [id, worker] : workers) {
            if (draw(25) == 0)
                resize(id, draw(maxCores + 1));
            workOn(worker);
            if (openPolls.contains({ id }) && draw(3) == 0)
                report(id);
        }
        isStored = draw(3) > 0;
        const auto orders = plan();
        for (const auto& order : orders.stops)
            onOrder(order);
        for (const auto& order : orders.starts)
            onOrder(order);
    }

    std::mt19937 random;
    std::map<std::string, simulated_runs> workers;
    std::vector<std::string> jobs;
    int starts { 0 };
};

}

TEST_CASE("No start brings a worker over the capacity that it reported, whatever changes", "[dispatch][capacity]")
{
    const auto seed = GENERATE(range(1U, 41U));
    INFO("seed " << seed);
    capacity_simulation simulation(seed);
    for (int turn = 0; turn < 600; ++turn)
        simulation.turnAround();
    CHECK(simulation.starts > 20);
}
