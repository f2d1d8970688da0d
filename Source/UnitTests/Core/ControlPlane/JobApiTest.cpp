#include "ControlPlane/JobApi.h"
#include "../Records/FakeStore.h"

#include <catch2/catch.hpp>

namespace {

struct plain_format : ControlPlane::job_api_format {
    std::optional<Jobs::job_spec> readSpec(std::string_view body) const override
    {
        return Jobs::job_spec { .payload = std::string(body), .steps = { {} } };
    }
    std::string writeState(Jobs::job_state state) const override { return std::to_string(static_cast<int>(state)); }
    std::string writeWaiting(int count) const override { return std::to_string(count); }
};

struct quiet_listener : ControlPlane::job_listener {
    void jobAccepted(const Common::job_id&) override { }
    void jobCancelled(const Common::job_id&) override { }
};

struct job_api_fixture : ControlPlane::job_listener {
    job_api_fixture()
    {
        operators->start();
        for (const auto& reader : intakeReaders)
            reader->start();
        Rules::fleet_rules rules;
        rules.queues = { { .id = { "q" }, .host = "h", .pathPrefix = "/q/", .pool = { "p" } },
            { .id = { "r" }, .host = "h", .pathPrefix = "/r/", .pool = { "p" } } };
        rules.teams = { { .id = { "team" }, .keys = { "key" } }, { .id = { "other" }, .keys = { "otherKey" } } };
        api.setRules(rules);
        timers.advance(Common::millis(100));
    }

    void jobAccepted(const Common::job_id& id) override { accepted.push_back(id.value); }
    void jobCancelled(const Common::job_id& id) override { cancelled.push_back(id.value); }

    /// Status of the answer; 0 while there is none.
    int call(const std::string& method, Common::millis wait = Common::millis(50))
    {
        int status = 0;
        api.handle({ .method = method,
                       .target = prefix + job.value,
                       .headers = { { "Host", "h" }, { "Authorization", "Bearer " + key } },
                       .body = body },
            [&status](const EventLoop::http_response& response) { status = response.status; });
        timers.advance(wait);
        return status;
    }

    /// Stores the job as another instance would.
    void storeElsewhere(const Jobs::job_record& record)
    {
        const auto stored = ControlPlane::jobRecord(record);
        store.put(intakePartition, stored.key, stored.value);
        timers.advance(Common::millis(3000));
    }

    Jobs::job_record someJob(const std::string& queue = "q", const std::string& team = "team") const
    {
        return { .id = job, .queue = { queue }, .team = { team }, .spec = { .steps = { {} } } };
    }

    std::shared_ptr<Records::partition_reader> makeReader(const std::string& topic, Records::record_sink& sink)
    {
        return std::make_shared<Records::partition_reader>(
            store, timers, Records::partition_reader_options { .partition = { topic, 0 } }, sink);
    }

    struct no_sink : Records::record_sink {
        void reset() override { }
        void apply(const Records::keyed_record&) override { }
    };

    Common::job_id job { "0123456789abcdef" };
    static constexpr std::size_t openJobBytes = 20'000;
    const Records::topic_partition intakePartition { "intake", 0 };
    /// Queue and team of the calls.
    std::string prefix { "/q/" };
    std::string key { "key" };
    manual_timers timers;
    fake_store store { timers };
    Jobs::job_registry jobRegistry;
    std::vector<std::string> accepted;
    std::vector<std::string> cancelled;
    std::string body { "x" };
    no_sink nothing;
    ControlPlane::intake_feed feed { jobRegistry, *this };
    std::shared_ptr<Records::partition_reader> operators = makeReader("op", nothing);
    std::vector<std::shared_ptr<Records::partition_reader>> intakeReaders { makeReader("intake", feed) };
    Records::partition_reader_group intake { intakeReaders };
    std::shared_ptr<Records::failover_appender> appender = std::make_shared<Records::failover_appender>(
        store, timers, Records::failover_options { .topic = "intake", .writer = "w" });
    plain_format format;
    ControlPlane::counters eventCounters;
    ControlPlane::job_api api { ControlPlane::job_api_parts { .timers = timers,
        .jobRegistry = jobRegistry,
        .listener = *this,
        .operators = *operators,
        .intake = intake,
        .appender = *appender,
        .format = format,
        .storeLimits = { .recordBytes = 2000, .appendBytes = 4000 },
        .eventCounters = eventCounters,
        .openJobBytes = openJobBytes } };
};

}

