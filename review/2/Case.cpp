#include "../standin/World.h"

/// A worker without work crashes and is back under its id. A start reaches it before its new registration was read.
int main(int argc, char** argv)
{
    using namespace Review;
    deployment all(argc > 1 ? argv[1] : "record.txt");
    all.addWorkers(12);
    all.configure();
    if (!all.startDaemons())
        leave(all, 2, "the daemons weren't ready");
    for (const auto& entry : all.shared.workers) {
        entry->onStarted = [&](worker& on, const std::string& task, const worker::run& begun) {
            all.shared.log.add(on.id() + " starts " + task + " run " + std::to_string(begun.number));
        };
        entry->onEnded = [&](worker& on, const worker::end& ended) {
            all.shared.log.add(on.id() + " ends " + ended.task + " run " + std::to_string(ended.run) + ": " + ended.how);
        };
    }
    const json steps = json::array({ { { "count", 1 }, { "cpu", 500 }, { "memMb", 256 }, { "estimatedMs", 1500 } } });
    const std::vector<step_facts> facts { { .count = 1, .cpu = 500, .memMb = 256, .workMs = 1500 } };
    int number = 0;
    std::vector<std::string> paths;
    const auto submit = [&] {
        char path[32];
        std::snprintf(path, sizeof path, "/one/%016x", 0xd000 + ++number);
        if (all.submit(path, "key-a", steps, facts))
            paths.push_back(path);
    };
    submit();
    for (int round = 0; round < 3; ++round) {
        // No work for a while, as between two shifts.
        std::this_thread::sleep_for(std::chrono::milliseconds(14000));
        if (hasTrouble()) {
            const std::lock_guard lock(all.shared.mutex);
            all.shared.workers.front()->crash(400, true);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(430));
        for (int job = 0; job < 8; ++job) {
            submit();
            std::this_thread::sleep_for(std::chrono::milliseconds(40));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    }
    for (const auto& path : paths)
        all.stateOf(path, "key-a");
    const std::lock_guard lock(all.shared.mutex);
    const auto text = std::to_string(all.shared.startedTwice) + " starts of a task that was running on another worker";
    leave(all, all.shared.startedTwice > 0 ? 1 : 0, text);
}
