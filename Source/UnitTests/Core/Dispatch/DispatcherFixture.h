#pragma once

#include "Dispatch/Dispatcher.h"

#include <algorithm>

/// All tasks of a step.
inline std::vector<Dispatch::task_state> tasksOf(const Dispatch::step_state& step)
{
    std::vector<Dispatch::task_state> tasks;
    for (int index = 0; index < step.count(); ++index) {
        const auto* known = step.find(index);
        const auto phase = step.isTaskDone(index) ? Dispatch::task_phase::Done : Dispatch::task_phase::Waiting;
        tasks.push_back(known ? *known : Dispatch::task_state { .phase = phase });
    }
    return tasks;
}

/// A dispatcher with one pool, one queue and one team; the test supplies the workers' replies.
struct dispatcher_fixture : Dispatch::dispatch_observer {
    static constexpr Common::millis stepTime { 10 };

    explicit dispatcher_fixture(std::int64_t token = 7, std::int64_t runBase = 0, bool hasInstanceList = true)
        : dispatcher({ .token = { token }, .runBase = { runBase } }, now, *this)
    {
        rules.version = 1;
        rules.pools = { { .id = { "pool" }, .checksCapacity = true } };
        rules.queues = { { .id = { "queue" }, .host = "h", .pathPrefix = "/q/", .pool = { "pool" }, .maxAttempts = 2 } };
        rules.teams = { { .id = { "team" }, .keys = { "key" } } };
        dispatcher.setRules(rules);
        if (hasInstanceList)
            dispatcher.setInstanceWorkers({}, now, now, wall());
    }

    void observe(const Dispatch::dispatch_event& event) override { events.push_back(event); }

    static Dispatch::worker_entry worker(const std::string& id, std::int64_t cores = 8)
    {
        return { .id = { id },
            .pool = { "pool" },
            .address = { "127.0.0.1", 1 },
            .dataCentre = { "dc" },
            .rack = { "r1" },
            .labels = { "a", "r1" },
            .capacity = { .processor = { cores * 1000 }, .memory = { 100000 } },
            .incarnationStartedAt = { 1000 } };
    }

    static Jobs::job_record job(const std::string& id, std::vector<Jobs::step_spec> steps)
    {
        return { .id = { id }, .queue = { "queue" }, .team = { "team" }, .spec = { .payload = "p", .steps = steps } };
    }

    static Jobs::step_spec step(int count, std::int64_t millicores = 1000, std::vector<int> dependsOn = {})
    {
        return { .count = count,
            .request = { .processor = { millicores }, .memory = { 10 } },
            .estimate = Common::millis(500),
            .dependsOn = std::move(dependsOn) };
    }

    void add(const Jobs::job_record& record, const Jobs::job_progress& progress = {})
    {
        auto known = progress;
        known.job = record.id;
        dispatcher.addJob(record, known, now);
    }

    /// Plans once. If the log is available, placements are stored at once and the resulting starts are included.
    Dispatch::dispatch_orders plan()
    {
        auto orders = turn();
        if (!isStored || !dispatcher.awaitsPlacementLog())
            return orders;
        stored = dispatcher.takeCommit();
        dispatcher.onCommitted(stored, now);
        const auto more = turn();
        orders.starts.insert(orders.starts.end(), more.starts.begin(), more.starts.end());
        orders.stops.insert(orders.stops.end(), more.stops.begin(), more.stops.end());
        orders.polls.insert(orders.polls.end(), more.polls.begin(), more.polls.end());
        return orders;
    }

    Dispatch::dispatch_orders turn()
    {
        now += stepTime;
        if (isConfirmed)
            status.confirmedUntil = now + std::chrono::milliseconds(850);
        auto orders = dispatcher.plan(now, wall(), status);
        for (const auto& poll : orders.polls)
            openPolls[poll.worker.id] = poll;
        return orders;
    }

    Common::wall_millis wall() const { return { now.time_since_epoch().count() / 1000000 }; }

    Dispatch::order_reply done() const
    {
        return { .clock = Dispatch::worker_millis { 5000 }, .incarnationStartedAt = incarnationStartedAt };
    }

    static Dispatch::order_reply reply(Dispatch::order_outcome outcome)
    {
        return { .outcome = outcome, .clock = Dispatch::worker_millis { 5000 } };
    }

    /// Answers a poll with the given lists.
    void answerPoll(const Dispatch::poll_order& order, std::vector<Dispatch::listed_run> running = {},
        std::vector<Dispatch::listed_end> ended = {})
    {
        const auto sentAt = now;
        openPolls.erase(order.worker.id);
        now += stepTime;
        auto base = done();
        base.outcome = Dispatch::order_outcome::Done;
        dispatcher.onPollReply(
            order, { .base = base, .running = std::move(running), .ended = std::move(ended) }, sentAt, now);
    }

    /// Registers a worker and answers its first poll with nothing running.
    void join(const Dispatch::worker_entry& entry)
    {
        dispatcher.workerRegistered(entry, now, now);
        for (const auto& order : plan().polls) {
            if (order.worker.id == entry.id)
                answerPoll(order);
        }
    }

    /// The dispatcher's estimate of the worker's clock.
    std::chrono::milliseconds estimatedClock(const std::string& id) const
    {
        return std::chrono::milliseconds(dispatcher.workers().at({ id }).clockAt(now).value);
    }

    /// The worker answers that it runs the task. Answers to orders don't name the incarnation.
    void accept(const Dispatch::start_order& order)
    {
        dispatcher.onStart(order, reply(Dispatch::order_outcome::Done), now);
    }

    static Dispatch::listed_run listed(const Dispatch::start_order& order, int percent = 10)
    {
        return { .task = order.task, .run = order.run, .percent = { percent } };
    }

    Dispatch::listed_end ended(const Dispatch::start_order& order, Dispatch::end_kind kind)
    {
        return { .number = { ++lastEnd }, .task = order.task, .run = order.run, .kind = kind };
    }

    /// The unanswered poll of a worker; plans until there is one.
    std::optional<Dispatch::poll_order> nextPoll(const std::string& id = "w1")
    {
        for (int turn = 0; turn < 200 && !openPolls.contains({ id }); ++turn)
            plan();
        const auto found = openPolls.find({ id });
        return found == openPolls.end() ? std::nullopt : std::optional(found->second);
    }

    Common::instant now { std::chrono::seconds(1000) };
    Common::wall_millis incarnationStartedAt { 1000 };
    /// The store keeps confirming the leadership.
    bool isConfirmed { true };
    /// The store appends placements at once.
    bool isStored { true };
    /// The last batch that was stored.
    Dispatch::commit_batch stored;
    Dispatch::leadership_status status { .isHeld = true };
    std::int64_t lastEnd { 0 };
    std::map<Common::worker_id, Dispatch::poll_order> openPolls;
    std::vector<Dispatch::dispatch_event> events;
    Rules::fleet_rules rules;
    Dispatch::dispatcher dispatcher;
};
