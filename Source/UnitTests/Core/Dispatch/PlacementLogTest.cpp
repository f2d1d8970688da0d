#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

using Dispatch::end_kind;
using Dispatch::order_outcome;
using Jobs::job_state;

namespace {

/// A new leader. The log has a placement by an earlier one: the first of a job's two tasks on w1.
struct takeover_fixture : dispatcher_fixture {
    takeover_fixture()
        : dispatcher_fixture(20, 1000)
    {
        dispatcher.workerRegistered(worker("w1"), now, now);
        dispatcher.workerRegistered(worker("w2"), now, now);
        add(job("j", { step(2) }), logged);
        answerPoll(nextPoll("w2").value());
    }

    void leaveUnanswered(const std::string& id)
    {
        dispatcher.onPollReply(nextPoll(id).value(), { .base = reply(order_outcome::NoAnswer) }, now, now);
        openPolls.erase({ id });
    }

    const Jobs::task_name first { { "j" }, 0, 0, 0 };
    const Jobs::job_progress logged { .state = job_state::Running,
        .tasks = { { .occurrence = 0, .step = 0, .index = 0, .worker = { "w1" }, .run = 7 } } };
};

}

TEST_CASE("A start is sent only after its placement is stored in the log", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    f.isStored = false;
    CHECK(f.plan().starts.empty());
    const auto batch = f.dispatcher.takeCommit();
    REQUIRE(batch.progress.size() == 1);
    REQUIRE(batch.progress[0].tasks.size() == 1);
    CHECK(batch.progress[0].tasks[0].worker.value == "w1");

    SECTION("however long the log takes")
    {
        f.now += std::chrono::seconds(20);
        CHECK(f.plan().starts.empty());
        f.dispatcher.onCommitted(batch, f.now);
        const auto starts = f.plan().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run.value == batch.progress[0].tasks[0].run);
    }
    SECTION("and not at all if the job was cancelled meanwhile")
    {
        f.dispatcher.cancelJob({ "j" });
        f.dispatcher.onCommitted(batch, f.now);
        const auto orders = f.plan();
        CHECK(orders.starts.empty());
        CHECK(orders.stops.empty());
        CHECK(f.dispatcher.workers().at({ "w1" }).runs.empty());
    }
    SECTION("and to another worker if the first was cordoned meanwhile")
    {
        f.join(f.worker("w2"));
        f.dispatcher.setCordoned({ "w1" }, true);
        f.dispatcher.onCommitted(batch, f.now);
        f.isStored = true;
        f.plan();
        const auto starts = f.plan().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].worker.id.value == "w2");
    }
}

TEST_CASE("A gang isn't started if the start of one of its tasks can't be sent", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1", 1));
    f.join(f.worker("w2", 1));
    auto gang = f.step(2);
    gang.isGang = true;
    f.add(f.job("j", { gang }));
    f.isStored = false;
    f.plan();
    const auto batch = f.dispatcher.takeCommit();
    const std::string cordoned = GENERATE("w1", "w2");
    f.dispatcher.setCordoned({ cordoned }, true);
    f.dispatcher.onCommitted(batch, f.now);
    CHECK(f.plan().starts.empty());
    CHECK(f.dispatcher.workers().at({ "w1" }).runs.empty());
    CHECK(f.dispatcher.workers().at({ "w2" }).runs.empty());
}

TEST_CASE("While the store doesn't answer, only jobs that the log shows as started go on", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("begun", { f.step(1), f.step(1, 1000, { 0 }) }));
    const auto first = f.plan().starts.at(0);
    f.accept(first);
    f.add(f.job("new", { f.step(1) }));
    f.isStored = false;
    f.isConfirmed = false;
    f.status.isStoreUnresponsive = true;
    f.answerPoll(f.nextPoll().value(), {}, { f.ended(first, end_kind::Done) });
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.job.value == "begun");
    CHECK_FALSE(f.dispatcher.areAllPlacementsLogged(f.now));

    f.isConfirmed = true;
    f.status.isStoreUnresponsive = false;
    f.isStored = true;
    CHECK(f.plan().starts.size() == 1);
    f.dispatcher.onCommitted(f.dispatcher.takeCommit(), f.now);
    CHECK(f.dispatcher.areAllPlacementsLogged(f.now));
}

