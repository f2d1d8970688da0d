#include "Bench/PolicyBench.h"

#include "Bench/PolicySimulation.h"

#include <iomanip>
#include <iostream>

namespace Bench {

namespace {

    void printRow(const char* deployment, const char* policy, const policy_result& result)
    {
        std::cout << std::left << std::setw(14) << deployment << std::setw(12) << policy << std::right << std::fixed
                  << std::setprecision(2) << std::setw(12) << result.worstShareError << std::setw(12)
                  << result.meanShareError << std::setw(12) << result.answeredInTime << std::setw(12) << result.outageThroughput
                  << std::setw(12) << result.p99WaitMillis << std::setw(12) << result.limitViolations << '\n';
    }

    /// Six client accounts, a few of them large. Upper limits are above the shares.
    std::vector<bench_team> teamsOf(int poolSlots)
    {
        std::vector<bench_team> teams;
        for (const int share : { 3000, 2500, 1800, 1200, 900, 600 }) {
            const std::string name = "team" + std::to_string(teams.size());
            teams.push_back({ .name = name, .share = share, .upperLimit = poolSlots * share * 2 / 10'000 + 4 });
        }
        return teams;
    }

    void comparePolicies(const char* deployment, const policy_options& options)
    {
        printRow(deployment, "ledger", runLedgerPolicy(options));
        printRow(deployment, "even split", runEvenSplit(options));
    }

}

void runPolicyBench(std::uint64_t seed)
{
    std::cout << "seed " << seed << ", rotating demand, 5 pools, 300 s; a data centre out from 70 s to 110 s\n"
              << std::left << std::setw(14) << "deployment" << std::setw(12) << "policy" << std::right << std::setw(12)
              << "share err%" << std::setw(12) << "mean err%" << std::setw(12) << "in time%" << std::setw(12)
              << "out work%" << std::setw(12) << "p99 wait ms" << std::setw(12) << "over limit" << '\n';
    policy_options options { .seed = seed };
    options.outageStart = Common::millis(70'000);
    options.outageEnd = Common::millis(110'000);
    options.teams = teamsOf(options.workersPerPool * options.slots);
    comparePolicies("chicote", options);
    options.meanRun = Common::millis(1500);
    options.deadline = Common::millis(20'000);
    options.instances = 6;
    comparePolicies("tsagaan", options);
}

}
