#include "Standins/InstanceListStandin.h"
#include "Standins/LogStandin.h"
#include "Standins/WorkerStandin.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <memory>
#include <vector>

// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(kind, "", "log, list or workers");
DEFINE_string(host, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port to listen on; workers use consecutive ports from this one on");
DEFINE_int32(count, 1, "number of workers");
DEFINE_int32(cores, 16, "cores of each worker");
DEFINE_int32(memory_mb, 65536, "memory of each worker in megabytes");
DEFINE_int32(slots, 8, "slots of each worker");
// NOLINTEND(readability-identifier-naming)

namespace {

void waitForSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

template <typename Standin>
int serve(Standin& standin)
{
    if (!standin.start()) {
        std::cerr << "loft-standin: can't bind the address\n";
        return 1;
    }
    waitForSignal();
    return 0;
}

int serveWorkers(const Common::endpoint& first)
{
    const Standins::worker_size size {
        .capacity = { .cores = { FLAGS_cores }, .memory = { FLAGS_memory_mb } }, .slots = FLAGS_slots
    };
    std::vector<std::unique_ptr<Standins::worker_standin>> workers;
    Common::endpoint address = first;
    for (int index = 0; index < FLAGS_count; ++index) {
        workers.push_back(std::make_unique<Standins::worker_standin>(address, size));
        if (!workers.back()->start())
            return 1;
        ++address.port;
    }
    waitForSignal();
    return 0;
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("loft-standin --kind=log|list|workers --port=N: small stand-in of the platform, for tests");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockSignals();
    const Common::endpoint address { .host = FLAGS_host, .port = static_cast<std::uint16_t>(FLAGS_port) };
    if (FLAGS_kind == "log") {
        Standins::log_standin standin(address);
        return serve(standin);
    }
    if (FLAGS_kind == "list") {
        Standins::instance_list_standin standin(address);
        return serve(standin);
    }
    if (FLAGS_kind == "workers")
        return serveWorkers(address);
    std::cerr << "loft-standin: --kind must be log, list or workers\n";
    return 2;
}
