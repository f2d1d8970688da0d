#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

using Dispatch::end_kind;
using Dispatch::order_outcome;
using Jobs::job_state;

namespace {

/// A new holder; an earlier one noted that the first task of a job of two runs on w1.
struct takeover_story : dispatcher_fixture {
    takeover_story()
        : dispatcher_fixture(20, 1000)
    {
        dispatcher.workerListed(worker("w1"), now, now);
        dispatcher.workerListed(worker("w2"), now, now);
        add(job("j", { step(2) }), noted);
        look(nextLook("w2").value());
    }

    void keepSilent(const std::string& id)
    {
        dispatcher.onHold(nextLook(id).value(), { .base = reply(order_outcome::NoAnswer) }, now, now);
        openLooks.erase({ id });
    }

    const Jobs::task_name first { { "j" }, 0, 0, 0 };
    const Jobs::job_progress noted { .state = job_state::Running,
        .tasks = { { .occurrence = 0, .step = 0, .index = 0, .worker = { "w1" }, .run = 7 } } };
};

}

TEST_CASE("A start waits until the log has its placement", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    f.isStored = false;
    CHECK(f.plan().starts.empty());
    const auto note = f.dispatcher.takeCommit();
    REQUIRE(note.progress.size() == 1);
    REQUIRE(note.progress[0].tasks.size() == 1);
    CHECK(note.progress[0].tasks[0].worker.value == "w1");

    SECTION("however long that takes")
    {
        f.now += std::chrono::seconds(20);
        CHECK(f.plan().starts.empty());
        f.dispatcher.onCommitted(note, f.now);
        const auto starts = f.plan().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run.value == note.progress[0].tasks[0].run);
    }
    SECTION("and isn't sent when the job was cancelled meanwhile")
    {
        f.dispatcher.cancelJob({ "j" });
        f.dispatcher.onCommitted(note, f.now);
        const auto orders = f.plan();
        CHECK(orders.starts.empty());
        CHECK(orders.stops.empty());
        CHECK(f.dispatcher.workers().at({ "w1" }).runs.empty());
    }
    SECTION("and goes elsewhere when the worker is about to leave")
    {
        f.join(f.worker("w2"));
        f.dispatcher.setCordoned({ "w1" }, true);
        f.dispatcher.onCommitted(note, f.now);
        f.isStored = true;
        f.plan();
        const auto starts = f.plan().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].worker.id.value == "w2");
    }
}

TEST_CASE("A gang whose placement can't be carried out whole isn't started in part", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1", 1));
    f.join(f.worker("w2", 1));
    auto gang = f.step(2);
    gang.isGang = true;
    f.add(f.job("j", { gang }));
    f.isStored = false;
    f.plan();
    const auto note = f.dispatcher.takeCommit();
    const std::string closed = GENERATE("w1", "w2");
    f.dispatcher.setCordoned({ closed }, true);
    f.dispatcher.onCommitted(note, f.now);
    CHECK(f.plan().starts.empty());
    CHECK(f.dispatcher.workers().at({ "w1" }).runs.empty());
    CHECK(f.dispatcher.workers().at({ "w2" }).runs.empty());
}

TEST_CASE("While the store doesn't answer, only jobs that the next holder takes for begun go on", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("begun", { f.step(1), f.step(1, 1000, { 0 }) }));
    const auto first = f.plan().starts.at(0);
    f.accept(first);
    f.add(f.job("new", { f.step(1) }));
    f.isStored = false;
    f.isConfirmed = false;
    f.standing.isInDoubt = true;
    f.look(f.nextLook().value(), {}, { f.ended(first, end_kind::Done) });
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.job.value == "begun");
    CHECK_FALSE(f.dispatcher.isFullyNoted(f.now));

    f.isConfirmed = true;
    f.standing.isInDoubt = false;
    f.isStored = true;
    CHECK(f.plan().starts.size() == 1);
    f.dispatcher.onCommitted(f.dispatcher.takeCommit(), f.now);
    CHECK(f.dispatcher.isFullyNoted(f.now));
}

