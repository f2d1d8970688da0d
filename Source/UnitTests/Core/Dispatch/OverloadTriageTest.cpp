#include "Dispatch/OverloadTriage.h"

#include "Dispatch/RunTimes.h"
#include "DispatcherFixture.h"

#include <catch2/catch.hpp>
#include <set>

namespace {

using namespace Dispatch;

constexpr std::int64_t core = 1000;

triage_job triageJob(const std::string& team, std::int64_t due, std::int64_t coreMillis)
{
    return { .team = { team }, .dueAt = { due }, .left = { coreMillis * core }, .total = { coreMillis * core } };
}

std::int64_t countOf(const std::vector<std::size_t>& postponed, const triage_input& input, const std::string& team)
{
    return std::count_if(postponed.begin(), postponed.end(),
        [&](auto index) { return input.jobs[index].team.value == team; });
}

/// What is kept can be finished in order of deadlines.
bool isFeasible(const triage_input& input, const std::vector<std::size_t>& postponed)
{
    const std::set<std::size_t> out(postponed.begin(), postponed.end());
    auto sum = input.occupied.value;
    for (std::size_t index = 0; index < input.jobs.size(); ++index) {
        if (out.contains(index))
            continue;
        sum += input.jobs[index].left.value;
        if (sum > input.capacity.value * (input.jobs[index].dueAt.value - input.now.value))
            return false;
    }
    return true;
}

}

TEST_CASE("A pool that is short postpones what costs callers least")
{
    triage_input input { .capacity = { 10 * core } };

    SECTION("Nothing is postponed while all can be finished")
    {
        for (int index = 0; index < 10; ++index)
            input.jobs.push_back(triageJob("a", 1000 + index, 1000));
        CHECK(chooseJobsToPostpone(input).empty());
        SECTION("One more job than that is postponed")
        {
            input.jobs.push_back(triageJob("a", 1009, 1000));
            CHECK(chooseJobsToPostpone(input).size() == 1);
        }
        SECTION("What runs for other jobs takes room")
        {
            input.occupied = { 1000 * core };
            CHECK(chooseJobsToPostpone(input).size() == 1);
        }
    }

    SECTION("The lowest priority is postponed first")
    {
        for (int index = 0; index < 10; ++index)
            input.jobs.push_back(triageJob("a", 1000 + index, 1000));
        input.jobs[3].priority = 1;
        input.jobs.push_back(triageJob("a", 1009, 1000));
        CHECK(chooseJobsToPostpone(input) == std::vector<std::size_t> { 3 });
    }

    SECTION("The flood of one team delays that team's own jobs")
    {
        for (int index = 0; index < 60; ++index)
            input.jobs.push_back(triageJob("flood", 900 + index, 1000));
        for (int index = 0; index < 4; ++index)
            input.jobs.push_back(triageJob("other", 1000 + index, 1000));
        const auto postponed = chooseJobsToPostpone(input);
        CHECK(countOf(postponed, input, "other") == 0);
        CHECK(countOf(postponed, input, "flood") == 54);
        CHECK(isFeasible(input, postponed));
        SECTION("Unless its weight is larger")
        {
            input.shares[Common::team_id { "flood" }] = { .weight = 9 };
            CHECK(countOf(chooseJobsToPostpone(input), input, "other") == 3);
        }
    }

    SECTION("A team's limit delays its own jobs only")
    {
        input.shares[Common::team_id { "limited" }] = { .limit = { core } };
        for (int index = 0; index < 4; ++index)
            input.jobs.push_back(triageJob("limited", 1000 + index, 1000));
        input.jobs.push_back(triageJob("other", 1010, 6000));
        const auto postponed = chooseJobsToPostpone(input);
        CHECK(countOf(postponed, input, "limited") == 3);
        CHECK(countOf(postponed, input, "other") == 0);
    }

    SECTION("Work that was done isn't thrown away")
    {
        for (int index = 0; index < 11; ++index)
            input.jobs.push_back(triageJob("a", 1000, 1000));
        for (const auto index : { 0, 10 })
            input.jobs[static_cast<std::size_t>(index)].left = { 600 * core };
        const auto postponed = chooseJobsToPostpone(input);
        CHECK(postponed.size() == 1);
        CHECK(postponed[0] != 0);
        CHECK(postponed[0] != 10);
    }

    SECTION("Large jobs aren't starved")
    {
        for (int index = 0; index < 100; ++index)
            input.jobs.push_back(triageJob("a", 1000 + 10 * index, index % 10 == 0 ? 1500 : 300));
        const auto postponed = chooseJobsToPostpone(input);
        const auto large
            = std::count_if(postponed.begin(), postponed.end(), [](auto index) { return index % 10 == 0; });
        CHECK(isFeasible(input, postponed));
        // Ten of a hundred are large.
        CHECK(static_cast<double>(large) / 10 <= 1.5 * static_cast<double>(postponed.size()) / 100 + 0.1);
    }

    SECTION("A postponed job isn't exchanged for one that is worth the same")
    {
        for (int index = 0; index < 11; ++index)
            input.jobs.push_back(triageJob("a", 1000, 1000));
        input.jobs[7].wasPostponed = true;
        CHECK(chooseJobsToPostpone(input) == std::vector<std::size_t> { 7 });
    }
}

