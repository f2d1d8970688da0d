#include "FakeStore.h"
#include "Records/PartitionReaderGroup.h"

#include <catch2/catch.hpp>
#include <stdexcept>

namespace {

struct recording_sink : Records::record_sink {
    void reset() override
    {
        ++restarts;
        values.clear();
    }
    void apply(const Records::keyed_record& record) override
    {
        ++applied;
        values[record.key] = record.value;
    }
    void batchApplied() override { inForce = values; }

    int restarts { 0 };
    int applied { 0 };
    std::map<std::string, std::string> values;
    /// What users of the sink see.
    std::map<std::string, std::string> inForce;
};

struct reader_fixture {
    reader_fixture()
        : store(timers)
        , reader(std::make_shared<Records::partition_reader>(
              store, timers, Records::partition_reader_options { .partition = topic }, sink))
    {
    }

    const Records::topic_partition topic { "t", 0 };
    manual_timers timers;
    fake_store store;
    recording_sink sink;
    std::shared_ptr<Records::partition_reader> reader;
};

}

TEST_CASE("A reader starts with the newest records and goes on record by record", "[records]")
{
    reader_fixture s;
    s.store.pageSize = 2;
    for (const auto* key : { "a", "b", "c" })
        s.store.put(s.topic, key, "1");
    s.reader->start();
    s.timers.advance(Common::millis(50));
    CHECK(s.sink.values.size() == 3);
    CHECK(s.store.listings == 2);

    SECTION("a record that comes later is applied once")
    {
        const int before = s.sink.applied;
        s.store.put(s.topic, "a", "2");
        s.timers.advance(Common::millis(2500));
        CHECK(s.sink.values["a"] == "2");
        CHECK(s.sink.applied == before + 1);
    }
    SECTION("it starts over with the newest records when the next ones are gone")
    {
        s.store.put(s.topic, "d", "1");
        s.store.compact(s.topic);
        s.timers.advance(Common::millis(2500));
        CHECK(s.sink.restarts == 2);
        CHECK(s.sink.values.size() == 4);
    }
    SECTION("it retries when the store doesn't answer")
    {
        s.store.fault = fake_store::simulated_fault::Silent;
        s.timers.advance(Common::millis(9000));
        s.store.put(s.topic, "d", "1");
        s.store.fault = fake_store::simulated_fault::None;
        s.timers.advance(Common::millis(5000));
        CHECK(s.sink.values.contains("d"));
    }
}

TEST_CASE("A refresh confirms the view as of its start", "[records]")
{
    reader_fixture s;
    s.reader->start();
    s.timers.advance(Common::millis(50));
    s.store.put(s.topic, "a", "1");
    std::optional<bool> answer;
    s.reader->refresh(Common::millis(500), [&answer](bool isRead) { answer = isRead; });

    SECTION("it doesn't wait for the interval or the long poll")
    {
        s.timers.advance(Common::millis(10));
        CHECK(answer == true);
        CHECK(s.sink.values.contains("a"));
    }
    SECTION("it fails in time when the store doesn't answer")
    {
        s.store.fault = fake_store::simulated_fault::Silent;
        s.reader->refresh(Common::millis(300), [&answer](bool isRead) { answer = isRead; });
        s.timers.advance(Common::millis(350));
        CHECK(answer.has_value());
    }
}

TEST_CASE("A shorter interval takes effect at once", "[records]")
{
    reader_fixture s;
    s.reader->start();
    s.timers.advance(Common::millis(50));
    s.reader->setInterval(Common::millis(900));
    s.store.put(s.topic, "a", "1");
    s.timers.advance(Common::millis(1100));
    CHECK(s.sink.values.contains("a"));
    s.store.put(s.topic, "b", "1");
    s.reader->setInterval(Common::millis(20));
    s.timers.advance(Common::millis(30));
    CHECK(s.sink.values.contains("b"));
}

