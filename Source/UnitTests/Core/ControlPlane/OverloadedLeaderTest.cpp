#include "../Records/FakeStore.h"
#include "ControlPlane/LeaderTerm.h"

#include <catch2/catch.hpp>

namespace {

const Records::topic_partition progressPartition { "keyed.progress", 0 };
const Records::topic_partition workerPartition { "keyed.workers", 0 };
const Records::topic_partition intakePartition { "keyed.intake", 0 };

constexpr int workerCount = 60;
constexpr int tasksPerWorker = 8;
/// Longest time from the sending of a start to its beginning on the worker that the tests accept.
constexpr Common::millis acceptedStartDelay { 1000 };
/// The shortest time after the acknowledgement of a cancellation within which a task of the job may still start.
constexpr Common::millis shortestCancelTime { 3000 };

/// Workers behind a link that carries one order at a time. An order that is given up is carried out all the same.
struct slow_link : Dispatch::worker_gateway {
    struct running_task {
        Dispatch::run_number run;
        Common::instant beganAt;
    };

    struct worker_model {
        std::map<Jobs::task_name, running_task> running;
        std::vector<Dispatch::listed_end> ended;
        std::int64_t lastEnd { 0 };
        Common::instant leaseEnd;
    };

    explicit slow_link(manual_timers& owner)
        : timers(owner)
    {
    }

    Dispatch::order_reply reply(Dispatch::order_outcome outcome) const
    {
        return { .outcome = outcome, .clock = clock(), .incarnationStartedAt = Common::wall_millis { 1 } };
    }

    Dispatch::worker_millis clock() const
    {
        return { std::chrono::duration_cast<Common::millis>(timers.now().time_since_epoch()).count() };
    }

    static Common::instant toInstant(Dispatch::worker_millis time) { return Common::instant(Common::millis(time.value)); }

    template <typename Execute, typename Handler, typename Result>
    void send(Common::millis timeout, Execute execute, Handler handler, Result noAnswer)
    {
        timers.clock += processorTime;
        busyUntil = std::max(busyUntil, timers.now()) + orderTime;
        const auto sentAt = timers.now();
        const bool isAnswered = busyUntil + answerTime <= sentAt + timeout;
        if (!isAnswered)
            timers.after(timeout, [handler, noAnswer] { handler(noAnswer); });
        timers.after(Common::elapsed(sentAt, busyUntil), [this, execute, handler, isAnswered] {
            const auto result = execute();
            if (isAnswered)
                timers.after(answerTime, [handler, result] { handler(result); });
        });
    }

    void start(const Dispatch::start_order& order, Dispatch::fencing_token, Common::millis timeout,
        reply_handler handler) override
    {
        send(
            timeout, [this, order, sentAt = timers.now()] { return begin(order, sentAt); }, std::move(handler),
            Dispatch::order_reply { .outcome = Dispatch::order_outcome::NoAnswer });
    }

    Dispatch::order_reply begin(const Dispatch::start_order& order, Common::instant sentAt)
    {
        if (timers.now() > toInstant(order.deadline))
            return reply(Dispatch::order_outcome::DeadlinePassed);
        auto& worker = workers[order.worker.id];
        worker.running[order.task] = { .run = order.run, .beganAt = timers.now() };
        worker.leaseEnd = std::max(worker.leaseEnd, toInstant(order.deadline));
        ++begun;
        slowestStart = std::max(slowestStart, Common::elapsed(sentAt, timers.now()));
        if (forbiddenSince.contains(order.task.job.value))
            latestForbidden = std::max(
                latestForbidden, Common::elapsed(forbiddenSince.at(order.task.job.value), timers.now()));
        if (drainedSince.contains(order.worker.id))
            latestOnDrained
                = std::max(latestOnDrained, Common::elapsed(drainedSince.at(order.worker.id), timers.now()));
        return reply(Dispatch::order_outcome::Done);
    }

    void stop(const Dispatch::stop_order& order, Dispatch::fencing_token, Common::millis timeout,
        reply_handler handler) override
    {
        send(
            timeout,
            [this, order] {
                end(workers[order.worker.id], order.task, Dispatch::end_kind::Stopped);
                return reply(Dispatch::order_outcome::Done);
            },
            std::move(handler), Dispatch::order_reply { .outcome = Dispatch::order_outcome::NoAnswer });
    }

    static void end(worker_model& worker, const Jobs::task_name& task, Dispatch::end_kind kind)
    {
        const auto found = worker.running.find(task);
        if (found == worker.running.end())
            return;
        worker.ended.push_back({ .number = { ++worker.lastEnd }, .task = task, .run = found->second.run, .kind = kind });
        worker.running.erase(found);
    }

