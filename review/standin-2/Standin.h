#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fcntl.h>
#include <httplib.h>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unistd.h>

/// Stand-ins of the users' platform for the scripts of the second review: a store, an instance manager and workers, each a
/// separate process, on loopback addresses.
namespace Standin {

using json = nlohmann::json;

constexpr int holdMaxMs = 10000;
constexpr int stopMs = 200;
constexpr int gangMs = 3000;
constexpr int saveMs = 500;

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Appends one line to the record, which several processes write.
inline void note(const std::string& file, const std::string& who, const std::string& what)
{
    const int handle = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (handle < 0)
        return;
    const auto line = std::to_string(wallMs()) + ' ' + who + ": " + what + '\n';
    if (::write(handle, line.data(), line.size()) < 0)
        std::perror("record");
    ::close(handle);
}

/// A server thread serves a connection as long as it is open, so there are more threads than connections.
inline void useManyThreads(httplib::Server& server)
{
    server.new_task_queue = [] { return new httplib::ThreadPool(160); };
    server.set_keep_alive_timeout(60);
    server.set_keep_alive_max_count(10'000'000);
    server.set_tcp_nodelay(true);
}

using arguments = std::map<std::string, std::string>;

int runPlatform(const arguments&);
int runWorker(const arguments&);
int runCase(const arguments&);

}
