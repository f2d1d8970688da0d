#include "ControlPlane/LeadershipHandover.h"
#include "LeadershipFixture.h"

#include <catch2/catch.hpp>

namespace {

constexpr ControlPlane::instance_capacity largeCapacity { .processor = { 500 }, .link = { 200 } };
constexpr ControlPlane::instance_capacity smallCapacity { .processor = { 120 }, .link = { 10 } };
constexpr Common::millis stepTime { 10 };

using member_list = std::vector<std::string>;

/// A small instance leads; tests add large ones.
struct handover_fixture : leadership_fixture {
    handover_fixture()
    {
        // Leaders are told that the registered worker is the only one.
        hasInstanceManager = true;
        manager.entries = { { .id = { "i" },
            .pool = { "pool" },
            .capacity = worker().capacity,
            .worker = worker().id } };
        small = add("small", smallCapacity);
        timers.advance(Common::millis(3000));
        REQUIRE(claimers() == member_list { "small" });
    }

    std::unique_ptr<instance> add(const std::string& member, const ControlPlane::instance_capacity& capacity)
    {
        auto added = std::make_unique<instance>(*this,
            ControlPlane::leadership_options { .member = member, .capacity = capacity, .progressTopic = progress(), .handoverTopic = handovers() });
        added->manager->setRules(rules());
        return added;
    }

    bool hasRecord(const std::string& key)
    {
        return store.partitions[progress()].newest.contains(key) || store.partitions[handovers()].newest.contains(key);
    }

    void advanceUntilRecord(const std::string& key)
    {
        const auto limit = timers.now() + std::chrono::seconds(10);
        while (!hasRecord(key) && timers.now() < limit)
            timers.advance(stepTime);
        REQUIRE(hasRecord(key));
    }

    /// Time until the log has this many claims.
    Common::millis timeToClaims(std::size_t count, Common::millis limit)
    {
        const auto began = timers.now();
        while (claimers().size() < count && timers.now() < began + limit)
            timers.advance(stepTime);
        return Common::elapsed(began, timers.now());
    }

    std::unique_ptr<instance> small;
};

ControlPlane::handover_leader readyLeader()
{
    return { .room = ControlPlane::roomOf(smallCapacity),
        .termAge = Common::millis(20000),
        .isConfirmed = true,
        .arePlacementsLogged = true };
}

}

TEST_CASE("Leadership doesn't stay with a small instance while a large one could lead", "[station]")
{
    handover_fixture s;
    auto large = s.add("large", largeCapacity);
    s.timers.advance(Common::millis(5000));
    REQUIRE(s.claimers() == member_list { "small", "large" });
    CHECK(s.hasRecord("@released"));

    SECTION("It doesn't go back")
    {
        s.timers.advance(Common::millis(60000));
        CHECK(s.claimers() == member_list { "small", "large" });
    }
    SECTION("When the large one fails, the small one leads again, until another large one is there")
    {
        large->kill();
        s.timers.advance(Common::millis(3000));
        REQUIRE(s.claimers() == member_list { "small", "large", "small" });
        const auto other = s.add("other", largeCapacity);
        s.timers.advance(Common::millis(5000));
        CHECK(s.claimers() == member_list { "small", "large", "small", "other" });
    }
}

TEST_CASE("Of two large instances that ask for a handover, one leads and keeps leadership", "[station]")
{
    handover_fixture s;
    const auto one = s.add("one", largeCapacity);
    const auto two = s.add("two", largeCapacity);
    s.timers.advance(Common::millis(30000));
    REQUIRE(s.claimers().size() == 2);
    CHECK(s.claimers().back() != "small");
}

TEST_CASE("Instances that differ little or not at all don't hand leadership over", "[station]")
{
    handover_fixture s;
    const auto alike = s.add("alike", smallCapacity);
    const auto slightlyLarger = s.add("slightly", { .processor = { 200 }, .link = { 15 } });
    s.timers.advance(Common::millis(60000));
    CHECK(s.claimers() == member_list { "small" });
}

