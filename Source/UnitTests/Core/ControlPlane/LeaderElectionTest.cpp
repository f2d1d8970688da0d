#include "ControlPlane/LeaderElection.h"
#include "../Records/FakeStore.h"

#include <catch2/catch.hpp>

namespace {

const Records::topic_partition progress { "keyed.progress", 0 };
const Records::topic_partition states { "keyed.states", 0 };

struct candidate {
    candidate(fake_store& records, manual_timers& owner, const std::string& member,
        const ControlPlane::instance_capacity& capacity = {})
        : store(records)
        , timers(owner)
        , feed(jobRegistry)
        , reader(std::make_shared<Records::partition_reader>(store, timers,
              Records::partition_reader_options { .partition = progress, .interval = Common::millis(100) }, feed))
        , stateFeed(jobRegistry, feed)
        , stateReader(std::make_shared<Records::partition_reader>(store, timers,
              Records::partition_reader_options { .partition = states, .interval = Common::millis(100) }, stateFeed))
        , election(std::make_shared<ControlPlane::leader_election>(store, timers,
              ControlPlane::election_options {
                  .member = member, .capacity = capacity, .progressTopic = progress, .writer = "holder" },
              *reader, feed))
    {
        reader->start();
        // The store in memory wakes no reader that waits.
        stateReader->setLongPolling(false);
        stateReader->start();
        election->start([this](const ControlPlane::won_election& won) { wins.push_back(won); });
    }

    /// Stores a heartbeat of the term.
    Records::append_outcome heartbeat()
    {
        const auto began = timers.now();
        const auto result = store.store({ .partition = progress,
            .records = { ControlPlane::heartbeatRecord(wins.back().number) },
            .position = Records::writer_position {
                .writer = "holder", .epoch = wins.back().token, .sequence = ++heartbeats } });
        if (result.outcome == Records::append_outcome::Stored)
            election->confirm(began);
        return result.outcome;
    }

    fake_store& store;
    manual_timers& timers;
    Jobs::job_registry jobRegistry;
    ControlPlane::progress_feed feed;
    std::shared_ptr<Records::partition_reader> reader;
    ControlPlane::state_feed stateFeed;
    std::shared_ptr<Records::partition_reader> stateReader;
    std::shared_ptr<ControlPlane::leader_election> election;
    std::vector<ControlPlane::won_election> wins;
    std::int64_t heartbeats { 0 };
};

constexpr ControlPlane::instance_capacity largeCapacity { .processor = { 500 }, .link = { 200 } };
constexpr ControlPlane::instance_capacity smallCapacity { .processor = { 120 }, .link = { 10 } };

/// The first leader releases its leadership, with the copy for those that follow only the end of the progress.
void release(fake_store& store)
{
    store.put(progress, "@released", R"({"number":1})");
    store.put(states, "@released", R"({"number":1})");
}

/// Small candidates that leave the choice to a test of which larger ones there are.
struct mixed_fixture {
    mixed_fixture()
    {
        for (int index = 0; index < 20; ++index)
            add("small-" + std::to_string(index), smallCapacity);
    }

    void add(const std::string& member, const ControlPlane::instance_capacity& capacity)
    {
        all.push_back(std::make_unique<candidate>(store, timers, member, capacity));
    }

    /// Starts the election, with the leader's heartbeats, and returns the elected member; empty for none.
    std::string elect(Common::millis limit)
    {
        const auto until = timers.now() + limit;
        leader = nullptr;
        while (!leader && timers.now() < until) {
            timers.advance(Common::millis(10));
            for (const auto& each : all) {
                if (each->election->status().isHeld)
                    leader = each.get();
            }
        }
        return leader ? leader->feed.claim().member : std::string();
    }

    void heartbeatFor(Common::millis time)
    {
        for (Common::millis past { 0 }; past < time; past += Common::millis(100)) {
            leader->heartbeat();
            timers.advance(Common::millis(100));
        }
    }

    /// The leader sends nothing more and makes no claims.
    void failLeader()
    {
        leader->election->withdraw();
        leader->election->returnToStandby();
    }

    manual_timers timers;
    fake_store store { timers };
    std::vector<std::unique_ptr<candidate>> all;
    candidate* leader { nullptr };
};

struct election_fixture {
    election_fixture() { timers.advance(Common::millis(500)); }

    candidate& leader() { return one.wins.empty() ? two : one; }
    candidate& other() { return one.wins.empty() ? one : two; }

    void heartbeatFor(Common::millis time)
    {
        for (Common::millis past { 0 }; past < time; past += Common::millis(100)) {
            leader().heartbeat();
            timers.advance(Common::millis(100));
        }
    }

    manual_timers timers;
    fake_store store { timers };
    candidate one { store, timers, "one" };
    candidate two { store, timers, "two" };
};

}

TEST_CASE("Of two candidates for the first term, one is elected", "[station]")
{
    election_fixture s;
    REQUIRE(s.one.wins.size() + s.two.wins.size() == 1);
    CHECK(s.leader().election->status().isConfirmed(s.timers.now()));
    CHECK_FALSE(s.other().election->status().isHeld);
}

TEST_CASE("Simultaneous claims that the store confirms alike elect one leader", "[station]")
{
    manual_timers timers;
    fake_store store(timers);
    std::vector<std::unique_ptr<candidate>> all;
    for (int index = 0; index < 40; ++index)
        all.push_back(std::make_unique<candidate>(store, timers, "m" + std::to_string(index)));
    timers.advance(Common::millis(600));
    std::size_t wins = 0;
    for (const auto& each : all)
        wins += each->wins.size();
    CHECK(wins == 1);
}