TEST_CASE("Readers of several partitions are refreshed together", "[records]")
{
    reader_fixture s;
    recording_sink other;
    const Records::topic_partition second { "t", 1 };
    const auto reader = std::make_shared<Records::partition_reader>(
        s.store, s.timers, Records::partition_reader_options { .partition = second }, other);
    Records::partition_reader_group group({ s.reader, reader });
    s.reader->start();
    CHECK_FALSE(group.isLoaded());
    reader->start();
    s.timers.advance(Common::millis(50));
    CHECK(group.isLoaded());
    s.store.put(second, "x", "1");
    std::optional<bool> answer;
    group.refresh(Common::millis(500), [&answer](bool isRead) { answer = isRead; });
    s.timers.advance(Common::millis(20));
    CHECK(answer == true);
    CHECK(other.values.contains("x"));
}

// A leader on a small link acted on registrations and cancellations that were many seconds old.
TEST_CASE("A reader that is behind on a slow link catches up", "[records]")
{
    reader_fixture s;
    s.reader->start();
    s.timers.advance(Common::millis(50));
    constexpr std::size_t linkBytesPerMilli = 100;
    s.store.bytesPerMilli = linkBytesPerMilli;
    const std::string value(1000, 'v');
    constexpr int records = 600;

    SECTION("although all that it lacks doesn't arrive within one timeout")
    {
        for (int number = 0; number < records; ++number)
            s.store.put(s.topic, std::to_string(number), value);
        s.timers.advance(Common::millis(30000));
        CHECK(s.sink.values.size() == records);
    }
    SECTION("although more comes all the time")
    {
        for (int number = 0; number < records; ++number) {
            s.store.put(s.topic, std::to_string(number), value);
            s.timers.advance(Common::millis(20));
        }
        s.timers.advance(Common::millis(5000));
        CHECK(s.sink.values.size() == records);
        const auto age = s.reader->confirmedAt().has_value() ? s.timers.now() - *s.reader->confirmedAt() : Common::millis(60000);
        CHECK(age < Common::millis(2500));
    }
    SECTION("although a record is larger than an answer was limited to")
    {
        s.store.fault = fake_store::simulated_fault::Silent;
        s.timers.advance(Common::millis(30000));
        s.store.fault = fake_store::simulated_fault::None;
        s.store.put(s.topic, "large", std::string(120000, 'v'));
        s.timers.advance(Common::millis(30000));
        CHECK(s.sink.values.contains("large"));
    }
}

// After a power loss of all instances, those with a small link read the first page again and again.
TEST_CASE("A reader loads pages that don't arrive within the first timeout", "[records]")
{
    reader_fixture s;
    constexpr std::size_t linkBytesPerMilli = 100;
    s.store.bytesPerMilli = linkBytesPerMilli;
    const std::string value(1000, 'v');
    for (int number = 0; number < 1200; ++number)
        s.store.put(s.topic, std::to_string(number), value);
    s.reader->start();
    s.timers.advance(Common::millis(45000));
    CHECK(s.reader->isLoaded());
    CHECK(s.sink.values.size() == 1200);
}

TEST_CASE("A reader loads soon after an outage of the store, however long the outage was", "[records]")
{
    reader_fixture s;
    s.store.put(s.topic, "a", "1");
    s.store.fault = fake_store::simulated_fault::Silent;
    s.reader->start();
    const auto outage = GENERATE(2000, 5000, 9000, 20000);
    s.timers.advance(Common::millis(outage));
    s.store.fault = fake_store::simulated_fault::None;
    s.timers.advance(Common::millis(3500));
    CHECK(s.reader->isLoaded());
}

// An instance that had just started answered that an accepted job doesn't exist.
TEST_CASE("Records that come while pages are read are applied before a refresh is confirmed", "[records]")
{
    reader_fixture s;
    s.store.pageSize = 1;
    for (const auto* key : { "b", "c", "d", "e" })
        s.store.put(s.topic, key, "1");
    s.reader->start();
    s.timers.advance(Common::millis(5));
    // The page that would hold it has been read.
    s.store.put(s.topic, "a", "1");
    std::optional<bool> wasKnown;
    s.reader->refresh(Common::millis(1000),
        [&wasKnown, &s](bool isRead) { wasKnown = isRead && s.sink.values.contains("a"); });
    s.timers.advance(Common::millis(100));
    REQUIRE(wasKnown.has_value());
    CHECK(*wasKnown);
}

