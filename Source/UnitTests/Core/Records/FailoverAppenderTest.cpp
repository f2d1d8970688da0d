#include "Records/FailoverAppender.h"
#include "FakeStore.h"

#include <catch2/catch.hpp>

using Records::append_outcome;

namespace {

struct failover_fixture {
    void add(const std::string& key)
    {
        appender->add(
            { { .key = key, .value = "v" } }, [this](append_outcome outcome) { outcomes.push_back(outcome); });
    }

    manual_timers timers;
    fake_store store { timers };
    std::shared_ptr<Records::failover_appender> appender = std::make_shared<Records::failover_appender>(
        store, timers,
        Records::failover_options { .topic = "t", .partitionCount = 3, .firstPartition = 1, .writer = "w" });
    std::vector<append_outcome> outcomes;
};

}

TEST_CASE("Records go to the first partition as long as it answers", "[records]")
{
    failover_fixture s;
    s.add("a");
    s.timers.advance(Common::millis(20));
    CHECK(s.outcomes == std::vector { append_outcome::Stored });
    CHECK(s.store.partitions[{ "t", 1 }].records.size() == 1);
}

TEST_CASE("Records fail over from an unresponsive partition, and later ones don't wait for it", "[records]")
{
    failover_fixture s;
    s.store.silentPartitions.insert({ "t", 1 });
    s.add("a");
    s.timers.advance(Common::millis(620));
    CHECK(s.outcomes == std::vector { append_outcome::Stored });
    CHECK(s.store.partitions[{ "t", 2 }].records.size() == 1);
    s.add("b");
    s.timers.advance(Common::millis(20));
    CHECK(s.outcomes == std::vector { append_outcome::Stored, append_outcome::Stored });
}

TEST_CASE("A slow store gets more time, instead of records being sent to every partition", "[records]")
{
    failover_fixture s;
    s.store.delay = Common::millis(800);
    s.add("a");
    s.timers.advance(Common::millis(2500));
    CHECK(s.outcomes.size() == 1);
    const auto before = s.store.appends;
    s.add("b");
    s.timers.advance(Common::millis(1500));
    CHECK(s.outcomes.size() == 2);
    CHECK(s.store.appends == before + 1);
}

TEST_CASE("A store that refuses is reported at once as having stored nothing", "[records]")
{
    failover_fixture s;
    s.store.fault = fake_store::simulated_fault::Busy;
    s.add("a");
    s.timers.advance(Common::millis(500));
    CHECK(s.outcomes == std::vector { append_outcome::Refused });
    s.add("b");
    CHECK(s.outcomes == std::vector { append_outcome::Refused, append_outcome::Refused });
    s.store.fault = fake_store::simulated_fault::None;
    s.timers.advance(Common::millis(1000));
    s.add("c");
    s.timers.advance(Common::millis(20));
    CHECK(s.outcomes.back() == append_outcome::Stored);
}

TEST_CASE("Records without an answer have an unknown outcome, and later ones are refused at once", "[records]")
{
    failover_fixture s;
    s.store.fault = fake_store::simulated_fault::Silent;
    s.add("a");
    s.timers.advance(Common::millis(1900));
    CHECK(s.outcomes.empty());
    s.add("b");
    CHECK(s.outcomes == std::vector { append_outcome::Refused });
    s.timers.advance(Common::millis(500));
    CHECK(s.outcomes == std::vector { append_outcome::Refused, append_outcome::Unknown });
}