TEST_CASE("A job that doesn't fit a record of the store is refused at once, and nothing is sent to the store", "[station]")
{
    job_api_fixture s;
    s.body = std::string(2000, 'x');
    const int appends = s.store.appends;
    CHECK(s.call("POST") == 400);
    CHECK(s.store.appends == appends);
    CHECK(s.accepted.empty());
    s.body = std::string(1500, 'x');
    CHECK(s.call("POST") == 200);
}

TEST_CASE("A stored job is reported once, and not again when it is read back", "[station]")
{
    job_api_fixture s;
    CHECK(s.call("POST") == 200);
    CHECK(s.accepted.size() == 1);
    s.timers.advance(Common::millis(3000));
    CHECK(s.call("POST") == 200);
    CHECK(s.accepted.size() == 1);
    CHECK(s.call("GET") == 200);
}

TEST_CASE("A job that the store refuses is answered with status 503 at once", "[station]")
{
    job_api_fixture s;
    s.store.fault = fake_store::simulated_fault::Busy;
    CHECK(s.call("POST", Common::millis(200)) == 503);
    CHECK(s.accepted.empty());
}

TEST_CASE("A job is reported as unknown only after a refresh from the store", "[station]")
{
    job_api_fixture s;
    SECTION("the store confirms it") { CHECK(s.call("GET") == 410); }
    SECTION("the store doesn't answer")
    {
        s.store.fault = fake_store::simulated_fault::Silent;
        CHECK(s.call("GET", Common::millis(1300)) == 503);
    }
}

TEST_CASE("The leader is told of a cancellation as soon as its own instance has stored it", "[station]")
{
    job_api_fixture s;
    REQUIRE(s.call("POST") == 200);
    for (const auto& reader : s.intakeReaders)
        reader->setInterval(Common::millis(60000));
    s.timers.advance(Common::millis(3000));
    s.store.unreadable.insert(s.intakePartition);
    CHECK(s.call("DELETE") == 200);
    CHECK(s.cancelled.size() == 1);

    SECTION("and not again when it is read back")
    {
        s.store.unreadable.clear();
        s.timers.advance(Common::millis(100000));
        CHECK(s.cancelled.size() == 1);
    }
}

TEST_CASE("A job that is stored after its cancellation was answered with 410 is cancelled", "[station]")
{
    job_api_fixture s;
    REQUIRE(s.call("DELETE") == 410);

    SECTION("by an append without an answer")
    {
        s.storeElsewhere(s.someJob());
        CHECK(s.jobRegistry.stateOf(s.job) == Jobs::job_state::Cancelled);
    }
    SECTION("by a repeated submission")
    {
        CHECK(s.call("POST") == 200);
        CHECK(s.jobRegistry.stateOf(s.job) == Jobs::job_state::Cancelled);
    }
    SECTION("also for a process that starts later")
    {
        s.storeElsewhere(s.someJob());
        s.store.compact(s.intakePartition);
        Jobs::job_registry laterRegistry;
        ControlPlane::intake_feed laterFeed(laterRegistry, s);
        const auto later = s.makeReader("intake", laterFeed);
        later->start();
        s.timers.advance(Common::millis(1000));
        CHECK(laterRegistry.stateOf(s.job) == Jobs::job_state::Cancelled);
    }
    SECTION("but not one of another queue")
    {
        s.storeElsewhere(s.someJob("r"));
        CHECK(s.jobRegistry.stateOf(s.job) == Jobs::job_state::Pending);
    }
    SECTION("nor one of another team")
    {
        s.storeElsewhere(s.someJob("q", "other"));
        CHECK(s.jobRegistry.stateOf(s.job) == Jobs::job_state::Pending);
    }
    SECTION("also if another team has sent the same cancellation since")
    {
        s.key = "otherKey";
        REQUIRE(s.call("DELETE") == 410);
        s.store.compact(s.intakePartition);
        s.storeElsewhere(s.someJob());
        CHECK(s.jobRegistry.stateOf(s.job) == Jobs::job_state::Cancelled);
    }
}

