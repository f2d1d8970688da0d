#include "Pool/WorkerBoard.h"

#include <catch2/catch.hpp>

namespace {

const Common::instant start = Common::instant(std::chrono::hours(1));
const Requests::resources oneCore { .cores = { 1 } };

Pool::worker_facts factsOf(const std::string& name, bool open = true)
{
    return { .instance = { name }, .capacity = { .cores = { 16 }, .memory = { 1000 } }, .slots = { 2 }, .open = open };
}

void reportAll(Pool::worker_board& board, const std::vector<std::string>& names)
{
    for (const auto& name : names)
        board.onReport({ name }, { .cores = { 0 } }, {}, false);
}

}

TEST_CASE("Tasks go to workers that have room")
{
    Pool::worker_board board;
    board.setWorkers({ factsOf("w1"), factsOf("w2"), factsOf("w3") });

    SECTION("a worker that hasn't reported yet gets nothing")
    {
        CHECK_FALSE(board.choose(oneCore, true, {}, start));
    }
    reportAll(board, { "w1", "w2", "w3" });

    SECTION("slots are never passed, with the tasks of others counted")
    {
        board.onReport({ "w1" }, { .cores = { 1 } }, { 1 }, false);
        int placed = 0;
        while (const auto worker = board.choose(oneCore, true, {}, start)) {
            board.occupy(*worker, oneCore);
            ++placed;
        }
        CHECK(placed == 5);
    }
    SECTION("memory is respected")
    {
        const Requests::resources large { .cores = { 1 }, .memory = { 600 } };
        for (int count = 0; count < 3; ++count)
            board.occupy(*board.choose(large, true, {}, start), large);
        CHECK_FALSE(board.choose(large, true, {}, start));
        CHECK_FALSE(board.everFits({ .cores = { 17 } }));
    }
    SECTION("a leaving, silent or closed worker gets nothing")
    {
        board.onReport({ "w1" }, { .cores = { 0 } }, {}, true);
        board.onSilent({ "w2" });
        board.setWorkers({ factsOf("w1"), factsOf("w2"), factsOf("w3", false) });
        CHECK_FALSE(board.choose(oneCore, true, {}, start));
    }
    SECTION("a worker that fails different jobs is ejected, and probed with idempotent work only")
    {
        for (const char* job : { "a", "b", "c", "d" })
            board.onResult({ "w1" }, job, true, start);
        REQUIRE(board.isEjected({ "w1" }));
        CHECK_FALSE(board.choose(oneCore, true, { { "w2" }, { "w3" } }, start));
        const auto later = start + std::chrono::seconds(5);
        CHECK_FALSE(board.choose(oneCore, false, { { "w2" }, { "w3" } }, later));
        CHECK(board.choose(oneCore, true, { { "w2" }, { "w3" } }, later));
        board.onResult({ "w1" }, "probe", false, later);
        CHECK_FALSE(board.isEjected({ "w1" }));
    }
    SECTION("one bad job ejects nobody, and a bad wave only a part of the pool")
    {
        for (int count = 0; count < 8; ++count)
            board.onResult({ "w2" }, "same", true, start);
        CHECK_FALSE(board.isEjected({ "w2" }));
        for (const char* worker : { "w1", "w2", "w3" }) {
            for (const char* job : { "a", "b", "c", "d", "e", "f", "g", "h" })
                board.onResult({ worker }, job, true, start);
        }
        const int ejected = board.isEjected({ "w1" }) + board.isEjected({ "w2" }) + board.isEjected({ "w3" });
        CHECK(ejected == 1);
    }
}