TEST_CASE("A successor that fails costs a bounded time", "[station]")
{
    handover_fixture s;
    auto large = s.add("large", largeCapacity);

    SECTION("It fails after it was named: the small one leads again and isn't asked again at once")
    {
        s.advanceUntilRecord("@released");
        large->kill();
        CHECK(s.timeToClaims(2, Common::millis(5000)) < Common::millis(2000));
        REQUIRE(s.claimers() == member_list { "small", "small" });
        const auto other = s.add("other", largeCapacity);
        s.timers.advance(Common::millis(10000));
        CHECK(s.claimers() == member_list { "small", "small" });
        s.timers.advance(Common::millis(10000));
        CHECK(s.claimers() == member_list { "small", "small", "other" });
    }
    SECTION("It fails after it has asked: the same, or the leader goes on")
    {
        s.advanceUntilRecord("@handover");
        large->kill();
        s.timers.advance(Common::millis(3000));
        CHECK(s.claimers().back() == "small");
        CHECK(s.claimers().size() <= 2);
    }
    SECTION("Another large one doesn't wait for the claim delay")
    {
        const auto other = s.add("other", largeCapacity);
        s.advanceUntilRecord("@released");
        const bool isLargeNamed = large->handoverFeed.request()->member == "large";
        (isLargeNamed ? *large : *other).kill();
        CHECK(s.timeToClaims(2, Common::millis(5000)) < Common::millis(1400));
        CHECK(s.claimers().back() == (isLargeNamed ? "other" : "large"));
    }
}

TEST_CASE("A leader that can't release leadership goes on and hands it over later", "[station]")
{
    handover_fixture s;

    SECTION("A worker doesn't answer, so its placements aren't known")
    {
        s.small->kill();
        s.gateway.isUnresponsive = true;
        const auto next = s.add("next", smallCapacity);
        s.timers.advance(Common::millis(2500));
        REQUIRE(s.claimers() == member_list { "small", "next" });
        const auto large = s.add("large", largeCapacity);
        s.advanceUntilRecord("@handover");
        s.timers.advance(Common::millis(2000));
        CHECK(s.claimers() == member_list { "small", "next" });
        s.gateway.isUnresponsive = false;
        s.timers.advance(Common::millis(8000));
        CHECK(s.claimers() == member_list { "small", "next", "large" });
    }
    SECTION("The store doesn't answer")
    {
        const auto large = s.add("large", largeCapacity);
        s.advanceUntilRecord("@handover");
        s.store.fault = fake_store::simulated_fault::Silent;
        s.timers.advance(Common::millis(4000));
        CHECK_FALSE(s.hasRecord("@released"));
        s.store.fault = fake_store::simulated_fault::None;
        s.timers.advance(Common::millis(8000));
        CHECK(s.claimers().back() == "large");
    }
    SECTION("The store is slow: leadership moves once")
    {
        s.store.delay = Common::millis(180);
        const auto large = s.add("large", largeCapacity);
        s.timers.advance(Common::millis(20000));
        CHECK(s.claimers() == member_list { "small", "large" });
    }
}

TEST_CASE("A leader agrees to a handover only when it can be planned", "[station]")
{
    using ControlPlane::handover_answer;
    const auto large = ControlPlane::roomOf(largeCapacity);
    auto leader = readyLeader();
    CHECK(answerHandover(large, leader) == handover_answer::Agreed);
    CHECK(answerHandover(leader.room, leader) == handover_answer::NotLarger);

    SECTION("Not in a young term, and later after a handover that failed")
    {
        leader.termAge = Common::millis(500);
        CHECK(answerHandover(large, leader) == handover_answer::TooSoon);
        leader.termAge = Common::millis(5000);
        CHECK(answerHandover(large, leader) == handover_answer::Agreed);
        leader.followsFailedHandover = true;
        CHECK(answerHandover(large, leader) == handover_answer::TooSoon);
    }
    SECTION("Not while the store doesn't confirm leadership")
    {
        leader.isConfirmed = false;
        CHECK(answerHandover(large, leader) == handover_answer::NotConfirmed);
    }
    SECTION("Not while the log lacks placements")
    {
        leader.arePlacementsLogged = false;
        CHECK(answerHandover(large, leader) == handover_answer::PlacementsNotLogged);
    }
    SECTION("Not while the instance manager has unanswered orders")
    {
        leader.hasOpenOrders = true;
        CHECK(answerHandover(large, leader) == handover_answer::OrdersOpen);
    }
}