// An instance answered by rules that the refresh before its answer had already replaced.
TEST_CASE("What a refresh has read is in force when it is confirmed", "[records]")
{
    reader_fixture s;
    std::optional<bool> wasInForce;
    const auto refresh = [&s, &wasInForce] {
        s.reader->refresh(Common::millis(500),
            [&s, &wasInForce](bool isRead) { wasInForce = isRead && s.sink.inForce.contains("a"); });
    };

    SECTION("after a read")
    {
        s.reader->start();
        s.timers.advance(Common::millis(50));
        s.store.put(s.topic, "a", "1");
        refresh();
    }
    SECTION("after the first pages")
    {
        s.store.put(s.topic, "a", "1");
        refresh();
        s.reader->start();
    }
    s.timers.advance(Common::millis(50));
    REQUIRE(wasInForce.has_value());
    CHECK(*wasInForce);
}

TEST_CASE("A reader that follows only the end transfers no records", "[records]")
{
    reader_fixture s;
    s.store.put(s.topic, "a", "1");
    s.reader->start();
    s.timers.advance(Common::millis(50));
    s.reader->setFollowing(Records::partition_following::End);
    // A read that waits for records may still be open.
    s.timers.advance(Common::millis(1500));
    const int applied = s.sink.applied;
    for (int count = 0; count < 50; ++count)
        s.store.put(s.topic, "a", std::string(2000, 'x'));
    s.timers.advance(Common::millis(500));
    CHECK(s.sink.applied == applied);
    CHECK(s.store.recordsRead[s.topic] == 0);
    CHECK(s.reader->next() == Common::log_offset { 51 });
    CHECK_FALSE(s.reader->isLoaded());

    SECTION("its reads are confirmed only while the store answers")
    {
        s.store.fault = fake_store::simulated_fault::Silent;
        s.timers.advance(Common::millis(5000));
        CHECK(Common::elapsed(*s.reader->confirmedAt(), s.timers.now()) > Common::millis(4000));
        s.store.fault = fake_store::simulated_fault::None;
        s.timers.advance(Common::millis(3000));
        CHECK(Common::elapsed(*s.reader->confirmedAt(), s.timers.now()) < Common::millis(1000));
    }
    SECTION("following the records again begins with the newest ones and misses nothing")
    {
        s.reader->setFollowing(Records::partition_following::Records);
        s.store.put(s.topic, "b", "2");
        s.timers.advance(Common::millis(1500));
        CHECK(s.reader->isLoaded());
        CHECK(s.sink.inForce.size() == 2);
        CHECK(s.reader->next() == Common::log_offset { 52 });
    }
    SECTION("an answer to an earlier read has no effect")
    {
        s.reader->setFollowing(Records::partition_following::Records);
        s.reader->setFollowing(Records::partition_following::End);
        s.reader->setFollowing(Records::partition_following::Records);
        s.timers.advance(Common::millis(1500));
        CHECK(s.reader->isLoaded());
        const int before = s.sink.applied;
        s.store.put(s.topic, "c", "3");
        s.timers.advance(Common::millis(2500));
        CHECK(s.sink.applied == before + 1);
    }
}

TEST_CASE("A record that can't be handled keeps no reader from those that follow", "[records]")
{
    struct failing_sink : recording_sink {
        void apply(const Records::keyed_record& record) override
        {
            if (record.key == "odd")
                throw std::out_of_range("odd");
            recording_sink::apply(record);
        }
    };
    manual_timers timers;
    fake_store store(timers);
    failing_sink sink;
    const Records::topic_partition topic { "t", 0 };
    const auto reader = std::make_shared<Records::partition_reader>(
        store, timers, Records::partition_reader_options { .partition = topic }, sink);
    store.put(topic, "odd", "1");
    store.put(topic, "plain", "1");
    reader->start();
    timers.advance(Common::millis(50));
    CHECK(sink.inForce == std::map<std::string, std::string> { { "plain", "1" } });
    store.put(topic, "odd", "2");
    store.put(topic, "plain", "2");
    timers.advance(Common::millis(2500));
    CHECK(sink.inForce == std::map<std::string, std::string> { { "plain", "2" } });
    CHECK(reader->next() == Common::log_offset { 4 });
}