    /// Ends one of the worker's tasks.
    void endOne(const std::string& worker)
    {
        auto& model = workers[{ worker }];
        if (!model.running.empty())
            end(model, Jobs::task_name(model.running.begin()->first), Dispatch::end_kind::Done);
    }

    void pace(const Dispatch::pace_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { }

    void poll(const Dispatch::poll_order& order, Dispatch::fencing_token, Common::millis timeout,
        std::function<void(Dispatch::poll_order_reply)> handler) override
    {
        send(
            timeout, [this, order] { return list(order); },
            [this, handler, wait = order.wait](const Dispatch::poll_order_reply& result) {
                // A long poll without news is answered after its wait.
                if (result.ended.empty() && result.base.outcome == Dispatch::order_outcome::Done)
                    timers.after(wait, [handler, result] { handler(result); });
                else
                    handler(result);
            },
            Dispatch::poll_order_reply { .base = { .outcome = Dispatch::order_outcome::NoAnswer } });
    }

    Dispatch::poll_order_reply list(const Dispatch::poll_order& order)
    {
        auto& worker = workers[order.worker.id];
        if (order.deadline)
            worker.leaseEnd = std::max(worker.leaseEnd, toInstant(*order.deadline));
        std::erase_if(
            worker.ended, [&order](const auto& ended) { return ended.number <= order.acknowledgedEnd; });
        Dispatch::poll_order_reply result { .base = reply(Dispatch::order_outcome::Done), .ended = worker.ended };
        for (const auto& [task, run] : worker.running)
            result.running.push_back({ .task = task,
                .run = run.run,
                .percent = { Common::elapsed(run.beganAt, timers.now()).count() / 1000 } });
        return result;
    }

    void keepOnly(const std::vector<Common::worker_id>&) override { }

    int running(const std::string& job) const
    {
        int count = 0;
        for (const auto& [id, worker] : workers) {
            for (const auto& [task, run] : worker.running)
                count += task.job.value == job && worker.leaseEnd > timers.now() ? 1 : 0;
        }
        return count;
    }

    manual_timers& timers;
    /// Time that an order takes on the link, and of the leader's processor.
    Common::millis orderTime { 0 };
    Common::millis processorTime { 0 };
    Common::millis answerTime { 2 };
    Common::instant busyUntil;
    std::map<Common::worker_id, worker_model> workers;
    std::map<std::string, Common::instant> forbiddenSince;
    std::map<Common::worker_id, Common::instant> drainedSince;
    int begun { 0 };
    Common::millis slowestStart { 0 };
    /// Longest time after its cancellation that a task of a job began, and that a task began on a draining worker.
    Common::millis latestForbidden { 0 };
    Common::millis latestOnDrained { 0 };
};

struct no_status : ControlPlane::operator_format {
    Records::keyed_record waveStatus(std::int64_t, bool) const override { return {}; }
};

/// Passes records on. The value of a registration tells whether the worker drains.
struct forwarding_feed : Records::record_sink {
    void reset() override { }
    void apply(const Records::keyed_record& record) override { onRecord(record); }

    std::function<void(const Records::keyed_record&)> onRecord;
};

/// A leader of many workers that are reached through a slow link.
struct overload_fixture {
    overload_fixture()
    {
        registrations.onRecord = [this](const auto& record) { registered(record); };
        intake.onRecord = [this](const auto& record) { readCancellation(record.key); };
        reader->start();
        workerReader->start();
        intakeReader->start();
        views.add(ControlPlane::view_kind::Registrations, workerReader);
        views.add(ControlPlane::view_kind::Intake, intakeReader);
        election->start([this](const ControlPlane::won_election& won) { onElected(won); });
        timers.advance(Common::millis(400));
        REQUIRE(term);
        startDispatching();
        // The workers report for the first time.
        timers.advance(Common::millis(1000));
    }
    ~overload_fixture() { term->stop(); }

    void onElected(const ControlPlane::won_election& won)
    {
        term = std::make_shared<ControlPlane::leader_term>(
            ControlPlane::leader_term_parts { .store = store,
                .timers = timers,
                .workers = link,
                .operatorFormat = format,
                .jobRegistry = jobRegistry,
                .election = *election,
                .progress = feed,
                .states = stateFeed,
                .progressReader = *reader,
                .eventCounters = eventCounters,
                .health = health },
            ControlPlane::leader_term_options { .token = { won.token },
                .number = won.number,
                .progressTopic = progressPartition,
                .writer = "holder" },
            [this] { ++lost; });
        term->startHeartbeats();
    }

