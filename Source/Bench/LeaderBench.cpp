#include "Bench/LeaderBench.h"

#include "Bench/LeaderLoad.h"

#include <iomanip>
#include <iostream>

namespace Bench {

namespace {

    constexpr Common::millis simulatedTime { 5000 };
    /// A measurement ends after this much processor time of the leader.
    constexpr Common::millis mostProcessorTime { 10000 };
    constexpr int backlogPerWorker = 4;
    constexpr std::array<const char*, leaderParts> partNames { "upkeep", "stops", "order", "place", "send", "polls",
        "paces", "replies", "commits", "jobs", "sizer" };

    void printHead()
    {
        std::cout << std::setw(7) << "workers" << std::setw(8) << "backlog" << std::setw(8) << "virt s" << std::setw(8)
                  << "passes" << std::setw(9) << "starts/s" << std::setw(11) << "us/pass" << std::setw(10) << "exam/pass"
                  << std::setw(10) << "ms/s";
        for (const auto* name : partNames)
            std::cout << std::setw(9) << name;
        std::cout << "  checksum\n";
    }

    void printResult(const leader_load_options& options, const leader_load_result& result)
    {
        using millis = std::chrono::duration<double, std::milli>;
        const double seconds = std::chrono::duration<double>(result.simulated).count();
        std::cout << std::fixed << std::setprecision(1) << std::setw(7) << options.workers << std::setw(8)
                  << options.workers * options.backlogPerWorker << std::setw(8) << seconds << std::setw(8)
                  << result.passes << std::setw(9) << result.starts / seconds << std::setw(11)
                  << millis(result.totalTime()).count() * 1000 / result.passes << std::setw(10)
                  << result.workersExamined / result.passes << std::setw(10)
                  << millis(result.totalTime()).count() / seconds;
        for (const auto time : result.time)
            std::cout << std::setw(9) << millis(time).count() / seconds;
        std::cout << "  " << std::hex << result.checksum << std::dec << '\n';
    }

}

void runLeaderBench()
{
    std::cout << "Processor time of the leader's decisions; the parts in ms for each virtual second\n";
    printHead();
    for (const int backlog : { 0, backlogPerWorker }) {
        for (const int workers : { 50, 350, 1000, 5000 }) {
            const leader_load_options options { .workers = workers, .backlogPerWorker = backlog };
            leader_load load(options);
            printResult(options, load.run(simulatedTime, mostProcessorTime));
        }
    }
}

}