TEST_CASE("A task lost with its worker while another leader may be active waits for the leadership to be confirmed",
    "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    f.accept(f.plan().starts.at(0));
    f.isConfirmed = false;
    f.status.isStoreUnresponsive = true;
    f.now = f.status.confirmedUntil + std::chrono::seconds(1);
    // The next leader may have stored the task's end before the worker restarted.
    f.incarnationStartedAt = { 2000 };
    auto restarted = f.worker("w1");
    restarted.incarnationStartedAt = f.incarnationStartedAt;
    f.dispatcher.workerRegistered(restarted, f.now, f.now);
    f.openPolls.clear();
    f.answerPoll(f.nextPoll().value());
    CHECK(f.plan().starts.empty());
    f.isConfirmed = true;
    f.status.isStoreUnresponsive = false;
    CHECK(f.plan().starts.size() == 1);
}

/// Guards against review case 6: a leader that isn't confirmed starts a task whose end a later leader has noted.
TEST_CASE("What an earlier leader may have started waits until its lease has expired under a confirmed leadership",
    "[dispatch]")
{
    takeover_fixture f;
    f.leaveUnanswered("w1");
    f.now += std::chrono::seconds(5);
    CHECK(f.plan().starts.empty());
    // The store stops answering this leader. A later one may reach w1.
    f.isConfirmed = false;
    f.isStored = false;
    f.status.isStoreUnresponsive = true;

    SECTION("not if the lease expires afterwards")
    {
        f.now += std::chrono::seconds(6);
        f.leaveUnanswered("w1");
        CHECK(f.plan().starts.empty());
        f.nextPoll("w1");
    }
    SECTION("not if the list of instances shows afterwards that the worker has ended")
    {
        f.now += std::chrono::seconds(2);
        f.dispatcher.setInstanceWorkers({ { { "w2" }, { "pool" } } }, f.now, f.now, f.wall());
        CHECK(f.plan().starts.empty());
    }
    REQUIRE_FALSE(f.dispatcher.knowsAllPlacements(f.now));
    // No other leader has taken over meanwhile.
    f.isConfirmed = true;
    f.isStored = true;
    f.status.isStoreUnresponsive = false;
    auto starts = f.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.index == 1);
    CHECK(f.dispatcher.knowsAllPlacements(f.now));
    // The logged run isn't given up while its worker may still answer.
    f.leaveUnanswered("w1");
    starts = f.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.index == 0);
}

/// Guards against two runs at once: a worker that no registration names runs on under an earlier leader.
TEST_CASE("Without a list of instances, an unknown worker may run tasks until the longest lease has expired", "[dispatch]")
{
    dispatcher_fixture f(20, 1000, false);
    f.dispatcher.workerRegistered(f.worker("w2"), f.now, f.now);
    // An earlier leader may have started the second task without the log.
    f.add(f.job("j", { f.step(2) }),
        { .state = job_state::Running, .tasks = { { .occurrence = 0, .step = 0, .index = 0, .isDone = true } } });
    f.answerPoll(f.nextPoll("w2").value());
    CHECK(f.plan().starts.empty());
    f.now += std::chrono::seconds(5);
    CHECK(f.plan().starts.empty());

    SECTION("then it may run nothing any more")
    {
        f.now += std::chrono::seconds(4);
        CHECK(f.plan().starts.empty());
        f.now += std::chrono::seconds(1);
        CHECK(f.plan().starts.size() == 1);
    }
    SECTION("a list shows that there is none")
    {
        f.dispatcher.setInstanceWorkers({ { { "w2" }, { "pool" } } }, f.now, f.now, f.wall());
        CHECK(f.plan().starts.size() == 1);
    }
    SECTION("a list shows one that may run it")
    {
        f.dispatcher.setInstanceWorkers({ { { "w1" }, { "pool" } }, { { "w2" }, { "pool" } } }, f.now, f.now, f.wall());
        f.now += std::chrono::seconds(4);
        CHECK(f.plan().starts.empty());
        CHECK_FALSE(f.dispatcher.knowsAllPlacements(f.now));
    }
}

