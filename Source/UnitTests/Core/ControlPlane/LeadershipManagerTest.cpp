#include "LeadershipFixture.h"

#include <catch2/catch.hpp>

namespace {

bool isRelease(const Records::keyed_record& record)
{
    return record.key == ControlPlane::releaseRecord(0).key;
}

}

TEST_CASE("An instance without rules claims no leadership that it would have to give up", "[station]")
{
    leadership_fixture s;
    leadership_fixture::instance unready(s, { .member = "unready", .progressTopic = leadership_fixture::progress() });
    s.timers.advance(Common::millis(5000));
    CHECK(s.claimers().empty());

    SECTION("It claims once it has read the rules, and keeps its first term")
    {
        unready.manager->setRules(leadership_fixture::rules());
        s.timers.advance(Common::millis(5000));
        CHECK(s.claimers() == std::vector<std::string> { "unready" });
    }
    SECTION("An instance that has them leads meanwhile, in one term")
    {
        leadership_fixture::instance ready(s, { .member = "ready", .progressTopic = leadership_fixture::progress() });
        ready.manager->setRules(leadership_fixture::rules());
        s.timers.advance(Common::millis(5000));
        CHECK(s.claimers() == std::vector<std::string> { "ready" });
    }
}

TEST_CASE("An instance that hasn't read the jobs claims no leadership", "[station]")
{
    leadership_fixture s;
    const Records::topic_partition intake { "keyed.intake", 0 };
    s.store.silentPartitions.insert(intake);
    leadership_fixture::instance unready(s, { .member = "unready", .progressTopic = leadership_fixture::progress() });
    unready.manager->setRules(leadership_fixture::rules());
    s.timers.advance(Common::millis(5000));
    CHECK(s.claimers().empty());
    s.store.silentPartitions.erase(intake);
    s.timers.advance(Common::millis(5000));
    CHECK(s.claimers() == std::vector<std::string> { "unready" });
}

TEST_CASE("A small instance doesn't claim first when all get the rules at the same time", "[station]")
{
    leadership_fixture s;
    std::vector<std::unique_ptr<leadership_fixture::instance>> all;
    const auto add = [&s, &all](const std::string& member, const ControlPlane::instance_capacity& capacity) {
        all.push_back(std::make_unique<leadership_fixture::instance>(s,
            ControlPlane::leadership_options {
                .member = member, .capacity = capacity, .progressTopic = leadership_fixture::progress() }));
    };
    for (int index = 0; index < 8; ++index)
        add("small-" + std::to_string(index), { .processor = { 120 }, .link = { 10 } });
    add("large", { .processor = { 500 }, .link = { 200 } });
    s.timers.advance(Common::millis(5000));
    for (const auto& each : all) {
        each->manager->setRules(leadership_fixture::rules());
        s.timers.advance(Common::millis(10));
    }
    s.timers.advance(Common::millis(1000));
    CHECK(s.claimers() == std::vector<std::string> { "large" });
}

/// Guards against review case 3: the next leader took the release of a superseded one as proof that the log was complete.
TEST_CASE("A leader that was superseded doesn't release leadership", "[station]")
{
    leadership_fixture s;
    leadership_fixture::instance first(s, { .member = "first", .progressTopic = leadership_fixture::progress() });
    first.manager->setRules(leadership_fixture::rules());
    s.timers.advance(Common::millis(2000));
    REQUIRE(first.manager->isConfirmedLeader());
    const auto& partition = s.store.partitions[leadership_fixture::progress()];
    s.store.store({ .partition = leadership_fixture::progress(),
        .records = { ControlPlane::claimRecord({ .member = "second", .number = 2 }) },
        .position = Records::writer_position { .writer = "holder", .epoch = partition.end() + 1, .sequence = 0 } });
    SECTION("when it notices that")
    {
        s.timers.advance(Common::millis(600));
    }
    SECTION("when it is stopped before it has noticed")
    {
        first.manager->stepDown();
        s.timers.advance(Common::millis(600));
    }
    CHECK_FALSE(first.manager->isConfirmedLeader());
    CHECK(std::none_of(partition.records.begin(), partition.records.end(), isRelease));
}

TEST_CASE("A release is stored with all that the leader knows", "[station]")
{
    leadership_fixture s;
    s.gateway.finishesTasks = true;
    leadership_fixture::instance leader(s, { .member = "first", .progressTopic = leadership_fixture::progress() });
    leader.manager->setRules(leadership_fixture::rules());
    s.timers.advance(Common::millis(2000));
    const Jobs::step_spec step { .request = { .processor = { 1000 } } };
    auto later = step;
    later.dependsOn = { 0 };
    const auto record = ControlPlane::jobRecord({ .id = { "j" }, .queue = { "q" }, .spec = { .steps = { step, later } } });
    s.store.put({ "keyed.intake", 0 }, record.key, record.value);
    const auto isBegun = [&leader] {
        return leader.jobRegistry.find({ "j" }) && !leader.jobRegistry.progressOf({ "j" }).tasks.empty();
    };
    for (int millis = 0; millis < 3000 && !isBegun(); ++millis)
        s.timers.advance(Common::millis(1));
    REQUIRE(isBegun());
    // The rest of the job goes on without the store.
    s.store.unwritable = Records::append_outcome::Unknown;
    s.timers.advance(Common::millis(1000));
    REQUIRE(s.gateway.ended.size() == 2);
    s.store.unwritable.reset();
    leader.manager->stepDown();
    s.timers.advance(Common::millis(3000));
    Jobs::job_registry seen;
    ControlPlane::intake_feed intake(seen, leader);
    intake.apply(record);
    ControlPlane::progress_feed feed(seen);
    const auto& records = s.store.partitions[leadership_fixture::progress()].records;
    const auto release = std::find_if(records.begin(), records.end(), isRelease);
    std::for_each(records.begin(), release, [&feed](const auto& entry) { feed.apply(entry); });
    // The release may be given up; then the next leader waits for the workers.
    if (release != records.end())
        CHECK(seen.progressOf({ "j" }).state == Jobs::job_state::Completed);
}
