#include "Records/BatchAppender.h"
#include "FakeStore.h"

#include <catch2/catch.hpp>

using Records::append_outcome;

namespace {

struct appender_fixture {
    explicit appender_fixture(std::optional<Common::millis> giveUpAfter)
        : store(timers)
        , appender(std::make_shared<Records::batch_appender>(store, timers,
              Records::appender_options { .partition = topic, .writer = "w", .giveUpAfter = giveUpAfter }))
    {
    }

    void add(const std::string& key)
    {
        appender->add({ { .key = key, .value = "v" } }, [this](append_outcome outcome) { outcomes.push_back(outcome); });
    }

    const Records::topic_partition topic { "t", 0 };
    manual_timers timers;
    fake_store store;
    std::shared_ptr<Records::batch_appender> appender;
    std::vector<append_outcome> outcomes;
};

}

TEST_CASE("Records added during an append are sent with the next one", "[records]")
{
    appender_fixture s(Common::millis(2000));
    for (const auto* key : { "a", "b", "c" })
        s.add(key);
    s.timers.advance(Common::millis(50));
    CHECK(s.outcomes == std::vector<append_outcome>(3, append_outcome::Stored));
    CHECK(s.store.appends == 2);
}

TEST_CASE("An append whose answer is lost is stored once", "[records]")
{
    appender_fixture s(Common::millis(5000));
    s.store.fault = fake_store::simulated_fault::AnswerLost;
    s.add("a");
    s.timers.advance(Common::millis(500));
    s.store.fault = fake_store::simulated_fault::None;
    s.timers.advance(Common::millis(2000));
    CHECK(s.outcomes == std::vector { append_outcome::Stored });
    CHECK(s.store.partitions[s.topic].records.size() == 1);
}

TEST_CASE("A batch is given up early when the store refuses, later when it doesn't answer", "[records]")
{
    appender_fixture s(Common::millis(2000));
    SECTION("refused: the outcome says that nothing is stored")
    {
        s.store.fault = fake_store::simulated_fault::Busy;
        s.add("a");
        s.timers.advance(Common::millis(500));
        CHECK(s.outcomes == std::vector { append_outcome::Refused });
    }
    SECTION("no answer: the outcome is unknown, and the next record is stored once the store answers again")
    {
        s.store.fault = fake_store::simulated_fault::Silent;
        s.add("a");
        s.timers.advance(Common::millis(4000));
        CHECK(s.outcomes == std::vector { append_outcome::Unknown });
        s.store.fault = fake_store::simulated_fault::None;
        s.add("b");
        s.timers.advance(Common::millis(100));
        CHECK(s.outcomes.back() == append_outcome::Stored);
    }
}

TEST_CASE("A batch is stored once by a store that is slower than the call timeout", "[records]")
{
    appender_fixture s(std::nullopt);
    s.store.delay = Common::millis(1500);
    s.add("a");
    s.timers.advance(Common::millis(6000));
    CHECK(s.outcomes == std::vector { append_outcome::Stored });
    CHECK(s.store.partitions[s.topic].records.size() == 1);
}

TEST_CASE("A stopped appender releases the waiting handlers", "[records]")
{
    appender_fixture s(std::nullopt);
    s.store.fault = fake_store::simulated_fault::Silent;
    const auto held = std::make_shared<int>(0);
    s.appender->add({ { .key = "a", .value = "v" } }, [held](append_outcome) {});
    s.appender->add({ { .key = "b", .value = "v" } }, [held](append_outcome) {});
    CHECK(held.use_count() == 3);
    s.appender->stop();
    CHECK(held.use_count() == 1);
    s.timers.advance(Common::millis(5000));
}

TEST_CASE("A writer with a lower epoch is fenced", "[records]")
{
    appender_fixture s(std::nullopt);
    s.store.store({ .partition = s.topic, .records = { { .key = "x", .value = "1" } }, .position = Records::writer_position { .writer = "w", .epoch = 9, .sequence = 0 } });
    s.add("a");
    s.timers.advance(Common::millis(100));
    CHECK(s.outcomes == std::vector { append_outcome::Fenced });
}
