#include "Station/HolderRun.h"
#include "../Records/FakeStore.h"

#include <catch2/catch.hpp>

namespace {

const Records::topic_part progress { "keyed.progress", 0 };

/// Counts orders and answers looks with nothing running.
struct counting_gateway : Dispatch::worker_gateway {
    explicit counting_gateway(manual_timers& owner)
        : timers(owner)
    {
    }

    static Dispatch::order_reply done()
    {
        return { .outcome = Dispatch::order_outcome::Done,
            .clock = Dispatch::worker_millis { 5000 },
            .bornAt = Common::wall_millis { 1 } };
    }

    void start(const Dispatch::start_order&, Dispatch::fencing_token, Common::millis, reply_handler handler) override
    {
        ++starts;
        timers.after(Common::millis(2), [handler] { handler(done()); });
    }
    void stop(const Dispatch::stop_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { ++stops; }
    void pace(const Dispatch::pace_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { }
    void hold(const Dispatch::hold_order&, Dispatch::fencing_token, Common::millis,
        std::function<void(Dispatch::hold_reply)> handler) override
    {
        ++looks;
        timers.after(Common::millis(2), [handler] { handler({ .base = done() }); });
    }
    void keepOnly(const std::vector<Common::worker_id>&) override { }

    manual_timers& timers;
    int starts { 0 };
    int stops { 0 };
    int looks { 0 };
};

/// One instance in the spare pool; orders wait until a test answers them.
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
    void upkeep(const Capacity::upkeep_order&, Dispatch::fencing_token, Common::millis, outcome_handler) override { }

    std::vector<outcome_handler> open;
};

struct no_status : Station::operator_format {
    Records::keyed_record waveStatus(std::int64_t, bool) const override { return {}; }
};

/// The first tenure of a process, won at the first claim.
struct tenure_story {
    tenure_story()
    {
        follower->start();
        seat->start([this](const Station::won_seat& won) { open(won); });
        timers.advance(Common::millis(400));
        REQUIRE(run);
    }
    ~tenure_story() { run->stop(); }

    void open(const Station::won_seat& won)
    {
        run = std::make_shared<Station::holder_run>(
            Station::holder_parts { .store = store,
                .timers = timers,
                .workers = gateway,
                .instances = &manager,
                .operatorFormat = format,
                .book = book,
                .seat = *seat,
                .progress = feed,
                .figures = figures },
            Station::holder_tenure { .token = { won.token },
                .number = won.number,
                .progressTopic = progress,
                .writer = "holder" },
            [this] { ++lost; });
        run->open();
    }

    void begin()
    {
        Rules::fleet_rules rules;
        rules.pools = { { .id = { "pool" }, .checksCapacity = true }, { .id = { "spare" }, .isSpare = true } };
        rules.queues = { { .id = { "q" }, .host = "h", .pathPrefix = "/q/", .pool = { "pool" }, .maxAttempts = 2 } };
        run->setRules(rules);
        run->workerListed({ .id = { "w" },
                              .pool = { "pool" },
                              .address = { "127.0.0.1", 1 },
                              .capacity = { .processor = { 8000 }, .memory = { 1000 } },
                              .bornAt = { 1 } },
            timers.now());
        run->start({});
    }

    void accept(const std::string& id)
    {
        book.accept({ .id = { id }, .queue = { "q" }, .spec = { .steps = { { .request = { .processor = { 1000 } } } } } });
        run->jobAccepted({ id });
    }

    manual_timers timers;
    fake_store store { timers };
    counting_gateway gateway { timers };
    slow_manager manager;
    no_status format;
    Station::counters figures;
    Jobs::job_book book;
    Station::progress_feed feed { book };
    std::shared_ptr<Records::topic_follower> follower = std::make_shared<Records::topic_follower>(
        store, timers, Records::follower_options { .where = progress, .gap = Common::millis(50) }, feed);
    std::shared_ptr<Station::holder_seat> seat = std::make_shared<Station::holder_seat>(store, timers,
        Station::seat_options { .member = "m", .progressTopic = progress, .writer = "holder" }, *follower, feed);
    std::shared_ptr<Station::holder_run> run;
    int lost { 0 };
};

}

TEST_CASE("A holder shows itself before it has read the jobs, and gives no order until then", "[station]")
{
    tenure_story s;
    s.accept("j");
    s.timers.advance(Common::millis(3000));
    CHECK(s.seat->standing().isConfirmed(s.timers.now()));
    CHECK(s.gateway.looks == 0);
    s.begin();
    s.timers.advance(Common::millis(200));
    CHECK(s.gateway.looks > 0);
    CHECK(s.gateway.starts > 0);
    CHECK(s.gateway.stops == 0);
}

TEST_CASE("A holder that reads another's claim gives no more orders", "[station]")
{
    tenure_story s;
    s.begin();
    s.timers.advance(Common::millis(200));
    s.feed.apply(Station::claimRecord({ .member = "other", .number = 2 }));
    s.feed.apply(Station::progressRecord(
        { .job = { "j" }, .tasks = { { .occurrence = 0, .step = 0, .index = 0, .worker = { "w" }, .run = 1001 } } }));
    s.accept("j");
    const auto looks = s.gateway.looks;
    s.timers.advance(Common::millis(1000));
    CHECK(s.lost == 1);
    CHECK(s.gateway.starts == 0);
    CHECK(s.gateway.looks == looks);
}

TEST_CASE("An order to the manager that is answered after the tenure changes nothing", "[station]")
{
    tenure_story s;
    s.begin();
    s.accept("j");
    s.timers.advance(Common::millis(300));
    REQUIRE(s.manager.open.size() == 1);
    CHECK(s.run->hasOpenOrders());
    s.run->stop();
    s.manager.open[0](Capacity::instance_outcome::Done);
    CHECK_FALSE(s.run->hasOpenOrders());
}
