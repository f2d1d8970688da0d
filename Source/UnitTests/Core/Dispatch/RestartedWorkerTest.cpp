#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

/// A start that was sent to one incarnation of a worker may be carried out by the next one under the same id.
TEST_CASE("A task isn't started elsewhere while a restarted worker may begin it", "[dispatch]")
{
    dispatcher_fixture f;
    f.join(dispatcher_fixture::worker("w1"));
    f.add(dispatcher_fixture::job("j", { dispatcher_fixture::step(2) }));
    const auto starts = f.plan().starts;
    REQUIRE(starts.size() == 2);
    auto other = dispatcher_fixture::worker("w2");
    other.address.port = 2;
    const auto joinOther = [&f, &other] {
        const auto incarnation = std::exchange(f.incarnationStartedAt, Common::wall_millis { 1000 });
        f.join(other);
        f.incarnationStartedAt = incarnation;
    };
    SECTION("whose answer to another start shows that it has restarted")
    {
        f.incarnationStartedAt = { 2000 };
        f.accept(starts[0]);
    }
    SECTION("which shows that it has restarted after the start had no answer")
    {
        f.dispatcher.onStart(starts[0], dispatcher_fixture::reply(Dispatch::order_outcome::NoAnswer), f.now);
        f.incarnationStartedAt = { 2000 };
        f.accept(starts[1]);
    }
    SECTION("which has registered again")
    {
        auto restarted = dispatcher_fixture::worker("w1");
        restarted.incarnationStartedAt = { 2000 };
        f.incarnationStartedAt = { 2000 };
        f.dispatcher.workerRegistered(restarted, f.now, f.now);
    }
    joinOther();
    CHECK(f.plan().starts.empty());
    const auto& runs = f.dispatcher.workers().at({ "w1" }).runs;
    for (const auto& start : starts) {
        REQUIRE(runs.contains(start.task));
        CHECK(runs.at(start.task).phase == Dispatch::run_phase::Stopping);
    }
}
