#include "../standin/World.h"

/// The store is down while a job goes on, and when it is back another daemon takes over. A worker that ended a task in that
/// time is cut off for some seconds.
int main(int argc, char** argv)
{
    using namespace Review;
    deployment all(argc > 1 ? argv[1] : "record.txt");
    all.addWorkers(6);
    all.configure();
    if (!all.startDaemons())
        leave(all, 2, "the daemons weren't ready");
    std::atomic<int> starts { 0 };
    std::atomic<int> done { 0 };
    for (const auto& entry : all.shared.workers) {
        entry->onStarted = [&](worker& on, const std::string& task, const worker::run& begun) {
            ++starts;
            all.shared.log.add(on.id() + " starts " + task + " run " + std::to_string(begun.number));
        };
        entry->onEnded = [&](worker& on, const worker::end& ended) {
            done += ended.how == "done" ? 1 : 0;
            all.shared.log.add(on.id() + " ends " + ended.task + " run " + std::to_string(ended.run) + ": " + ended.how);
        };
    }
    // Each worker has room for one task at a time, so half of the tasks start when the others are done.
    const std::string path = "/one/00000000000000c1";
    const json steps = json::array({ { { "count", 12 }, { "cpu", 60000 }, { "memMb", 1024 }, { "estimatedMs", 600 } } });
    if (!all.submit(path, "key-a", steps, { { .count = 12, .cpu = 60000, .memMb = 1024, .workMs = 600 } }))
        leave(all, 2, "the job wasn't accepted");
    if (!deployment::waitFor(5000, [&] { return starts >= 6; }))
        leave(all, 2, "the first tasks weren't started");
    std::this_thread::sleep_for(std::chrono::milliseconds(120));
    if (hasTrouble())
        all.shared.platform.setDown(true);
    const auto began = nowMs();
    std::this_thread::sleep_for(std::chrono::milliseconds(3600));
    if (hasTrouble())
        all.shared.workers.front()->setCut(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, began + 4500 - nowMs())));
    if (hasTrouble())
        all.shared.platform.setDown(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, began + 8200 - nowMs())));
    if (hasTrouble())
        all.shared.workers.front()->setCut(false);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    all.stateOf(path, "key-a");
    const std::lock_guard lock(all.shared.mutex);
    leave(all, all.shared.startedTwice > 0 ? 1 : 0,
        std::to_string(all.shared.startedTwice) + " tasks were run again after a run that had ended done");
}
