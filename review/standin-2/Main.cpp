#include "Case.h"

#include <csignal>
#include <cstring>
#include <iostream>

namespace Standin {

int runCase(const arguments& given)
{
    const auto& name = given.at("case");
    const bool hasTrouble = given.at("trouble") != "0";
    if (name == "two-partitions") {
        deployment loft(given, 3, { "kitting", "kitting", "kitting", "routing", "cutting", "routing", "routing", "routing" });
        return static_cast<int>(loft.start() ? runTwoPartitions(loft, hasTrouble) : verdict::NotRun);
    }
    if (name == "worker-crashes") {
        deployment loft(given, 3, std::vector<std::string>(8, "kitting"));
        return static_cast<int>(loft.start() ? runWorkerCrashes(loft, hasTrouble) : verdict::NotRun);
    }
    if (name == "gang-checkpoint") {
        deployment loft(given, 2, std::vector<std::string>(8, "kitting"));
        return static_cast<int>(loft.start() ? runGangCheckpoint(loft, hasTrouble) : verdict::NotRun);
    }
    return 2;
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