    static std::string workerName(int number) { return 'w' + std::to_string(number); }

    void registered(const Records::keyed_record& record) const
    {
        if (term)
            term->workerRegistered({ .id = { record.key },
                                       .pool = { "pool" },
                                       .address = { "127.0.0.1", 1 },
                                       .capacity = { .processor = { tasksPerWorker * 1000 }, .memory = { 1000 } },
                                       .isDraining = record.value == "draining",
                                       .incarnationStartedAt = { 1 } },
                timers.now());
    }

    void startDispatching()
    {
        Rules::fleet_rules rules;
        rules.pools = { { .id = { "pool" }, .checksCapacity = true } };
        rules.queues = { { .id = { "q" }, .host = "h", .pathPrefix = "/q/", .pool = { "pool" }, .maxAttempts = 2 } };
        term->setRules(rules);
        for (int number = 0; number < workerCount; ++number)
            store.put(workerPartition, workerName(number), "ready");
        timers.advance(Common::millis(100));
        term->start({});
    }

    void accept(const std::string& id, int tasks)
    {
        jobRegistry.accept({ .id = { id },
            .queue = { "q" },
            .spec = { .steps = { { .count = tasks, .request = { .processor = { 1000 } }, .estimate = Common::millis(9000) } } } });
        term->jobAccepted({ id });
    }

    /// The job's cancellation was acknowledged; the leader reads it at once.
    void cancel(const std::string& id)
    {
        link.forbiddenSince[id] = timers.now();
        readCancellation(id);
    }

    /// Another instance has acknowledged the cancellation; the leader has yet to read it.
    void storeCancellation(const std::string& id)
    {
        link.forbiddenSince[id] = timers.now();
        store.put(intakePartition, id, "cancelled");
    }

    void readCancellation(const std::string& id)
    {
        jobRegistry.cancel({ id });
        if (term)
            term->jobCancelled({ id });
    }

    /// The worker reports that it drains; the leader has yet to read that.
    void drain(int worker)
    {
        link.drainedSince[{ workerName(worker) }] = timers.now();
        store.put(workerPartition, workerName(worker), "draining");
    }