/// Guards against a task that runs twice: a restarted worker has forgotten its runs, and the fencing token of a later leader.
TEST_CASE("While another leader may have taken over, an incarnation that began since vouches for nothing and gets no starts",
    "[dispatch]")
{
    const auto dispute = [](dispatcher_fixture& f) {
        f.now = f.status.confirmedUntil + std::chrono::seconds(1);
        f.isConfirmed = false;
        f.isStored = false;
        f.status.isStoreUnresponsive = true;
    };
    const auto endDispute = [](dispatcher_fixture& f) {
        f.isConfirmed = true;
        f.isStored = true;
        f.status.isStoreUnresponsive = false;
    };
    const auto restart = [](dispatcher_fixture& f, const std::string& id) {
        auto restarted = f.worker(id);
        restarted.incarnationStartedAt = f.incarnationStartedAt = { 2000 };
        f.openPolls.erase(restarted.id);
        f.dispatcher.workerRegistered(restarted, f.now, f.now);
        // A poll that was sent to the earlier incarnation.
        f.dispatcher.onPollReply({ .worker = { .id = restarted.id, .incarnationStartedAt = { 1000 } } },
            { .base = dispatcher_fixture::reply(order_outcome::NoAnswer) }, f.now, f.now);
        f.answerPoll(f.nextPoll(id).value());
    };

    SECTION("what ran there may have ended, and the later leader have noted it")
    {
        takeover_fixture f;
        f.leaveUnanswered("w1");
        dispute(f);
        restart(f, "w1");
        CHECK(f.plan().starts.empty());
        CHECK_FALSE(f.dispatcher.knowsAllPlacements(f.now));
        endDispute(f);
        CHECK(f.plan().starts.size() == 2);
    }
    SECTION("the later leader needn't have waited for it")
    {
        dispatcher_fixture f;
        f.join(f.worker("w1"));
        f.join(f.worker("w2"));
        f.add(f.job("j", { f.step(1), f.step(1, 1000, { 0 }) }));
        const auto first = f.plan().starts.at(0);
        f.accept(first);
        REQUIRE(first.worker.id.value == "w1");
        const std::string begun = GENERATE("w2", "w3");
        CAPTURE(begun);
        // The one that was known gets no starts, so that the other one would.
        f.dispatcher.setCordoned({ "w1" }, true);
        if (begun == "w3")
            f.dispatcher.setCordoned({ "w2" }, true);
        dispute(f);
        f.answerPoll(f.nextPoll("w1").value(), {}, { f.ended(first, end_kind::Done) });
        restart(f, begun);
        CHECK(f.plan().starts.empty());
        endDispute(f);
        CHECK(f.plan().starts.size() == 1);
        CHECK(f.dispatcher.workers().at({ begun }).runs.size() == 1);
    }
}

TEST_CASE("A new leader starts at once the jobs that no leader has started", "[dispatch]")
{
    takeover_fixture f;
    f.leaveUnanswered("w1");
    f.add(f.job("k", { f.step(1) }));
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.job.value == "k");
}

