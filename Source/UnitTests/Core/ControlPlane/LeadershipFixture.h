#pragma once

#include "../Records/FakeStore.h"
#include "ControlPlane/LeadershipManager.h"

/// A worker that answers polls, unless it is unresponsive.
struct idle_worker : Dispatch::worker_gateway {
    explicit idle_worker(manual_timers& owner)
        : timers(owner)
    {
    }

    static Dispatch::order_reply done()
    {
        return { .outcome = Dispatch::order_outcome::Done,
            .clock = Dispatch::worker_millis { 5000 },
            .incarnationStartedAt = Common::wall_millis { 1 } };
    }

    void start(const Dispatch::start_order& order, Dispatch::fencing_token, Common::millis, reply_handler handler) override
    {
        ++starts[order.task];
        // Workers know a job by its caller's identifier alone.
        auto task = order.task;
        task.job.value = Jobs::callerIdOf(order.task.job).value;
        mixedStarts += static_cast<int>(std::count_if(running.begin(), running.end(),
            [&](const auto& run) { return run.task.job == task.job && run.orderedAs.job != order.task.job; }));
        if (finishesTasks)
            running.push_back({ .endsAt = timers.now() + workTime, .task = task, .orderedAs = order.task, .run = order.run });
        timers.after(Common::millis(2), [handler] { handler(done()); });
    }
    void stop(const Dispatch::stop_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { }
    void pace(const Dispatch::pace_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { }
    void poll(const Dispatch::poll_order& order, Dispatch::fencing_token, Common::millis timeout,
        std::function<void(Dispatch::poll_order_reply)> handler) override
    {
        if (isUnresponsive)
            timers.after(timeout, [handler] { handler({}); });
        else
            timers.after(Common::millis(2), [this, handler, acknowledged = order.acknowledgedEnd] {
                endTasks();
                Dispatch::poll_order_reply reply { .base = done() };
                for (const auto& run : running)
                    reply.running.push_back({ .task = run.task, .run = run.run });
                std::copy_if(ended.begin(), ended.end(), std::back_inserter(reply.ended),
                    [acknowledged](const auto& end) { return end.number > acknowledged; });
                handler(reply);
            });
    }
    void keepOnly(const std::vector<Common::worker_id>&) override { }

    void endTasks()
    {
        std::erase_if(running, [this](const auto& run) {
            const bool isOver = run.endsAt <= timers.now();
            if (isOver)
                ended.push_back({ .number = { static_cast<std::int64_t>(ended.size()) + 1 },
                    .task = run.task,
                    .run = run.run,
                    .kind = Dispatch::end_kind::Done });
            return isOver;
        });
    }

    struct running_task {
        Common::instant endsAt;
        Jobs::task_name task;
        Jobs::task_name orderedAs;
        Dispatch::run_number run;
    };

    manual_timers& timers;
    bool isUnresponsive { false };
    std::map<Jobs::task_name, int> starts;
    /// Starts of a task beside one of another job with the same identifier of the caller.
    int mixedStarts { 0 };
    /// Tasks end `workTime` after their start; otherwise none is listed.
    bool finishesTasks { false };
    Common::millis workTime { 0 };
    std::vector<running_task> running;
    std::vector<Dispatch::listed_end> ended;
};

/// Instances in the spare pool, unless a test lists others. Moves take a while and get no answer, so that they are ordered again and
/// again.
struct unanswering_manager : Capacity::instance_gateway {
    explicit unanswering_manager(manual_timers& owner)
        : timers(owner)
    {
    }

    void list(Common::millis,
        std::function<void(std::optional<std::vector<Capacity::instance_entry>>)> handler) override
    {
        timers.after(Common::millis(2), [handler, listed = entries] { handler(listed); });
    }
    static std::vector<Capacity::instance_entry> spareInstances()
    {
        std::vector<Capacity::instance_entry> spare;
        for (const auto* id : { "i", "j", "k" })
            spare.push_back({ .id = { id },
                .pool = { "spare" },
                .capacity = { .processor = { 8000 }, .memory = { 1000 } } });
        return spare;
    }
    void move(
        const Capacity::move_order&, Dispatch::fencing_token, Common::millis timeout, outcome_handler handler) override
    {
        ++openMoves;
        timers.after(timeout, [this, handler] {
            --openMoves;
            handler(Capacity::instance_outcome::NoAnswer);
        });
    }
    void startMaintenance(
        const Capacity::maintenance_order&, Dispatch::fencing_token, Common::millis, outcome_handler) override { }

    manual_timers& timers;
    std::vector<Capacity::instance_entry> entries { spareInstances() };
    int openMoves { 0 };
};

/// Instances with the production readers and leadership managers, on one store in memory and one virtual clock.
struct leadership_fixture {
    struct null_format : ControlPlane::operator_format {
        Records::keyed_record waveStatus(std::int64_t, bool) const override { return {}; }
    };

    struct null_sink : Records::record_sink {
        void reset() override { }
        void apply(const Records::keyed_record&) override { }
    };

    struct instance;

    static Records::topic_partition progress() { return { "keyed.progress", 0 }; }

    static Records::topic_partition states() { return { "keyed.states", 0 }; }

    static Records::topic_partition handovers() { return { "keyed.handover", 0 }; }

    static Rules::fleet_rules rules()
    {
        Rules::fleet_rules result;
        result.version = 1;
        result.pools = { { .id = { "pool" }, .checksCapacity = true }, { .id = { "spare" }, .isSpare = true } };
        result.queues = { { .id = { "q" }, .host = "h", .pathPrefix = "/q/", .pool = { "pool" }, .maxAttempts = 2 } };
        return result;
    }

    static Dispatch::worker_entry worker()
    {
        return { .id = { "w" },
            .pool = { "pool" },
            .address = { "127.0.0.1", 1 },
            .capacity = { .processor = { 8000 }, .memory = { 1000 } },
            .incarnationStartedAt = { 1 } };
    }

    /// Claims in the log, oldest first.
    std::vector<std::string> claimers()
    {
        std::vector<std::string> members;
        for (const auto& record : store.partitions[progress()].records) {
            ControlPlane::progress_feed feed(unusedRegistry);
            feed.apply(record);
            if (!feed.claim().member.empty())
                members.push_back(feed.claim().member);
        }
        return members;
    }

    manual_timers timers;
    fake_store store { timers };
    idle_worker gateway { timers };
    unanswering_manager manager { timers };
    /// Whether instances that are added later can have other instances moved.
    bool hasInstanceManager { false };
    null_format format;
    Jobs::job_registry unusedRegistry;
};

struct leadership_fixture::instance : ControlPlane::job_listener, Records::timer_service, Records::record_store {
    instance(leadership_fixture& owner, const ControlPlane::leadership_options& options)
        : fixture(owner)
    {
        progressReader = startReader(progress(), Common::millis(200), progressFeed);
        stateReader = startReader(states(), Common::millis(200), stateFeed);
        handoverReader = startReader(handovers(), Common::millis(200), handoverFeed);
        workerList = startReader({ "keyed.workers", 0 }, Common::millis(400), nullSink);
        intake = std::make_unique<Records::partition_reader_group>(std::vector { startReader(
            { "keyed.intake", 0 }, ControlPlane::leadership_manager::standbyIntakeInterval, intakeFeed) });
        manager = std::make_unique<ControlPlane::leadership_manager>(
            ControlPlane::leadership_parts { .store = *this,
                .timers = *this,
                .workers = owner.gateway,
                .instances = owner.hasInstanceManager ? &owner.manager : nullptr,
                .operatorFormat = owner.format,
                .jobRegistry = jobRegistry,
                .progressFeed = progressFeed,
                .handoverFeed = handoverFeed,
                .stateFeed = stateFeed,
                .progress = *progressReader,
                .workerList = *workerList,
                .intake = *intake,
                .eventCounters = eventCounters,
                .health = health },
            withStates(options));
        manager->workerRegistered(worker());
        manager->start();
    }
    ~instance() override { kill(); }
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    static ControlPlane::leadership_options withStates(ControlPlane::leadership_options options)
    {
        options.stateTopic = states();
        return options;
    }

    /// Its timers and calls have no effect any more.
    void kill() { *isAlive = false; }

    std::shared_ptr<Records::partition_reader> startReader(
        const Records::topic_partition& partition, Common::millis readInterval, Records::record_sink& sink)
    {
        auto reader = std::make_shared<Records::partition_reader>(*this, *this,
            Records::partition_reader_options { .partition = partition, .interval = readInterval }, sink);
        reader->start();
        return reader;
    }

    void jobAccepted(const Common::job_id& id) override { manager->jobAccepted(id); }
    void jobCancelled(const Common::job_id&) override { }

    void after(Common::millis delay, std::function<void()> action) override
    {
        fixture.timers.after(delay, [alive = isAlive, action = std::move(action)] {
            if (*alive)
                action();
        });
    }
    Common::instant now() const override { return fixture.timers.now(); }

    template <typename Handler>
    auto whileAlive(Handler handler)
    {
        return [alive = isAlive, handler = std::move(handler)](const auto& result) {
            if (*alive)
                handler(result);
        };
    }

    void append(const Records::append_request& request, Common::millis timeout,
        std::function<void(Records::append_result)> handler) override
    {
        if (*isAlive)
            fixture.store.append(request, timeout, whileAlive(std::move(handler)));
    }
    void read(const Records::read_request& request, Common::millis timeout,
        std::function<void(Records::read_result)> handler) override
    {
        if (request.partition == unreadablePartition)
            after(timeout, [handler] { handler({}); });
        else if (*isAlive)
            fixture.store.read(request, timeout, whileAlive(std::move(handler)));
    }
    void newest(const Records::topic_partition& source, const std::string& afterKey, Common::millis timeout,
        std::function<void(Records::newest_result)> handler) override
    {
        if (*isAlive)
            fixture.store.newest(source, afterKey, timeout, whileAlive(std::move(handler)));
    }

    leadership_fixture& fixture;
    /// Reads of this one get no answer.
    std::optional<Records::topic_partition> unreadablePartition;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
    null_sink nullSink;
    Jobs::job_registry jobRegistry;
    ControlPlane::counters eventCounters;
    ControlPlane::load_monitor load;
    ControlPlane::view_monitor views { *this };
    ControlPlane::leader_health health { .load = load, .views = views };
    ControlPlane::intake_feed intakeFeed { jobRegistry, *this };
    ControlPlane::progress_feed progressFeed { jobRegistry };
    std::shared_ptr<Records::partition_reader> progressReader;
    ControlPlane::state_feed stateFeed { jobRegistry, progressFeed };
    std::shared_ptr<Records::partition_reader> stateReader;
    ControlPlane::handover_feed handoverFeed;
    std::shared_ptr<Records::partition_reader> handoverReader;
    std::shared_ptr<Records::partition_reader> workerList;
    std::unique_ptr<Records::partition_reader_group> intake;
    std::unique_ptr<ControlPlane::leadership_manager> manager;
};