TEST_CASE("A job that is stored while its cancellation is being stored is cancelled at once", "[station]")
{
    job_api_fixture s;
    s.store.delay = Common::millis(20);
    s.timers.after(Common::millis(30), [&s] { REQUIRE(s.jobRegistry.accept(s.someJob())); });
    CHECK(s.call("DELETE", Common::millis(200)) == 200);
    CHECK(s.cancelled.size() == 1);
    CHECK(s.jobRegistry.stateOf(s.job) == Jobs::job_state::Cancelled);
}

TEST_CASE("The cancellation of an unknown job is stored before it is answered", "[station]")
{
    job_api_fixture s;
    SECTION("once")
    {
        CHECK(s.call("DELETE") == 410);
        CHECK(s.store.appends == 1);
        CHECK(s.call("DELETE") == 410);
        CHECK(s.store.appends == 1);
    }
    SECTION("the store refuses")
    {
        s.store.unwritable = Records::append_outcome::Refused;
        CHECK(s.call("DELETE", Common::millis(300)) == 503);
    }
    SECTION("the store doesn't answer")
    {
        s.store.unwritable = Records::append_outcome::Unknown;
        CHECK(s.call("DELETE", Common::millis(3000)) == 504);
    }
}

TEST_CASE("A job of another queue or team is reported as unknown and isn't cancelled", "[station]")
{
    job_api_fixture s;
    REQUIRE(s.call("POST") == 200);
    const int appends = s.store.appends;
    SECTION("another queue") { s.prefix = "/r/"; }
    SECTION("another team") { s.key = "otherKey"; }
    CHECK(s.call("DELETE") == 410);
    s.timers.advance(Common::millis(3000));
    // A job of that queue and team may be stored yet, so the cancellation is kept for it.
    CHECK(s.store.appends == appends + 1);
    CHECK(s.cancelled.empty());
    CHECK(s.jobRegistry.stateOf(s.job) == Jobs::job_state::Pending);
    CHECK(s.call("DELETE") == 410);
    CHECK(s.store.appends == appends + 1);
}

TEST_CASE("What all instances can't hold is refused before it is stored, until jobs have ended", "[station]")
{
    job_api_fixture s;
    std::vector<Common::job_id> stored;
    int status = 200;
    for (int number = 0; number < 50 && status == 200; ++number) {
        s.job.value = "00000000000000" + std::to_string(10 + number);
        status = s.call("POST", Common::millis(3000));
        if (status == 200)
            stored.push_back(s.job);
    }
    CHECK(status == 503);
    CHECK_FALSE(stored.empty());
    CHECK(s.jobRegistry.openBytes() <= job_api_fixture::openJobBytes);
    const int appends = s.store.appends;
    CHECK(s.call("POST", Common::millis(3000)) == 503);
    CHECK(s.store.appends == appends);
    CHECK(s.call("GET", Common::millis(3000)) == 410);

    SECTION("a job that is stored already is confirmed")
    {
        s.job = stored.front();
        CHECK(s.call("POST") == 200);
    }
    SECTION("also if only another instance knows it")
    {
        const auto own = s.job;
        auto record = s.someJob();
        record.id = Jobs::jobIdOf({ own.value }, Jobs::scopeOf(record));
        const auto elsewhere = ControlPlane::jobRecord(record);
        s.store.put(s.intakePartition, elsewhere.key, elsewhere.value);
        CHECK(s.call("POST", Common::millis(3000)) == 200);
        CHECK(s.store.appends == appends);
    }
    SECTION("the end of a job makes room")
    {
        s.jobRegistry.noteState(s.jobRegistry.find(stored.front())->id, Jobs::job_state::Completed);
        CHECK(s.call("POST", Common::millis(3000)) == 200);
    }
}