TEST_CASE("What is lost with a worker while another holder may be there isn't started again before that is settled",
    "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.add(f.job("j", { f.step(1) }));
    f.accept(f.plan().starts.at(0));
    f.isConfirmed = false;
    f.standing.isInDoubt = true;
    f.now = f.standing.confirmedUntil + std::chrono::seconds(1);
    // The next holder may have noted the task's end before the worker began its new life.
    f.bornAt = { 2000 };
    auto reborn = f.worker("w1");
    reborn.bornAt = f.bornAt;
    f.dispatcher.workerListed(reborn, f.now, f.now);
    f.openLooks.clear();
    f.look(f.nextLook().value());
    CHECK(f.plan().starts.empty());
    f.isConfirmed = true;
    f.standing.isInDoubt = false;
    CHECK(f.plan().starts.size() == 1);
}

TEST_CASE("A new holder starts at once what no holder has begun", "[dispatch]")
{
    takeover_story f;
    f.keepSilent("w1");
    f.add(f.job("k", { f.step(1) }));
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.job.value == "k");
}

TEST_CASE("A placement that an earlier holder noted counts until its worker has told", "[dispatch]")
{
    takeover_story f;
    CHECK(f.dispatcher.workers().at({ "w1" }).runs.contains(f.first));

    SECTION("a silent worker may run it until its lease is over")
    {
        f.keepSilent("w1");
        f.now += std::chrono::seconds(9);
        CHECK(f.plan().starts.empty());
        f.now += std::chrono::seconds(1);
        f.keepSilent("w1");
        CHECK(f.plan().starts.size() == 2);
    }
    SECTION("what runs there is taken over")
    {
        f.look(f.nextLook("w1").value(), { { .task = f.first, .run = { 7 }, .percent = { 50 } } });
        const auto starts = f.plan().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].task.index == 1);
    }
    SECTION("what has ended there is done")
    {
        f.look(f.nextLook("w1").value(), {}, { { .number = { 1 }, .task = f.first, .run = { 7 }, .kind = end_kind::Done } });
        const auto starts = f.plan().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].task.index == 1);
    }
    SECTION("what isn't there is started")
    {
        f.look(f.nextLook("w1").value());
        CHECK(f.plan().starts.size() == 2);
    }
    SECTION("a newer run elsewhere is the one that counts")
    {
        dispatcher_fixture g(20, 1000);
        g.dispatcher.workerListed(g.worker("w1"), g.now, g.now);
        g.dispatcher.workerListed(g.worker("w2"), g.now, g.now);
        g.add(g.job("j", { g.step(1) }), f.noted);
        g.look(g.nextLook("w2").value(), { { .task = f.first, .run = { 8 }, .percent = { 50 } } });
        CHECK(g.plan().stops.empty());
        CHECK(g.dispatcher.workers().at({ "w2" }).runs.contains(f.first));
        CHECK_FALSE(g.dispatcher.workers().at({ "w1" }).runs.contains(f.first));
    }
}

TEST_CASE("A noted placement on a worker that registers later isn't forgotten", "[dispatch]")
{
    dispatcher_fixture f(20, 1000);
    const takeover_story story;
    f.add(f.job("j", { f.step(1) }), story.noted);
    f.join(f.worker("w2"));
    f.dispatcher.workerListed(f.worker("w1"), f.now, f.now);
    CHECK(f.plan().starts.empty());
    f.look(f.nextLook("w1").value());
    CHECK(f.plan().starts.size() == 1);
}

TEST_CASE("When the log has all placements, begun jobs don't wait for silent workers either", "[dispatch]")
{
    takeover_story f;
    f.keepSilent("w1");
    CHECK(f.plan().starts.empty());
    CHECK_FALSE(f.dispatcher.isFullyNoted(f.now));
    f.dispatcher.trustNotes();
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.index == 1);
    CHECK(f.dispatcher.isFullyNoted(f.now));
}

TEST_CASE("A placement that isn't sent yet doesn't lapse", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(f.worker("w1"));
    f.now += std::chrono::seconds(20);
    f.add(f.job("j", { f.step(1) }));
    f.isStored = false;
    f.plan();
    const auto note = f.dispatcher.takeCommit();
    f.plan();
    f.dispatcher.onCommitted(note, f.now);
    CHECK(f.plan().starts.size() == 1);
}
