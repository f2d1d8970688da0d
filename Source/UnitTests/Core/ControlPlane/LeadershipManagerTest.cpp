#include "LeadershipFixture.h"

#include <catch2/catch.hpp>

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