TEST_CASE("A leader that sends heartbeats keeps leadership", "[station]")
{
    election_fixture s;
    s.heartbeatFor(Common::millis(5000));
    CHECK(s.other().wins.empty());
    CHECK(s.leader().election->status().isConfirmed(s.timers.now()));
}

TEST_CASE("Leadership is claimed when heartbeats stop, but not before the old leader's confirmation expires", "[station]")
{
    election_fixture s;
    s.heartbeatFor(Common::millis(1000));
    auto& lost = s.leader();
    auto& next = s.other();
    lost.election->withdraw();
    while (next.wins.empty() && s.timers.now() < Common::instant(std::chrono::seconds(1010))) {
        const bool wasConfirmed = lost.election->status().isConfirmed(s.timers.now());
        s.timers.advance(Common::millis(10));
        CHECK((next.wins.empty() || !wasConfirmed));
    }
    REQUIRE(next.wins.size() == 1);
    CHECK(next.wins[0].token > lost.wins[0].token);
    CHECK(next.wins[0].number == 2);
    // The store fences further records of the old leader.
    CHECK(lost.heartbeat() == Records::append_outcome::Fenced);
}

TEST_CASE("Released leadership is claimed without waiting for the timeout", "[station]")
{
    election_fixture s;
    s.heartbeatFor(Common::millis(300));
    s.leader().election->withdraw();
    release(s.store);
    s.timers.advance(Common::millis(400));
    CHECK(s.other().wins.size() == 1);
}

TEST_CASE("An outage of the store isn't taken for a failed leader", "[station]")
{
    election_fixture s;
    s.heartbeatFor(Common::millis(500));
    s.store.fault = fake_store::simulated_fault::Silent;
    s.timers.advance(Common::millis(4000));
    CHECK_FALSE(s.leader().election->status().isConfirmed(s.timers.now()));
    s.store.fault = fake_store::simulated_fault::None;
    s.timers.advance(Common::millis(200));
    s.heartbeatFor(Common::millis(2000));
    CHECK(s.other().wins.empty());
    CHECK(s.leader().election->status().isConfirmed(s.timers.now()));
}

TEST_CASE("A small instance doesn't claim leadership before a large one that sees it vacant", "[station]")
{
    mixed_fixture s;

    SECTION("At the first start, although the large one started later")
    {
        s.timers.advance(Common::millis(200));
        s.add("large", largeCapacity);
        CHECK(s.elect(Common::millis(2000)) == "large");
        CHECK(s.leader->feed.claim().capacity == largeCapacity);
    }
    SECTION("When a large leader fails, again and again")
    {
        for (int index = 0; index < 5; ++index)
            s.add("large-" + std::to_string(index), largeCapacity);
        for (int term = 0; term < 5; ++term) {
            CHECK(s.elect(Common::millis(2000)).starts_with("large"));
            s.heartbeatFor(Common::millis(1000 + 70 * term));
            s.failLeader();
        }
    }
    SECTION("When a large leader has released leadership")
    {
        s.add("large-0", largeCapacity);
        s.add("large-1", largeCapacity);
        s.elect(Common::millis(2000));
        s.heartbeatFor(Common::millis(1000));
        s.failLeader();
        release(s.store);
        CHECK(s.elect(Common::millis(600)).starts_with("large"));
    }
}

TEST_CASE("Takeover among small instances isn't slower than among large ones", "[station]")
{
    mixed_fixture s;
    REQUIRE_FALSE(s.elect(Common::millis(1000)).empty());
    s.heartbeatFor(Common::millis(1000));
    s.failLeader();
    CHECK_FALSE(s.elect(Common::millis(1000)).empty());
}

TEST_CASE("Small instances take over within 1.5 s when no large one is left", "[station]")
{
    mixed_fixture s;
    s.add("large", largeCapacity);
    REQUIRE(s.elect(Common::millis(2000)) == "large");
    s.heartbeatFor(Common::millis(1000));
    s.failLeader();
    CHECK_FALSE(s.elect(Common::millis(1500)).empty());
}

TEST_CASE("The delay of a claim falls as the room of the instance rises", "[station]")
{
    using ControlPlane::leader_room;
    const leader_room reference { 1000 };
    auto previous = ControlPlane::claimDelay({ 0 }, reference);
    CHECK(previous == Common::millis(500));
    for (std::int64_t room = 100; room <= 1000; room += 100) {
        const auto delay = ControlPlane::claimDelay({ room }, reference);
        CHECK(delay < previous);
        previous = delay;
    }
    CHECK(previous == Common::millis(0));
    CHECK(ControlPlane::claimDelay({ 1000 }, { 200 }) == Common::millis(0));
    CHECK(ControlPlane::claimDelay({ 0 }, { 0 }) == Common::millis(0));
}

TEST_CASE("The scarcer of processor and link decides how much room an instance has", "[station]")
{
    using ControlPlane::roomOf;
    CHECK(roomOf({}) == roomOf(largeCapacity));
    CHECK(roomOf({ .processor = { 500 }, .link = { 10 } }) == roomOf({ .processor = { 50 }, .link = { 100 } }));
    CHECK(roomOf(smallCapacity) < roomOf({ .processor = { 250 }, .link = { 1000 } }));
    CHECK(roomOf({ .processor = { -1 }, .link = { 0 } }).value == 0);
}