TEST_CASE("A placement logged by an earlier leader counts until its worker has reported", "[dispatch]")
{
    takeover_fixture f;
    CHECK(f.dispatcher.workers().at({ "w1" }).runs.contains(f.first));

    SECTION("an unresponsive worker may run the task until its lease has expired")
    {
        f.leaveUnanswered("w1");
        f.now += std::chrono::seconds(9);
        CHECK(f.plan().starts.empty());
        f.now += std::chrono::seconds(1);
        f.leaveUnanswered("w1");
        CHECK(f.plan().starts.size() == 2);
    }
    SECTION("a running task is adopted")
    {
        f.answerPoll(f.nextPoll("w1").value(), { { .task = f.first, .run = { 7 }, .percent = { 50 } } });
        const auto starts = f.plan().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].task.index == 1);
    }
    SECTION("a task that ended there is done")
    {
        f.answerPoll(f.nextPoll("w1").value(), {}, { { .number = { 1 }, .task = f.first, .run = { 7 }, .kind = end_kind::Done } });
        const auto starts = f.plan().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].task.index == 1);
    }
    SECTION("a task that isn't there is started")
    {
        f.answerPoll(f.nextPoll("w1").value());
        CHECK(f.plan().starts.size() == 2);
    }
    SECTION("a newer run on another worker replaces it")
    {
        dispatcher_fixture g(20, 1000);
        g.dispatcher.workerRegistered(g.worker("w1"), g.now, g.now);
        g.dispatcher.workerRegistered(g.worker("w2"), g.now, g.now);
        g.add(g.job("j", { g.step(1) }), f.logged);
        g.answerPoll(g.nextPoll("w2").value(), { { .task = f.first, .run = { 8 }, .percent = { 50 } } });
        CHECK(g.plan().stops.empty());
        CHECK(g.dispatcher.workers().at({ "w2" }).runs.contains(f.first));
        CHECK_FALSE(g.dispatcher.workers().at({ "w1" }).runs.contains(f.first));
    }
}

TEST_CASE("A logged placement on a worker that registers later is kept", "[dispatch]")
{
    dispatcher_fixture f(20, 1000);
    const takeover_fixture takeover;
    f.add(f.job("j", { f.step(1) }), takeover.logged);
    f.join(f.worker("w2"));
    f.dispatcher.workerRegistered(f.worker("w1"), f.now, f.now);
    CHECK(f.plan().starts.empty());
    f.answerPoll(f.nextPoll("w1").value());
    CHECK(f.plan().starts.size() == 1);
}

TEST_CASE("When the log has all placements, started jobs don't wait for unresponsive workers either", "[dispatch]")
{
    takeover_fixture f;
    f.leaveUnanswered("w1");
    CHECK(f.plan().starts.empty());
    CHECK_FALSE(f.dispatcher.areAllPlacementsLogged(f.now));
    f.dispatcher.setLogComplete();
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.index == 1);
    CHECK(f.dispatcher.areAllPlacementsLogged(f.now));
}

TEST_CASE("A placement whose start wasn't sent doesn't expire", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.now += std::chrono::seconds(20);
    f.add(f.job("j", { f.step(1) }));
    f.isStored = false;
    f.plan();
    const auto batch = f.dispatcher.takeCommit();
    f.plan();
    f.dispatcher.onCommitted(batch, f.now);
    CHECK(f.plan().starts.size() == 1);
}

/// Guards against two runs at once: the next leader takes a job without a start in the log for one that nobody has started.
TEST_CASE("A job whose start was taken back in the log isn't started without the log", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    const bool hadStart = GENERATE(false, true);
    CAPTURE(hadStart);
    if (hadStart) {
        const auto refused = f.plan().starts.at(0);
        f.isStored = false;
        f.dispatcher.onStart(refused, dispatcher_fixture::reply(Dispatch::order_outcome::DeadlinePassed), f.now);
    }
    f.isStored = false;
    f.plan();
    REQUIRE(f.dispatcher.awaitsPlacementLog());
    // The placement is taken back before it was stored, since the worker has shrunk.
    f.dispatcher.workerRegistered(f.worker("w1", 0), f.now, f.now);
    f.plan();
    const auto takenBack = f.dispatcher.takeCommit();
    REQUIRE(takenBack.progress.size() == 1);
    REQUIRE_FALSE(Jobs::showsStart(takenBack.progress[0]));
    const bool isAnswered = GENERATE(true, false);
    CAPTURE(isAnswered);
    if (isAnswered)
        f.dispatcher.onCommitted(takenBack, f.now);
    f.dispatcher.workerRegistered(f.worker("w1"), f.now, f.now);
    f.status.isStoreUnresponsive = true;
    CHECK(f.plan().starts.empty());
    CHECK(f.plan().starts.empty());
    // Once the log has the placement, the start is sent.
    f.isStored = true;
    CHECK(f.plan().starts.size() == 1);
}
