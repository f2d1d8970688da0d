#include "Common/Logging.h"
#include "Node/Daemon.h"
#include "Settings/Settings.h"
#include "platform/NodeSettings.h"
#include "platform/PlatformNode.h"

#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <sstream>

// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(settings, "", "settings file in TOML; docs/SETTINGS.md lists the keys");
DEFINE_bool(platform, false, "run on the users' platform, with the settings file that it provides");
DEFINE_bool(check, false, "check the settings, report every error, and exit");
// NOLINTEND(readability-identifier-naming)

namespace {

enum class exit_code {
    Clean = 0,
    NotClean = 1,
    BadSettings = 2,
    AddressInUse = 3
};

int toStatus(exit_code code)
{
    return static_cast<int>(code);
}

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

void printFaults(const std::string& path, const std::vector<Settings::settings_fault>& faults)
{
    for (const auto& fault : faults) {
        std::cerr << path << ':' << fault.line << ": " << Settings::toText(fault.kind) << ' ' << fault.key
                  << ": expected " << fault.expected << '\n';
    }
}

/// Blocks until one of the signals arrives.
void waitForSignal(const sigset_t& signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

int runOnPlatform()
{
    const auto result = Platform::loadNodeSettings();
    if (!result.settings) {
        std::cerr << "loftd: " << Platform::toText(result.error) << ": " << result.subject << '\n';
        return toStatus(exit_code::BadSettings);
    }
    if (FLAGS_check) {
        std::cout << "settings are in order\n";
        return toStatus(exit_code::Clean);
    }
    std::signal(SIGPIPE, SIG_IGN);
    Common::startLogging(Common::log_level::Info, result.settings->node, Common::log_output::StandardOutput);
    Common::writeEvent(Common::log_level::Info, Common::log_category::Daemon, "started", {});
    if (Platform::runNode(*result.settings))
        return toStatus(exit_code::Clean);
    Common::writeEvent(Common::log_level::Error, Common::log_category::Daemon, "address_not_bound", {});
    return toStatus(exit_code::AddressInUse);
}

int run(const Settings::daemon_settings& settings)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Blocked before any thread starts, so that all threads inherit the mask and only sigwait() receives the signals.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    Common::startLogging(settings.logLevel, settings.instance);
    Node::entry_daemon daemon(settings);
    if (!daemon.start()) {
        Common::writeLog(Common::log_level::Error, Common::log_category::Daemon, "an address can't be bound");
        return toStatus(exit_code::AddressInUse);
    }
    Common::writeLog(Common::log_level::Info, Common::log_category::Daemon, "started");
    waitForSignal(signals);
    Common::writeLog(Common::log_level::Info, Common::log_category::Daemon, "stopping");
    return toStatus(daemon.stop() ? exit_code::Clean : exit_code::NotClean);
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("loftd --settings=FILE [--check]\n"
                            "loftd --platform [--check]\n"
                            "Exit codes: 0 clean stop, 1 stopped with work running, 2 bad settings, 3 address in use.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0)
        return toStatus(exit_code::NotClean);
    if (FLAGS_platform)
        return runOnPlatform();
    const auto text = readFile(FLAGS_settings);
    if (!text) {
        std::cerr << "loftd: can't read the settings file '" << FLAGS_settings << "'\n";
        return toStatus(exit_code::BadSettings);
    }
    std::vector<Settings::settings_fault> faults;
    const auto settings = Settings::parseSettings(*text, faults);
    if (!settings) {
        printFaults(FLAGS_settings, faults);
        return toStatus(exit_code::BadSettings);
    }
    if (FLAGS_check) {
        std::cout << "settings are in order\n";
        return toStatus(exit_code::Clean);
    }
    return run(*settings);
}