TEST_CASE("Leadership never moves back and forth between two capacities", "[station]")
{
    for (std::int64_t one = 0; one <= 1000; one += 50) {
        for (std::int64_t two = 0; two <= 1000; two += 50)
            CHECK_FALSE((ControlPlane::isClearlyLarger({ one }, { two }) && ControlPlane::isClearlyLarger({ two }, { one })));
    }
}

TEST_CASE("A leader that can't read its own progress any more hands leadership over", "[station]")
{
    handover_fixture s;
    s.small->unreadablePartition = leadership_fixture::progress();
    const auto large = s.add("large", largeCapacity);
    s.timers.advance(Common::millis(8000));
    CHECK(s.claimers() == member_list { "small", "large" });
}

TEST_CASE("A leader with unanswered orders to the instance manager waits for them and releases leadership", "[station]")
{
    handover_fixture s;
    s.manager.entries = unanswering_manager::spareInstances();
    s.small->kill();
    const auto next = s.add("next", smallCapacity);
    s.timers.advance(Common::millis(2500));
    REQUIRE(s.claimers() == member_list { "small", "next" });
    const auto large = s.add("large", largeCapacity);
    s.timers.advance(Common::millis(1400));
    const auto job = ControlPlane::jobRecord({ .id = { "j" },
        .queue = { "q" },
        .spec = { .steps = { { .count = 40, .request = { .processor = { 1000 }, .memory = { 10 } } } } } });
    s.store.put({ "keyed.intake", 0 }, job.key, job.value);
    s.advanceUntilRecord("@handover");
    REQUIRE(s.manager.openMoves > 0);
    s.advanceUntilRecord("@released");
    CHECK(s.manager.openMoves == 0);
    s.timers.advance(Common::millis(1000));
    CHECK(s.claimers() == member_list { "small", "next", "large" });
}

// A large instance that couldn't read the jobs took leadership by handover and claimed it again after each failed term.
TEST_CASE("Leadership stays with a small instance while the large one can't start a term", "[station]")
{
    handover_fixture s;
    const auto dispatchTime = [&s](const std::vector<leadership_fixture::instance*>& all) {
        const auto until = s.timers.now() + std::chrono::seconds(30);
        Common::millis time { 0 };
        while (s.timers.now() < until) {
            s.timers.advance(stepTime);
            const bool isLed = std::any_of(all.begin(), all.end(), [](const auto* each) {
                const auto* load = each->manager->load();
                return load && load->interval.count() > 0;
            });
            time += isLed ? stepTime : Common::millis(0);
        }
        return time;
    };
    const auto large = s.add("large", largeCapacity);
    s.timers.advance(Common::millis(500));
    constexpr Common::millis leastDispatchTime { 25000 };

    SECTION("because it can't read the jobs")
    {
        large->unreadablePartition = Records::topic_partition { "keyed.intake", 0 };
        CHECK(dispatchTime({ s.small.get(), large.get() }) > leastDispatchTime);
    }
    SECTION("because it can't read the workers")
    {
        large->unreadablePartition = Records::topic_partition { "keyed.workers", 0 };
        CHECK(dispatchTime({ s.small.get(), large.get() }) > leastDispatchTime);
    }
    SECTION("because nobody can read the jobs")
    {
        s.store.silentPartitions.insert({ "keyed.intake", 0 });
        CHECK(dispatchTime({ s.small.get(), large.get() }) > leastDispatchTime);
    }
}

TEST_CASE("After a failed leader, an instance that can't start a term leaves leadership to others", "[station]")
{
    handover_fixture s;
    const auto other = s.add("other", smallCapacity);
    const auto large = s.add("large", largeCapacity);
    s.timers.advance(Common::millis(1000));
    large->unreadablePartition = Records::topic_partition { "keyed.workers", 0 };
    s.small->kill();
    s.timers.advance(Common::millis(8000));
    CHECK(other->manager->load() != nullptr);
    s.timers.advance(Common::millis(20000));
    CHECK(other->manager->load() != nullptr);
}
