#include "EventLoop/RequestBudget.h"

#include <catch2/catch.hpp>
#include <limits>

using EventLoop::closing_reason;
using EventLoop::connection_number;
using EventLoop::request_budget;

namespace {

constexpr Common::instant start { std::chrono::hours(1) };

Common::instant at(int milliseconds) { return start + Common::millis(milliseconds); }

void receive(request_budget& budget, connection_number number, std::size_t bytes, int since)
{
    REQUIRE(budget.admit(number, at(since)).isAdmitted);
    budget.beginRequest(number, at(since));
    REQUIRE(budget.hold(number, bytes, at(since)).empty());
}

}

TEST_CASE("Callers with large requests that never end don't take the memory of others", "[untrusted]")
{
    const connection_number small { 1 };
    const connection_number large { 2 };
    const connection_number growing { 3 };
    request_budget budget({ .connections = 10, .heldBytes = 1000 });
    receive(budget, small, 100, 0);
    receive(budget, large, 600, 5);
    receive(budget, growing, 200, 10);

    SECTION("the request that holds most is closed when another grows over the limit")
    {
        const auto orders = budget.hold(growing, 400, at(50));
        REQUIRE(orders.size() == 1);
        CHECK(orders.front().connection == large);
        CHECK(orders.front().reason == closing_reason::HeldBytes);
        CHECK(orders.front().bytes == 600);
        CHECK(orders.front().age == Common::millis(45));
        CHECK(budget.heldBytes() == 500);
        CHECK(budget.connections() == 2);
    }
    SECTION("a complete request isn't ended, and the next largest one gives way")
    {
        budget.beginAnswer(large);
        const auto orders = budget.hold(growing, 400, at(50));
        REQUIRE(orders.size() == 1);
        CHECK(orders.front().connection == growing);
        CHECK(budget.heldBytes() == 700);
    }
    SECTION("among requests of the same size the oldest is closed")
    {
        CHECK(budget.hold(growing, 300, at(20)).empty());
        budget.beginAnswer(large);
        receive(budget, connection_number { 4 }, 0, 30);
        CHECK(budget.hold(small, 300, at(40)).front().connection == small);
    }
    SECTION("an answered request holds nothing")
    {
        budget.beginAnswer(large);
        budget.endAnswer(large, at(20));
        CHECK(budget.heldBytes() == 300);
        CHECK(budget.hold(growing, 900, at(50)).empty());
    }
    SECTION("a closed connection holds nothing, and later orders about it have no effect")
    {
        budget.release(large);
        budget.release(large);
        budget.endAnswer(large, at(20));
        CHECK(budget.heldBytes() == 300);
    }
}

TEST_CASE("Callers that keep connections open don't keep others out", "[untrusted]")
{
    const connection_number idle { 1 };
    const connection_number unused { 2 };
    const connection_number stalled { 3 };
    const connection_number next { 4 };
    request_budget budget({ .connections = 3, .heldBytes = 1000 });
    receive(budget, idle, 10, 0);
    budget.beginAnswer(idle);
    budget.endAnswer(idle, at(1));
    REQUIRE(budget.admit(unused, at(10)).isAdmitted);
    receive(budget, stalled, 10, 20);

    SECTION("the connection that has been incomplete longest gives way first, an idle one last")
    {
        CHECK(budget.admit(next, at(30)).replaced->connection == unused);
        CHECK(budget.admit(connection_number { 5 }, at(40)).replaced->connection == stalled);
        budget.beginAnswer(next);
        budget.beginAnswer(connection_number { 5 });
        CHECK(budget.admit(connection_number { 6 }, at(50)).replaced->connection == idle);
        CHECK(budget.connections() == 3);
    }
    SECTION("a new connection isn't admitted while all requests are complete and wait for their answers")
    {
        for (const auto number : { idle, unused, stalled })
            budget.beginAnswer(number);
        const auto decision = budget.admit(next, at(30));
        CHECK_FALSE(decision.isAdmitted);
        CHECK_FALSE(decision.replaced);
    }
}

TEST_CASE("The budget follows from the memory and descriptors of the process", "[untrusted]")
{
    constexpr std::size_t megabyte = 1U << 20U;
    CHECK(EventLoop::budgetFor(std::nullopt, std::nullopt).heldBytes == 32 * megabyte);
    CHECK(EventLoop::budgetFor(std::nullopt, std::nullopt).connections == 3000);
    CHECK(EventLoop::budgetFor(160, 4100).heldBytes == 20 * megabyte);
    CHECK(EventLoop::budgetFor(512, 8192).connections == 3000);
    CHECK(EventLoop::budgetFor(1, 1).heldBytes == megabyte);
    CHECK(EventLoop::budgetFor(1, 1).connections == 1);
    CHECK(EventLoop::budgetFor(64, 256).connections == 192);
    CHECK(EventLoop::budgetFor(std::numeric_limits<std::size_t>::max(), 256).heldBytes == (1U << 17U) * megabyte);
}
