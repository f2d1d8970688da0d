#include "ControlPlane/LeaderTerm.h"
#include "../Records/FakeStore.h"

#include <catch2/catch.hpp>

namespace {

const Records::topic_partition progress { "keyed.progress", 0 };

/// Counts orders, and answers polls as a worker without tasks.
struct counting_gateway : Dispatch::worker_gateway {
    explicit counting_gateway(manual_timers& owner)
        : timers(owner)
    {
    }

    static Dispatch::order_reply done()
    {
        return { .outcome = Dispatch::order_outcome::Done,
            .clock = Dispatch::worker_millis { 5000 },
            .incarnationStartedAt = Common::wall_millis { 1 } };
    }

    void start(const Dispatch::start_order&, Dispatch::fencing_token, Common::millis, reply_handler handler) override
    {
        ++starts;
        spend();
        timers.after(Common::millis(2), [handler] { handler(done()); });
    }
    void stop(const Dispatch::stop_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { ++stops; }
    void pace(const Dispatch::pace_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { }
    void poll(const Dispatch::poll_order&, Dispatch::fencing_token, Common::millis,
        std::function<void(Dispatch::poll_order_reply)> handler) override
    {
        ++pollCalls;
        spend();
        timers.after(Common::millis(2), [handler] { handler({ .base = done() }); });
    }
    void keepOnly(const std::vector<Common::worker_id>&) override { }

    /// Takes time of the event loop.
    void spend()
    {
        timers.clock += callTime;
        spent += callTime;
    }

    manual_timers& timers;
    int starts { 0 };
    int stops { 0 };
    int pollCalls { 0 };
    Common::millis callTime { 0 };
    Common::millis spent { 0 };
};

/// One instance in the spare pool; moves stay open until a test answers them.
struct slow_manager : Capacity::instance_gateway {
    void list(Common::millis,
        std::function<void(std::optional<std::vector<Capacity::instance_entry>>)> handler) override
    {
        handler(std::vector<Capacity::instance_entry> { { .id = { "i" },
            .pool = { "spare" },
            .capacity = { .processor = { 8000 }, .memory = { 1000 } } } });
    }
    void move(const Capacity::move_order&, Dispatch::fencing_token, Common::millis, outcome_handler handler) override
    {
        open.push_back(std::move(handler));
    }
    void startMaintenance(
        const Capacity::maintenance_order&, Dispatch::fencing_token, Common::millis, outcome_handler) override { }

    std::vector<outcome_handler> open;
};

struct no_status : ControlPlane::operator_format {
    Records::keyed_record waveStatus(std::int64_t, bool) const override { return {}; }
};

/// The first term of a process, won by its first claim.
struct term_fixture {
    term_fixture()
    {
        reader->start();
        election->start([this](const ControlPlane::won_election& won) { onElected(won); });
        timers.advance(Common::millis(400));
        REQUIRE(term);
    }
    ~term_fixture() { term->stop(); }

    void onElected(const ControlPlane::won_election& won)
    {
        term = std::make_shared<ControlPlane::leader_term>(
            ControlPlane::leader_term_parts { .store = store,
                .timers = timers,
                .workers = gateway,
                .instances = &manager,
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
                .progressTopic = progress,
                .writer = "holder" },
            [this] { ++lost; });
        term->startHeartbeats();
    }

    void startDispatching()
    {
        Rules::fleet_rules rules;
        rules.pools = { { .id = { "pool" }, .checksCapacity = true }, { .id = { "spare" }, .isSpare = true } };
        rules.queues = { { .id = { "q" }, .host = "h", .pathPrefix = "/q/", .pool = { "pool" }, .maxAttempts = 2 } };
        term->setRules(rules);
        term->workerRegistered({ .id = { "w" },
                                   .pool = { "pool" },
                                   .address = { "127.0.0.1", 1 },
                                   .capacity = { .processor = { 8000 }, .memory = { 1000 } },
                                   .incarnationStartedAt = { 1 } },
            timers.now());
        term->start({});
    }

    void accept(const std::string& id)
    {
        jobRegistry.accept({ .id = { id },
            .queue = { "q" },
            .spec = { .steps = { { .request = { .processor = { 1000 } } } } } });
        term->jobAccepted({ id });
    }

    manual_timers timers;
    fake_store store { timers };
    counting_gateway gateway { timers };
    slow_manager manager;
    no_status format;
    ControlPlane::counters eventCounters;
    ControlPlane::load_monitor load;
    ControlPlane::view_monitor views { timers };
    ControlPlane::leader_health health { .load = load, .views = views };
    Jobs::job_registry jobRegistry;
    ControlPlane::progress_feed feed { jobRegistry };
    ControlPlane::state_feed stateFeed { jobRegistry, feed };
    std::shared_ptr<Records::partition_reader> reader = std::make_shared<Records::partition_reader>(
        store, timers, Records::partition_reader_options { .partition = progress, .interval = Common::millis(50) }, feed);
    std::shared_ptr<ControlPlane::leader_election> election = std::make_shared<ControlPlane::leader_election>(store, timers,
        ControlPlane::election_options { .member = "m", .progressTopic = progress, .writer = "holder" }, *reader, feed);
    std::shared_ptr<ControlPlane::leader_term> term;
    int lost { 0 };
};

}

TEST_CASE("A new leader sends heartbeats but no orders until it has read the jobs", "[station]")
{
    term_fixture s;
    s.accept("j");
    s.timers.advance(Common::millis(3000));
    CHECK(s.election->status().isConfirmed(s.timers.now()));
    CHECK(s.gateway.pollCalls == 0);
    s.startDispatching();
    s.timers.advance(Common::millis(200));
    CHECK(s.gateway.pollCalls > 0);
    CHECK(s.gateway.starts > 0);
    CHECK(s.gateway.stops == 0);
}

TEST_CASE("A leader that reads the claim of another one sends no more orders", "[station]")
{
    term_fixture s;
    s.startDispatching();
    s.timers.advance(Common::millis(200));
    s.feed.apply(ControlPlane::claimRecord({ .member = "other", .number = 2 }));
    s.feed.apply(ControlPlane::progressRecord(
        { .job = { "j" }, .tasks = { { .occurrence = 0, .step = 0, .index = 0, .worker = { "w" }, .run = 1001 } } }));
    s.accept("j");
    const auto pollCalls = s.gateway.pollCalls;
    s.timers.advance(Common::millis(1000));
    CHECK(s.lost == 1);
    CHECK(s.gateway.starts == 0);
    CHECK(s.gateway.pollCalls == pollCalls);
}

TEST_CASE("An answer of the instance manager after the end of the term changes nothing", "[station]")
{
    term_fixture s;
    s.startDispatching();
    s.accept("j");
    s.timers.advance(Common::millis(300));
    REQUIRE(s.manager.open.size() == 1);
    CHECK(s.term->hasOpenOrders());
    s.term->stop();
    s.manager.open[0](Capacity::instance_outcome::Done);
    CHECK_FALSE(s.term->hasOpenOrders());
}

TEST_CASE("A leader measures its load once a second", "[station]")
{
    term_fixture s;
    s.views.add(ControlPlane::view_kind::Rules, s.reader);
    s.startDispatching();
    s.timers.advance(Common::millis(500));
    CHECK(s.term->load().interval == Common::millis(0));
    s.accept("j");
    // No worker has room for this one.
    s.jobRegistry.accept({ .id = { "huge" },
        .queue = { "q" },
        .spec = { .steps = { { .count = 3, .request = { .processor = { 9000 } } } } } });
    s.term->jobAccepted({ "huge" });
    s.timers.advance(Common::millis(700));
    const auto load = s.term->load();
    CHECK(load.interval >= Common::millis(1000));
    CHECK(load.worstLag == Common::millis(0));
    CHECK(load.slowestAnswer == Common::millis(2));
    CHECK(load.startsInFlight == 0);
    CHECK(load.backlog.tasksWaiting >= 3);
    CHECK(load.backlog.tasksWaiting <= 4);
    CHECK(load.rulesAge);
}

TEST_CASE("A leader doesn't read its own progress back from the store", "[station]")
{
    constexpr int jobs = 100;
    term_fixture s;
    s.reader->setInterval(Common::millis(200));
    s.startDispatching();
    // Until the last read that waits for records has been answered.
    s.timers.advance(Common::millis(2500));
    const auto readBefore = s.store.recordsRead[progress];
    for (int job = 0; job < jobs; ++job) {
        s.accept("j" + std::to_string(job));
        s.timers.advance(Common::millis(20));
    }
    // Only what is stored while a read is under way is returned by it.
    const auto stored = s.store.partitions[progress].end();
    REQUIRE(stored > jobs);
    CHECK(s.store.recordsRead[progress] - readBefore < stored / 5);

    SECTION("its view is complete")
    {
        s.timers.advance(Common::millis(100));
        CHECK(s.reader->next().value == s.store.partitions[progress].end());
    }
    SECTION("a record of another writer is read")
    {
        s.store.put(progress, "@holder", ControlPlane::claimRecord({ .member = "other", .number = 9 }).value);
        s.timers.advance(Common::millis(200));
        CHECK(s.feed.claim().number == 9);
        CHECK(s.lost == 1);
    }
    SECTION("after the term, reads wait for records again")
    {
        s.term->stop();
        s.timers.advance(Common::millis(1000));
        const auto reads = s.store.reads;
        s.timers.advance(Common::millis(10000));
        CHECK(s.store.reads - reads <= 11);
    }
}

TEST_CASE("Planning passes that take long leave most of the event loop to other work", "[station]")
{
    term_fixture s;
    s.startDispatching();
    s.accept("j");
    s.timers.advance(Common::millis(200));
    s.gateway.callTime = Common::millis(10);
    s.gateway.spent = Common::millis(0);
    const auto began = s.timers.now();
    s.timers.advance(Common::millis(3000));
    const auto elapsed = Common::elapsed(began, s.timers.now());
    // The worker reports each run as missing, so there is always something to order.
    CHECK(s.gateway.spent > Common::millis(300));
    CHECK(s.gateway.spent * 5 < elapsed * 2);
}

TEST_CASE("No instance is moved while instance orders are paused", "[station]")
{
    term_fixture s;
    s.startDispatching();
    s.term->pauseInstanceOrders(true);
    s.accept("j");
    s.timers.advance(Common::millis(1000));
    CHECK_FALSE(s.term->hasOpenOrders());
    s.term->pauseInstanceOrders(false);
    s.timers.advance(Common::millis(300));
    CHECK(s.term->hasOpenOrders());
}
