#include "../Records/FakeStore.h"
#include "ControlPlane/LeaderElection.h"

#include <catch2/catch.hpp>

namespace {

const Records::topic_partition topic { "t", 0 };

/// Takes a limited number of reads and refuses the others, with room for a burst.
struct limited_store : fake_store {
    using fake_store::fake_store;

    bool take()
    {
        const auto now = timers.now();
        const auto elapsed = static_cast<double>(Common::elapsed(std::exchange(lastTake, now), now).count());
        tokens = std::min(burst, tokens + elapsed * readsPerMilli);
        if (readsPerMilli > 0 && tokens >= 1) {
            tokens -= 1;
            return true;
        }
        ++refused;
        return false;
    }
    void read(const Records::read_request& request, Common::millis timeout,
        std::function<void(Records::read_result)> handler) override
    {
        if (take())
            fake_store::read(request, timeout, std::move(handler));
        else
            timers.after(delay, [handler] { handler({ .isOverLimit = true }); });
    }
    void newest(const Records::topic_partition& partition, const std::string& afterKey, Common::millis timeout,
        std::function<void(Records::newest_result)> handler) override
    {
        if (take())
            fake_store::newest(partition, afterKey, timeout, std::move(handler));
        else
            timers.after(delay, [handler] { handler({ .isOverLimit = true }); });
    }

    static constexpr double burst = 500;
    double readsPerMilli { 2 };
    double tokens { burst };
    int refused { 0 };
    Common::instant lastTake { std::chrono::seconds(1000) };
};

struct null_sink : Records::record_sink {
    void reset() override { }
    void apply(const Records::keyed_record&) override { }
};

/// An instance that reads four partitions each 0.2 s.
struct instance {
    instance(fake_store& store, manual_timers& timers, int index)
        : pacing({ .member = "instance-" + std::to_string(index) })
        , paced(store, timers, pacing)
    {
        for (int reader = 0; reader < 4; ++reader) {
            readers.push_back(std::make_shared<Records::partition_reader>(paced, timers,
                Records::partition_reader_options {
                    .partition = { "t", reader }, .interval = Common::millis(200), .pacing = &pacing },
                sink));
            readers.back()->setLongPolling(false);
            readers.back()->start();
        }
    }

    Records::read_pacing pacing;
    Records::paced_store paced;
    null_sink sink;
    std::vector<std::shared_ptr<Records::partition_reader>> readers;
};

struct fleet {
    fleet(int count, int leader)
        : store(timers)
    {
        for (int index = 0; index < count; ++index)
            instances.push_back(std::make_unique<instance>(store, timers, index));
        instances[static_cast<std::size_t>(leader)]->pacing.setLeading(true);
    }

    manual_timers timers;
    limited_store store;
    std::vector<std::unique_ptr<instance>> instances;
};

/// The reads of a crowd, so that the pacing reads less often.
void noteCrowd(Records::read_pacing& pacing, manual_timers& timers)
{
    for (int step = 0; step < 50; ++step) {
        pacing.note(step % 2 == 0, timers.now());
        timers.advance(Common::millis(50));
    }
}

}

TEST_CASE("The leader's view stays recent enough for starts with three times the readers that the store serves", "[pacing]")
{
    constexpr int leader = 299;
    fleet s(300, leader);
    s.timers.advance(Common::millis(15000));
    const auto& reader = s.instances[leader]->readers.front();
    Common::millis oldest { 0 };
    for (int step = 0; step < 100; ++step) {
        s.timers.advance(Common::millis(100));
        REQUIRE(reader->confirmedAt());
        oldest = std::max(oldest, Common::elapsed(*reader->confirmedAt(), s.timers.now()));
    }
    CHECK(oldest <= Common::millis(700));
    // A caller sees a state at most 3 s late, and others may read it at the store 1 s late.
    for (const auto& entry : s.instances)
        CHECK(Common::elapsed(entry->readers.front()->confirmedAt().value(), s.timers.now()) <= Common::millis(3000));
}

TEST_CASE("Few instances read at their usual intervals", "[pacing]")
{
    fleet s(40, 0);
    s.timers.advance(Common::millis(10000));
    CHECK(s.store.refused == 0);
    for (const auto& entry : s.instances)
        CHECK(entry->pacing.stretch() == 1);

    SECTION("also after the store has refused all reads for some seconds")
    {
        s.store.readsPerMilli = 0;
        s.timers.advance(Common::millis(4500));
        s.store.readsPerMilli = 2;
        s.timers.advance(Common::millis(2000));
        for (const auto& entry : s.instances)
            CHECK(entry->pacing.stretch() == 1);
    }
}

TEST_CASE("An instance reads more often again when there are fewer of them", "[pacing]")
{
    manual_timers timers;
    Records::read_pacing pacing({ .member = "a" });
    noteCrowd(pacing, timers);
    REQUIRE(pacing.stretch() > 1);
    for (int second = 0; second < 600; ++second) {
        pacing.note(false, timers.now());
        timers.advance(Common::millis(1000));
    }
    CHECK(pacing.stretch() == 1);
}

TEST_CASE("A process that starts in a crowd begins with the stretch that the leader stored", "[pacing]")
{
    ControlPlane::handover_feed feed;
    CHECK(feed.stretch() == 1);
    feed.apply(ControlPlane::stretchRecord(4));
    Records::read_pacing pacing({ .member = "a" });
    pacing.begin(feed.stretch(), Common::instant());
    CHECK(pacing.stretch() == 4);
    pacing.begin(6, Common::instant());
    CHECK(pacing.stretch() == 4);
    auto unreadable = ControlPlane::stretchRecord(1);
    unreadable.value = "x";
    feed.apply(unreadable);
    CHECK(feed.stretch() == 1);
}

TEST_CASE("In a crowd a few instances take over at the usual times, and others when these are gone", "[pacing]")
{
    manual_timers timers;
    fake_store store(timers);
    std::vector<std::unique_ptr<Records::read_pacing>> crowd;
    Records::read_pacing* late = nullptr;
    int first = 0;
    for (int index = 0; index < 300; ++index) {
        crowd.push_back(std::make_unique<Records::read_pacing>(
            Records::read_pacing_options { .member = "instance-" + std::to_string(index) }));
        noteCrowd(*crowd.back(), timers);
        if (crowd.back()->isFirstCandidate())
            ++first;
        else
            late = crowd.back().get();
    }
    CHECK(first >= 1);
    CHECK(first <= 60);
    REQUIRE(late);

    Jobs::job_registry jobs;
    ControlPlane::progress_feed feed(jobs);
    auto reader = std::make_shared<Records::partition_reader>(store, timers,
        Records::partition_reader_options { .partition = topic, .interval = Common::millis(100) }, feed);
    reader->start();
    bool hasWon = false;
    const auto election = std::make_shared<ControlPlane::leader_election>(store, timers,
        ControlPlane::election_options { .member = "late", .progressTopic = topic, .writer = "holder", .pacing = late },
        *reader, feed);
    election->start([&hasWon](const auto&) { hasWon = true; });
    store.put(topic, "@sign", "1");
    store.store({ .partition = topic, .records = { ControlPlane::claimRecord({ .member = "gone", .number = 1 }) } });
    timers.advance(Common::millis(1000));
    CHECK_FALSE(hasWon);
    timers.advance(Common::millis(6000));
    CHECK(hasWon);
}
