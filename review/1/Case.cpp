#include "../standin/World.h"

/// The store is down for some seconds while workers run many short tasks of a job, so that each has more than 500 ends that
/// aren't acknowledged.
int main(int argc, char** argv)
{
    using namespace Review;
    deployment all(argc > 1 ? argv[1] : "record.txt");
    all.addWorkers(2);
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
    constexpr int tasks = 1600;
    const std::string path = "/one/00000000000000d1";
    const json steps = json::array({ { { "count", tasks }, { "cpu", 500 }, { "memMb", 256 }, { "estimatedMs", 300 } } });
    if (!all.submit(path, "key-a", steps, { { .count = tasks, .cpu = 500, .memMb = 256, .workMs = 300 } }))
        leave(all, 2, "the job wasn't accepted");
    if (!deployment::waitFor(5000, [&] { return starts >= 200; }))
        leave(all, 2, "the first tasks weren't started");
    const auto note = [&] {
        all.shared.log.add("starts: " + std::to_string(starts) + ", ends done: " + std::to_string(done) + " of "
            + std::to_string(tasks) + " tasks");
    };
    note();
    if (hasTrouble())
        all.shared.platform.setDown(true);
    for (int step = 0; step < 34; ++step) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        note();
    }
    if (hasTrouble())
        all.shared.platform.setDown(false);
    const bool isOver
        = deployment::waitFor(60000, [&] { return all.stateOf(path, "key-a", 0, false) == "completed"; });
    note();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    all.stateOf(path, "key-a");
    const std::lock_guard lock(all.shared.mutex);
    leave(all, all.shared.startedTwice > 0 ? 1 : 0,
        std::to_string(all.shared.startedTwice) + " tasks were started again after a run that had ended done; starts: "
            + std::to_string(starts) + " for " + std::to_string(tasks) + " tasks" + (isOver ? "" : "; the job isn't completed"));
}
