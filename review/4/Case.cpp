#include "../standin/World.h"

/// A tenant hands in one large job, while another tenant's small jobs go on.
int main(int argc, char** argv)
{
    using namespace Review;
    deployment all(argc > 1 ? argv[1] : "record.txt");
    all.addWorkers(4);
    all.configure();
    if (!all.startDaemons())
        leave(all, 2, "the daemons weren't ready");
    std::mutex mutex;
    std::map<std::string, std::int64_t> firstStart;
    int startsOfLarge = 0;
    const std::string large = "00000000000000aa";
    for (const auto& entry : all.shared.workers) {
        entry->onStarted = [&](worker& on, const std::string& task, const worker::run& begun) {
            const std::lock_guard lock(mutex);
            const auto job = task.substr(0, 16);
            firstStart.emplace(job, nowMs());
            startsOfLarge += job == large ? 1 : 0;
            // The starts and ends of the large job, tens of thousands, are only counted.
            if (job != large)
                all.shared.log.add(on.id() + " starts " + task + " run " + std::to_string(begun.number));
        };
        entry->onEnded = [&](worker& on, const worker::end& ended) {
            if (!ended.task.starts_with(large))
                all.shared.log.add(on.id() + " ends " + ended.task + " run " + std::to_string(ended.run) + ": " + ended.how);
        };
    }
    int number = 0;
    const json smallSteps = json::array({ { { "count", 4 }, { "cpu", 500 }, { "memMb", 256 }, { "estimatedMs", 500 } } });
    std::map<std::string, std::int64_t> accepted;
    const auto submitSmall = [&] {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0xb000 + ++number);
        if (all.submit(std::string("/two/") + id, "key-b", smallSteps, { { .count = 4, .cpu = 500, .memMb = 256 } }))
            accepted[id] = nowMs();
        return std::string(id);
    };
    const auto before = submitSmall();
    if (!deployment::waitFor(10000, [&] { return all.stateOf("/two/" + before, "key-b", 0, false) == "completed"; }))
        leave(all, 2, "a small job wasn't done before the large one");
    all.shared.log.add("job " + before + " is completed");
    if (hasTrouble()) {
        json steps = json::array();
        for (int step = 0; step < 3; ++step)
            steps.push_back({ { "count", 4000 }, { "cpu", 10 }, { "memMb", 1 }, { "estimatedMs", 300000 },
                { "checkpointing", true }, { "antiAffinity", 1000 } });
        const std::vector<step_facts> facts(
            3, { .count = 4000, .cpu = 10, .memMb = 1, .workMs = 300000, .savesCheckpoints = true });
        if (!all.submit("/one/" + large, "key-a", steps, facts))
            leave(all, 2, "the large job wasn't accepted");
    }
    const auto began = nowMs();
    while (nowMs() - began < 40000) {
        submitSmall();
        for (int second = 0; second < 5; ++second) {
            std::this_thread::sleep_for(std::chrono::seconds(1));
            const std::lock_guard lock(mutex);
            all.shared.log.add("starts of the large job: " + std::to_string(startsOfLarge)
                + ", appends refused as too long: " + std::to_string(all.shared.platform.tooLong()));
        }
    }
    // The traffic is over. After finish_s (14 s) and 3 s more, each accepted job must have begun or be over.
    std::this_thread::sleep_for(std::chrono::milliseconds(17500));
    int lost = 0;
    for (const auto& [id, at] : accepted) {
        const auto state = all.stateOf("/two/" + id, "key-b");
        const std::lock_guard lock(mutex);
        const bool hasBegun = firstStart.contains(id);
        all.shared.log.add("job " + id + " of tenant-b, accepted: " + state + (hasBegun ? ", has begun" : ", no task ever started"));
        lost += hasBegun ? 0 : 1;
    }
    if (lost > 0)
        leave(all, 1, std::to_string(lost) + " of " + std::to_string(accepted.size()) + " accepted jobs of tenant-b never began");
    leave(all, 0, "all " + std::to_string(accepted.size()) + " accepted jobs of tenant-b began");
}
