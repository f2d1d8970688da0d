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

TEST_CASE("Commands are appended in batches, and none is lost or repeated unchecked")
{
    PlatformLog::group_commit commit;
    commit.add(commandOf("a"));
    commit.add(commandOf("b"));
    REQUIRE(commit.takeBatch().size() == 2);

    SECTION("while an append is in progress, later commands wait for the next one")
    {
        commit.add(commandOf("c"));
        CHECK(commit.takeBatch().empty());
        commit.onAppended();
        CHECK(commit.takeBatch().size() == 1);
    }
    SECTION("commands that weren't appended are offered again, together with later ones")
    {
        commit.onNotAppended();
        commit.add(commandOf("c"));
        CHECK(commit.takeBatch().size() == 3);
    }
    SECTION("after a lost answer nothing is appended until the log was read to its end")
    {
        commit.onMaybeAppended(at(100));
        CHECK(commit.takeBatch().empty());
        CHECK_FALSE(commit.withdraw({ "a" }));

        SECTION("a read that began before the answer was lost doesn't count")
        {
            commit.onEndOfLog(at(50), [](const Fleet::command&) { return false; });
            CHECK(commit.takeBatch().empty());
        }
        SECTION("commands that were applied aren't appended again")
        {
            commit.onEndOfLog(at(150), [](const Fleet::command& sent) { return sent.id.value == "a"; });
            const auto again = commit.takeBatch();
            REQUIRE(again.size() == 1);
            CHECK(again[0].id.value == "b");
        }
    }
    SECTION("a command that certainly wasn't appended can be withdrawn")
    {
        commit.onNotAppended();
        CHECK(commit.withdraw({ "a" }));
        CHECK(commit.takeBatch().size() == 1);
    }
    SECTION("the queue is bounded")
    {
        std::size_t added = 2;
        while (commit.add(commandOf("x")))
            ++added;
        CHECK(added == PlatformLog::group_commit::maxWaiting);
    }
}
