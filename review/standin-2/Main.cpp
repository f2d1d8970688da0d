#include "Case.h"

#include <csignal>
#include <cstring>
#include <iostream>

namespace Standin {

int runCase(const arguments& given)
{
    struct test_case {
        int instances;
        std::vector<std::string> services;
        verdict (*run)(deployment&, bool);
    };
    const std::vector<std::string> eight(8, "kitting");
    const std::map<std::string, test_case> cases {
        { "two-partitions",
            { 3, { "kitting", "kitting", "kitting", "routing", "cutting", "routing", "routing", "routing" }, runTwoPartitions } },
        { "worker-crashes", { 3, eight, runWorkerCrashes } },
        { "gang-checkpoint", { 2, eight, runGangCheckpoint } },
        { "late-start", { 3, eight, runLateStart } },
        { "same-id", { 2, eight, runSameId } },
    };
    const auto& chosen = cases.at(given.at("case"));
    // A port that was free may have been taken by another program.
    constexpr int attempts = 3;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        deployment loft(given, chosen.instances, chosen.services);
        if (loft.start())
            return static_cast<int>(chosen.run(loft, given.at("trouble") != "0"));
        loft.say("the deployment doesn't start");
    }
    return static_cast<int>(verdict::NotRun);
}

}

int main(int count, char** words)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (count < 2)
        return 2;
    Standin::arguments given { { "self", words[0] } };
    for (int index = 2; index < count; ++index) {
        const char* equals = std::strchr(words[index], '=');
        if (equals)
            given[std::string(static_cast<const char*>(words[index]), equals)] = equals + 1;
    }
    try {
        if (std::strcmp(words[1], "platform") == 0)
            return Standin::runPlatform(given);
        if (std::strcmp(words[1], "worker") == 0)
            return Standin::runWorker(given);
        return Standin::runCase(given);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
