#include "Dispatch/Placement.h"
#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

TEST_CASE("Long-running tasks are packed on workers that already run some, so that others can leave the pool")
{
    Dispatch::worker_state serving(dispatcher_fixture::worker("w2", 16));
    Dispatch::worker_state busy(dispatcher_fixture::worker("w1", 8));
    const Dispatch::task_run longRunning { .request = { .processor = { 1000 } }, .isLongRunning = true };
    serving.addRun({ .job = { "a" } }, longRunning);
    busy.addRun({ .job = { "b" } }, { .request = { .processor = { 4000 } } });
    Dispatch::placement_index workers({ &busy, &serving });

    auto step = dispatcher_fixture::step(1);
    const Dispatch::placement_request request { .step = &step };
    CHECK(workers.choose(request) == &busy);
    step.isLongRunning = true;
    CHECK(workers.choose(request) == &serving);
}
