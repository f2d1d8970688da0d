#include "Jobs/JobCodec.h"
#include "LeadershipFixture.h"

#include <catch2/catch.hpp>

namespace {

/// A leader and instances that stand by, with jobs that the leader starts.
struct published_fixture : leadership_fixture {
    published_fixture()
    {
        gateway.finishesTasks = true;
        for (int index = 0; index < standbyCount + 1; ++index)
            add("member-" + std::to_string(index));
        timers.advance(Common::millis(5000));
    }

    void add(const std::string& member)
    {
        all.push_back(std::make_unique<instance>(
            *this, ControlPlane::leadership_options { .member = member, .progressTopic = progress() }));
        all.back()->manager->setRules(rules());
    }

    instance& leader()
    {
        const auto found = std::find_if(
            all.begin(), all.end(), [](const auto& each) { return *each->isAlive && each->manager->isConfirmedLeader(); });
        REQUIRE(found != all.end());
        return **found;
    }

    void submit(const std::string& id)
    {
        const auto record = ControlPlane::jobRecord(
            { .id = { id }, .queue = { "q" }, .spec = { .steps = { { .count = 16, .request = { .processor = { 10 } } } } } });
        store.put({ "keyed.intake", 0 }, record.key, record.value);
    }

    std::size_t storedBytes() { return fake_store::sizeOf(store.partitions[progress()].records); }

    static constexpr int standbyCount = 10;
    std::vector<std::unique_ptr<instance>> all;
};

}

TEST_CASE("Instances that don't lead see each job's state without reading the leader's progress", "[station]")
{
    published_fixture s;
    auto& leader = s.leader();
    s.store.bytesRead.clear();
    const auto storedBefore = s.storedBytes();
    for (int index = 0; index < 100; ++index) {
        s.submit("job-" + std::to_string(index));
        s.timers.advance(Common::millis(50));
    }
    s.timers.advance(Common::millis(3000));
    for (const auto& each : s.all)
        CHECK(static_cast<int>(*each->jobRegistry.stateOf({ "job-99" })) == static_cast<int>(Jobs::job_state::Completed));
    // Each of the ten would have to read all of it; of the end, a read returns at most 1 KB.
    CHECK(2 * s.store.bytesRead[leadership_fixture::progress()]
        < published_fixture::standbyCount * (s.storedBytes() - storedBefore));

    SECTION("the next leader knows what one that fails has stored, and runs nothing again")
    {
        const auto starts = s.gateway.ended.size();
        leader.kill();
        s.timers.advance(Common::millis(3000));
        CHECK(&s.leader() != &leader);
        CHECK(s.gateway.ended.size() == starts);
        s.submit("later");
        s.timers.advance(Common::millis(3000));
        CHECK(s.gateway.ended.size() == starts + 16);
        for (const auto& each : s.all)
            CHECK((!*each->isAlive || each->jobRegistry.stateOf({ "later" }) == Jobs::job_state::Completed));
    }
    SECTION("of a job that isn't finished the next leader knows the placements")
    {
        s.gateway.finishesTasks = false;
        s.submit("open");
        s.timers.advance(Common::millis(1000));
        const auto stored = Jobs::decodeProgress(
            { "open" }, s.store.partitions[leadership_fixture::progress()].newest.at("open").value);
        leader.kill();
        s.gateway.isUnresponsive = true;
        s.timers.advance(Common::millis(2000));
        const auto& jobs = s.leader().jobRegistry;
        REQUIRE(jobs.find({ "open" }));
        CHECK(jobs.progressOf({ "open" }).tasks.size() == stored->tasks.size());
        CHECK(stored->tasks.size() == 16);
    }
    SECTION("a released leadership is taken over at once")
    {
        leader.manager->stepDown();
        s.timers.advance(Common::millis(700));
        CHECK(&s.leader() != &leader);
    }
    SECTION("states that a leader stored but didn't publish are published by the next")
    {
        const auto record = ControlPlane::progressRecord({ .job = { "unpublished" }, .state = Jobs::job_state::Completed });
        s.store.put(leadership_fixture::progress(), record.key, record.value);
        leader.kill();
        s.timers.advance(Common::millis(3000));
        for (const auto& each : s.all)
            CHECK((!*each->isAlive || each->stateFeed.published({ "unpublished" }) == Jobs::job_state::Completed));
    }
}

TEST_CASE("A leader of an earlier version, which publishes no states, is followed record by record", "[station]")
{
    leadership_fixture s;
    const Records::writer_position claimed { .writer = "holder", .epoch = 1, .sequence = 0 };
    s.store.store({ .partition = leadership_fixture::progress(),
        .records = { ControlPlane::claimRecord({ .member = "earlier", .number = 9 }) },
        .position = claimed });
    leadership_fixture::instance standby(
        s, { .member = "standby", .progressTopic = leadership_fixture::progress() });
    standby.manager->setRules(leadership_fixture::rules());
    for (std::int64_t sequence = 1; sequence < 30; ++sequence) {
        s.store.store({ .partition = leadership_fixture::progress(),
            .records = { ControlPlane::heartbeatRecord(9) },
            .position = Records::writer_position { .writer = "holder", .epoch = 1, .sequence = sequence } });
        s.timers.advance(Common::millis(100));
    }
    CHECK(standby.progressReader->following() == Records::partition_following::Records);
    CHECK(standby.progressReader->isLoaded());
    CHECK(s.claimers().size() == 1);
}

TEST_CASE("An outage of the store isn't taken for a failed leader by instances that follow only the end", "[station]")
{
    published_fixture s;
    auto& leader = s.leader();
    const auto claims = s.claimers().size();
    s.store.fault = fake_store::simulated_fault::Silent;
    s.timers.advance(Common::millis(6000));
    s.store.fault = fake_store::simulated_fault::None;
    s.timers.advance(Common::millis(3000));
    CHECK(s.claimers().size() == claims);
    CHECK(leader.manager->isConfirmedLeader());
}
