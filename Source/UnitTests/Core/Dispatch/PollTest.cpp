#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

using Dispatch::end_kind;

namespace {

/// A worker with some running tasks of one job.
struct poll_fixture : dispatcher_fixture {
    explicit poll_fixture(int tasks)
    {
        join(worker("w1"));
        add(job("j", { step(tasks) }));
        starts = plan().starts;
        for (const auto& start : starts)
            accept(start);
    }

    /// Answers a poll and stores what it reported.
    void answerAndStore(const Dispatch::poll_order& order, std::vector<Dispatch::listed_run> running,
        std::vector<Dispatch::listed_end> ended = {})
    {
        answerPoll(order, std::move(running), std::move(ended));
        dispatcher.onCommitted(dispatcher.takeCommit(), now);
    }

    /// Time until the worker is polled again.
    Common::millis timeToPoll()
    {
        const auto from = now;
        REQUIRE(nextPoll());
        return Common::elapsed(from, now);
    }

    std::vector<Dispatch::start_order> starts;
};

}

TEST_CASE("Ends that follow each other at short intervals are read with one poll", "[dispatch]")
{
    poll_fixture f(4);
    REQUIRE(f.starts.size() == 4);
    const auto poll = f.nextPoll();
    REQUIRE(poll);
    f.answerAndStore(*poll, { f.listed(f.starts[1]), f.listed(f.starts[2]), f.listed(f.starts[3]) },
        { f.ended(f.starts[0], end_kind::Done) });
    CHECK(f.timeToPoll() >= Dispatch::pollSpacing);

    SECTION("a poll that lists no new end is followed by the next one at once")
    {
        const auto next = f.nextPoll();
        f.answerAndStore(*next, { f.listed(f.starts[1], 20), f.listed(f.starts[2], 20), f.listed(f.starts[3], 20) });
        CHECK(f.timeToPoll() <= 2 * dispatcher_fixture::stepTime);
    }
    SECTION("the poll renews the lease and waits for ends")
    {
        const auto next = f.nextPoll();
        CHECK(next->deadline);
        CHECK(next->wait.count() > 0);
        CHECK(next->acknowledgedEnd.value == 1);
    }
}

TEST_CASE("A poll of a worker with a task to be stopped isn't delayed", "[dispatch]")
{
    poll_fixture f(2);
    const auto poll = f.nextPoll();
    REQUIRE(poll);
    f.answerAndStore(*poll, { f.listed(f.starts[1]) }, { f.ended(f.starts[0], end_kind::Done) });
    f.dispatcher.cancelJob({ "j" });
    CHECK(f.timeToPoll() < Dispatch::pollSpacing);
}

TEST_CASE("A worker on which nothing runs isn't polled for each acknowledgement", "[dispatch]")
{
    poll_fixture f(1);
    const auto poll = f.nextPoll();
    REQUIRE(poll);
    f.answerAndStore(*poll, {}, { f.ended(f.starts[0], end_kind::Done) });

    SECTION("its ends are acknowledged after a while")
    {
        CHECK(f.timeToPoll() >= Common::millis(300));
        CHECK(f.nextPoll()->acknowledgedEnd.value == 1);
    }
    SECTION("or with the poll after its next start")
    {
        f.add(f.job("k", { f.step(1) }));
        const auto starts = f.plan().starts;
        REQUIRE(starts.size() == 1);
        f.accept(starts[0]);
        CHECK(f.timeToPoll() < Common::millis(100));
        CHECK(f.nextPoll()->acknowledgedEnd.value == 1);
    }
}