TEST_CASE("Two jobs with one identifier on different queues, or of different teams, are both stored, shown and cancelled", "[station]")
{
    job_api_fixture s;
    REQUIRE(s.call("POST") == 200);
    SECTION("another queue") { s.prefix = "/r/"; }
    SECTION("another team") { s.key = "otherKey"; }
    CHECK(s.call("POST") == 200);
    CHECK(s.call("GET") == 200);
    CHECK(s.accepted.size() == 2);
    CHECK(s.store.appends == 2);

    s.store.compact(s.intakePartition);
    Jobs::job_registry laterRegistry;
    quiet_listener listener;
    ControlPlane::intake_feed laterFeed(laterRegistry, listener);
    const auto later = s.makeReader("intake", laterFeed);
    later->start();
    s.timers.advance(Common::millis(1000));
    CHECK(laterRegistry.openJobs().size() == 2);

    CHECK(s.call("DELETE") == 200);
    REQUIRE(s.cancelled.size() == 1);
    CHECK(s.cancelled.front() == s.accepted.back());
    CHECK(s.jobRegistry.openJobs().size() == 1);
}

TEST_CASE("Two instances that store jobs with one identifier at the same moment lose neither", "[station]")
{
    job_api_fixture s;
    // Neither instance has read the other's record when it stores its own.
    s.store.delay = Common::millis(20);
    s.timers.after(Common::millis(10), [&s] {
        const auto id = Jobs::jobIdOf({ s.job.value }, { .queue = { "r" }, .team = { "team" } });
        auto other = s.someJob("r");
        other.id = id;
        const auto stored = ControlPlane::jobRecord(other);
        s.store.put(s.intakePartition, stored.key, stored.value);
    });
    CHECK(s.call("POST", Common::millis(200)) == 200);
    s.store.compact(s.intakePartition);
    s.timers.advance(Common::millis(3000));
    CHECK(s.jobRegistry.openJobs().size() == 2);
    CHECK(s.call("GET", Common::millis(200)) == 200);
    s.prefix = "/r/";
    CHECK(s.call("GET", Common::millis(200)) == 200);
}

TEST_CASE("No call is answered by older rules than one that arrived before it", "[station]")
{
    job_api_fixture s;
    std::vector<std::string> answers;
    const auto call = [&s, &answers](const std::string& target) {
        s.api.handle({ .method = "GET", .target = target, .headers = { { "Host", "h" }, { "Authorization", "Bearer key" } } },
            [&answers, target](const EventLoop::http_response& response) {
                answers.push_back(target + ' ' + std::to_string(response.status));
            });
    };
    const Records::topic_partition operators { "op", 0 };
    // The store's answers take long, for example because many instances read at the same time.
    s.store.silentPartitions.insert(operators);
    call("/added/");
    s.timers.advance(Common::millis(300));
    call("/q/");
    s.timers.advance(Common::millis(300));
    CHECK(answers.empty());

    SECTION("the rules are read meanwhile")
    {
        s.store.silentPartitions.clear();
        Rules::fleet_rules newer;
        newer.queues = { { .id = { "added" }, .host = "h", .pathPrefix = "/added/", .pool = { "p" }, .isPublic = true } };
        s.api.setRules(newer);
        s.timers.advance(Common::millis(4000));
        // The first read is given up after its timeout; the calls have either the newer rules or none.
        for (const auto& answer : answers)
            CHECK_FALSE(answer == "/q/ 200");
        CHECK(answers.size() == 2);
    }
    SECTION("they can't be read: the first call is refused, and the second served by the rules that are known")
    {
        s.timers.advance(Common::millis(700));
        CHECK(answers == std::vector<std::string> { "/added/ 503", "/q/ 200" });
    }
    SECTION("a call that arrives after the check waits for no other")
    {
        s.store.silentPartitions.clear();
        s.timers.advance(Common::millis(3000));
        answers.clear();
        call("/q/");
        s.timers.advance(Common::millis(50));
        CHECK(answers == std::vector<std::string> { "/q/ 200" });
    }
}
