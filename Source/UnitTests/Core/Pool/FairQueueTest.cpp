#include "Pool/FairQueue.h"

#include <catch2/catch.hpp>

using Pool::start_attempt;

namespace {

Common::instant at(int millis)
{
    return Common::instant(Common::millis(millis));
}

Requests::work_identity work(const std::string& team, int number)
{
    return { { "q" }, { team }, { std::to_string(number) } };
}

/// Starts up to `slots` requests at the same charge; returns how many of them are of `team`.
int startSome(Pool::fair_queue& queue, int slots, const std::string& team)
{
    int ofTeam = 0;
    queue.startAll([&](const Requests::work_identity& identity) {
        if (slots-- <= 0)
            return start_attempt::NoRoom;
        queue.charge(identity.team, 100);
        ofTeam += identity.team.value == team ? 1 : 0;
        return start_attempt::Started;
    });
    return ofTeam;
}

}

TEST_CASE("When a pool is full, teams get capacity in proportion to their shares")
{
    Pool::fair_queue queue;
    queue.setShare({ "big" }, { 3000 });
    queue.setShare({ "small" }, { 1000 });

    SECTION("whatever number of requests each team has waiting")
    {
        for (int number = 0; number < 400; ++number) {
            queue.add(work("big", number), at(number));
            queue.add(work("small", number), at(number));
        }
        CHECK(startSome(queue, 100, "big") == 75);
    }
    SECTION("a single team gets the whole pool")
    {
        for (int number = 0; number < 50; ++number)
            queue.add(work("small", number), at(number));
        CHECK(startSome(queue, 40, "small") == 40);
    }
    SECTION("a team gets no credit for idle time")
    {
        for (int number = 0; number < 200; ++number)
            queue.add(work("big", number), at(number));
        startSome(queue, 100, "big");
        for (int number = 0; number < 200; ++number)
            queue.add(work("small", number), at(number));
        CHECK(startSome(queue, 40, "small") <= 11);
    }
    SECTION("within a team the earliest deadline goes first")
    {
        queue.add(work("big", 1), at(500));
        queue.add(work("big", 2), at(100));
        std::vector<Requests::work_identity> order;
        queue.startAll([&](const Requests::work_identity& identity) {
            order.push_back(identity);
            return start_attempt::Started;
        });
        CHECK(order == std::vector { work("big", 2), work("big", 1) });
    }
    SECTION("a request without room doesn't block the next one of its team")
    {
        queue.add(work("big", 1), at(100));
        queue.add(work("big", 2), at(500));
        int started = 0;
        queue.startAll([&](const Requests::work_identity& identity) {
            if (identity == work("big", 1))
                return start_attempt::NoRoom;
            ++started;
            return start_attempt::Started;
        });
        CHECK(started == 1);
        CHECK(queue.waitingTotal() == 1);
    }
    SECTION("a team without permits doesn't block the others")
    {
        queue.add(work("big", 1), at(100));
        queue.add(work("small", 1), at(500));
        queue.startAll([&](const Requests::work_identity& identity) {
            return identity.team.value == "big" ? start_attempt::NoPermit : start_attempt::Started;
        });
        CHECK(queue.waiting({ "big" }) == 1);
        CHECK(queue.waiting({ "small" }) == 0);
    }
    SECTION("overdue requests are found")
    {
        queue.add(work("big", 1), at(100));
        queue.add(work("big", 2), at(200));
        CHECK(queue.overdue(at(100)).size() == 1);
    }
}
