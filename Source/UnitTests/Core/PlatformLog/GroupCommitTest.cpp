#include "PlatformLog/GroupCommit.h"

#include <catch2/catch.hpp>

namespace {

Fleet::command commandOf(const std::string& id)
{
    return { .id = { id }, .body = Fleet::renew_member {} };
}

Common::instant at(int millis)
{
    return Common::instant(Common::millis(millis));
}

}

TEST_CASE("Commands reach the log in groups, and none is lost or sent blindly twice")
{
    PlatformLog::group_commit commit;
    commit.add(commandOf("a"));
    commit.add(commandOf("b"));
    REQUIRE(commit.take().size() == 2);

    SECTION("while one record is under way, later commands wait for the next")
    {
        commit.add(commandOf("c"));
        CHECK(commit.take().empty());
        commit.onTaken();
        CHECK(commit.take().size() == 1);
    }
    SECTION("what wasn't taken is offered again, together with what came since")
    {
        commit.onNotTaken();
        commit.add(commandOf("c"));
        CHECK(commit.take().size() == 3);
    }
    SECTION("after a lost answer nothing is sent until the log was read to its end")
    {
        commit.onMaybeTaken(at(100));
        CHECK(commit.take().empty());
        CHECK_FALSE(commit.withdraw({ "a" }));

        SECTION("a read that began before proves nothing")
        {
            commit.onEndOfLog(at(50), [](const Fleet::command&) { return false; });
            CHECK(commit.take().empty());
        }
        SECTION("what the log has isn't sent again")
        {
            commit.onEndOfLog(at(150), [](const Fleet::command& sent) { return sent.id.value == "a"; });
            const auto again = commit.take();
            REQUIRE(again.size() == 1);
            CHECK(again[0].id.value == "b");
        }
    }
    SECTION("a command that never was part of an append can be withdrawn for certain")
    {
        commit.onNotTaken();
        CHECK(commit.withdraw({ "a" }));
        CHECK(commit.take().size() == 1);
    }
    SECTION("the queue is bounded")
    {
        std::size_t taken = 2;
        while (commit.add(commandOf("x")))
            ++taken;
        CHECK(taken == PlatformLog::group_commit::maxWaiting);
    }
}