    manual_timers timers;
    fake_store store { timers };
    slow_link link { timers };
    no_status format;
    ControlPlane::counters eventCounters;
    ControlPlane::load_monitor load;
    ControlPlane::view_monitor views { timers };
    ControlPlane::leader_health health { .load = load, .views = views };
    Jobs::job_registry jobRegistry;
    ControlPlane::progress_feed feed { jobRegistry };
    ControlPlane::state_feed stateFeed { jobRegistry, feed };
    forwarding_feed registrations;
    forwarding_feed intake;
    std::shared_ptr<Records::partition_reader> reader = std::make_shared<Records::partition_reader>(store, timers,
        Records::partition_reader_options { .partition = progressPartition, .interval = Common::millis(50) }, feed);
    std::shared_ptr<Records::partition_reader> workerReader = std::make_shared<Records::partition_reader>(store, timers,
        Records::partition_reader_options { .partition = workerPartition, .interval = Common::millis(50) }, registrations);
    std::shared_ptr<Records::partition_reader> intakeReader = std::make_shared<Records::partition_reader>(store, timers,
        Records::partition_reader_options { .partition = intakePartition, .interval = Common::millis(50) }, intake);
    std::shared_ptr<ControlPlane::leader_election> election = std::make_shared<ControlPlane::leader_election>(store, timers,
        ControlPlane::election_options { .member = "m", .progressTopic = progressPartition, .writer = "holder" }, *reader, feed);
    std::shared_ptr<ControlPlane::leader_term> term;
    int lost { 0 };
};

}

TEST_CASE("Starts don't queue in front of a link that is too slow for them", "[overload]")
{
    overload_fixture s;
    s.link.orderTime = Common::millis(6);
    s.accept("large", workerCount * tasksPerWorker);

    SECTION("each start begins soon after it was sent, and all tasks are started")
    {
        s.timers.advance(std::chrono::seconds(30));
        CHECK(s.link.slowestStart <= acceptedStartDelay);
        CHECK(s.link.running("large") == workerCount * tasksPerWorker);
    }
    SECTION("no task of a cancelled job begins later, and those that run are stopped")
    {
        s.timers.advance(Common::millis(500));
        s.cancel("large");
        s.timers.advance(Common::millis(1500));
        CHECK(s.link.latestForbidden <= acceptedStartDelay);
        CHECK(s.link.running("large") == 0);
    }
}

TEST_CASE("A leader that has room isn't slowed by the limit of unanswered starts", "[overload]")
{
    overload_fixture s;
    s.accept("large", workerCount * tasksPerWorker);
    s.timers.advance(Common::millis(100));
    CHECK(s.link.begun == workerCount * tasksPerWorker);
}

TEST_CASE("A leader whose event loop is behind sends stops, but no starts", "[overload]")
{
    overload_fixture s;
    s.accept("early", 10);
    s.timers.advance(Common::millis(500));
    REQUIRE(s.link.running("early") == 10);
    s.accept("late", 10);
    s.cancel("early");

    SECTION("a worker that began to drain meanwhile gets no task")
    {
        // The loop stalls, and a worker drains during the stall.
        s.drain(0);
        s.timers.clock += std::chrono::seconds(4);
        s.timers.advance(Common::millis(50));
        CHECK(s.link.begun == 10);
        CHECK(s.link.running("early") == 0);
        s.timers.advance(std::chrono::seconds(2));
        CHECK(s.link.begun == 20);
        CHECK(s.link.latestOnDrained == Common::millis(0));
    }
    SECTION("starts go on once it has caught up")
    {
        s.timers.clock += Common::millis(400);
        s.timers.advance(Common::millis(50));
        CHECK(s.link.begun == 10);
        s.timers.advance(std::chrono::seconds(2));
        CHECK(s.link.begun == 20);
    }
}

TEST_CASE("A start waits until the registrations have been read recently", "[overload]")
{
    overload_fixture s;
    s.store.unreadable.insert(workerPartition);
    s.timers.advance(std::chrono::seconds(5));
    s.drain(0);
    s.timers.advance(std::chrono::seconds(4));

    SECTION("a worker whose drain wasn't read gets no task")
    {
        s.store.unreadable.clear();
        s.accept("j", 20);
        s.timers.advance(std::chrono::seconds(2));
        CHECK(s.link.begun == 20);
        CHECK(s.link.latestOnDrained == Common::millis(0));
    }
    SECTION("while the store doesn't answer such reads, starts go on")
    {
        s.accept("j", 20);
        s.timers.advance(std::chrono::seconds(3));
        CHECK(s.link.begun == 20);
    }
}

TEST_CASE("A start that arrives late is refused", "[overload]")
{
    overload_fixture s;
    s.link.orderTime = Common::millis(1400);
    s.accept("j", 1);
    s.timers.advance(std::chrono::seconds(4));
    CHECK(s.link.begun == 0);
}

/// A leader whose link is full for 4 s: neither workers nor the store answer quickly. A job is cancelled meanwhile.
TEST_CASE("A leader with a full link doesn't start a task of a job that was cancelled seconds ago", "[overload]")
{
    overload_fixture s;
    // Keeps workers answering.
    s.accept("running", 4);
    s.store.unreadable.insert(intakePartition);
    // A read that waits at the store is still answered.
    s.timers.advance(Common::millis(1500));
    s.storeCancellation("cancelled");
    s.link.answerTime = Common::millis(500);
    s.timers.advance(Common::millis(3500));

    SECTION("whose cancellation it couldn't read")
    {
        s.accept("cancelled", 4);
        s.timers.advance(Common::millis(1000));
        CHECK(s.link.latestForbidden <= shortestCancelTime);
    }
    SECTION("nor while its appends are slow too")
    {
        s.store.delay = Common::millis(300);
        s.timers.advance(Common::millis(300));
        s.accept("cancelled", 4);
        s.timers.advance(Common::millis(1000));
        CHECK(s.link.latestForbidden <= shortestCancelTime);
    }
    SECTION("and starts go on once the link isn't full any more")
    {
        s.store.unreadable.clear();
        s.link.answerTime = Common::millis(2);
        s.accept("other", 4);
        s.timers.advance(Common::millis(2000));
        CHECK(s.link.running("other") == 4);
        CHECK(s.link.latestForbidden == Common::millis(0));
    }
}

TEST_CASE("A start that waits on a full link begins soon or not at all while the store doesn't answer", "[overload]")
{
    overload_fixture s;
    constexpr int waiting = 30;
    s.accept("large", workerCount * tasksPerWorker + waiting);
    s.timers.advance(Common::millis(1000));
    REQUIRE(s.link.begun == workerCount * tasksPerWorker);
    s.store.silentPartitions.insert(progressPartition);
    s.timers.advance(Common::millis(1000));
    s.link.orderTime = Common::millis(20);
    for (int number = 0; number < waiting; ++number)
        s.link.endOne(overload_fixture::workerName(number));
    s.timers.advance(std::chrono::seconds(4));
    CHECK(s.link.slowestStart <= Dispatch::lease_options().startLease);
}