TEST_CASE("Run times are learnt when estimates are far off")
{
    run_times times;
    const Common::queue_id queue { "queue" };
    CHECK(times.expected(queue, Common::millis(100)) == Common::millis(100));
    SECTION("Good estimates are kept")
    {
        for (int index = 0; index < 40; ++index)
            times.note(queue, Common::millis(100 + index), Common::millis(100 + index));
        CHECK(times.expected(queue, Common::millis(100)) == Common::millis(100));
    }
    SECTION("Others are replaced by the mean")
    {
        for (int index = 0; index < 40; ++index)
            times.note(queue, Common::millis(index % 2 == 0 ? 50 : 2000), Common::millis(600));
        CHECK(times.expected(queue, Common::millis(50)) == Common::millis(600));
        CHECK(times.expected({ "another" }, Common::millis(50)) == Common::millis(50));
    }
}

TEST_CASE("Starts in a pool that is short")
{
    dispatcher_fixture fixture;
    fixture.rules.queues[0].latencyTarget = Common::millis(600);
    const auto startedJobs = [&fixture] {
        std::set<std::string> ids;
        for (const auto& order : fixture.plan().starts)
            ids.insert(order.task.job.value);
        return ids;
    };
    const auto submit = [&fixture](const std::string& id, const std::string& team, int count) {
        auto record = fixture.job(id, { dispatcher_fixture::step(count) });
        record.team = { team };
        record.acceptedAt = fixture.wall();
        fixture.add(record);
    };
    const auto arrive = [&] {
        // The flood's jobs were accepted first. 8 cores can finish 17 tasks of 0.5 s until the deadline, 1.1 s later.
        for (int index = 0; index < 6; ++index)
            submit("a" + std::to_string(index), "flood", 8);
        submit("b", "other", 4);
    };

    SECTION("By weight, a small team isn't delayed by another one's flood")
    {
        fixture.rules.teams = { { .id = { "flood" }, .weight = 1 }, { .id = { "other" }, .weight = 1 } };
        fixture.dispatcher.setRules(fixture.rules);
        fixture.join(fixture.worker("w1"));
        arrive();
        CHECK(startedJobs() == std::set<std::string> { "a0" });
        std::set<std::string> postponed;
        for (const auto& event : fixture.events) {
            if (event.kind == dispatch_event_kind::JobPostponed)
                postponed.insert(event.task.job.value);
        }
        CHECK(postponed == std::set<std::string> { "a1", "a2", "a3", "a4", "a5" });
        SECTION("Postponed jobs are started when there is room")
        {
            fixture.join(fixture.worker("w2", 64));
            std::set<std::string> started;
            for (int turn = 0; turn < 12; ++turn)
                started.merge(startedJobs());
            CHECK(started == std::set<std::string> { "a1", "a2", "a3", "a4", "a5", "b" });
        }
        SECTION("The job of the small team comes before them")
        {
            fixture.join(fixture.worker("w2", 4));
            CHECK(startedJobs() == std::set<std::string> { "b" });
        }
    }
    SECTION("Without weights the order is that of the deadlines")
    {
        fixture.join(fixture.worker("w1"));
        arrive();
        CHECK(startedJobs() == std::set<std::string> { "a0" });
        CHECK(std::none_of(fixture.events.begin(), fixture.events.end(),
            [](const auto& event) { return event.kind == dispatch_event_kind::JobPostponed; }));
    }
}
