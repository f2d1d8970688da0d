#include "Sessions/Crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Sessions {

namespace {

    constexpr int pollMillis = 100;
    /// Ends the sending when the process has stopped reading.
    constexpr int maxIdlePolls = 300;

    sockaddr_in loopbackAt(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    int openConnection(std::uint16_t port)
    {
        const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopbackAt(port);
        if (::connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return handle;
        ::close(handle);
        return -1;
    }

}

crowd::crowd(std::uint16_t port, const std::vector<crowd_script>& scripts)
    : m_scripts(scripts)
{
    for (const auto& script : m_scripts)
        m_clients.push_back({ .handle = openConnection(port), .script = &script });
}

crowd::~crowd()
{
    for (const auto& entry : m_clients) {
        if (entry.handle >= 0)
            ::close(entry.handle);
    }
}

bool crowd::sendSome(client& entry)
{
    if (entry.pending.empty()) {
        if (entry.partsSent > entry.script->parts)
            return false;
        const bool isTail = entry.partsSent == entry.script->parts;
        entry.pending = entry.partsSent < 0 ? entry.script->head : isTail ? entry.script->tail
                                                                          : entry.script->part;
        ++entry.partsSent;
        if (entry.pending.empty())
            return true;
    }
    const auto sent = ::send(entry.handle, entry.pending.data(), entry.pending.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0)
        return errno == EAGAIN || errno == EINTR;
    entry.pending.erase(0, static_cast<std::size_t>(sent));
    return true;
}

void crowd::sendAll()
{
    std::vector<client*> sending;
    for (auto& entry : m_clients) {
        if (entry.handle >= 0)
            sending.push_back(&entry);
    }
    int idlePolls = 0;
    while (!sending.empty() && idlePolls < maxIdlePolls) {
        std::vector<pollfd> waiting;
        for (const auto* entry : sending)
            waiting.push_back({ .fd = entry->handle, .events = POLLOUT, .revents = 0 });
        idlePolls = ::poll(waiting.data(), waiting.size(), pollMillis) == 0 ? idlePolls + 1 : 0;
        std::vector<client*> remaining;
        for (std::size_t index = 0; index < sending.size(); ++index) {
            if (waiting[index].revents == 0 || sendSome(*sending[index]))
                remaining.push_back(sending[index]);
        }
        sending = std::move(remaining);
    }
}

process_use useOf(pid_t process)
{
    const std::string directory = "/proc/" + std::to_string(process);
    process_use use;
    std::ifstream status(directory + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0)
            use.peakKilobytes = std::strtoul(line.c_str() + sizeof "VmHWM:", nullptr, 10);
    }
    // A process that has ended and isn't waited for has no memory.
    use.isAlive = use.peakKilobytes > 0;
    std::error_code error;
    for (std::filesystem::directory_iterator entry(directory + "/fd", error), end; !error && entry != end; entry.increment(error))
        ++use.descriptors;
    return use;
}

bool hasUnread(std::uint16_t port)
{
    std::ifstream connections("/proc/net/tcp");
    std::string line;
    std::getline(connections, line);
    while (std::getline(connections, line)) {
        unsigned localPort = 0;
        unsigned long unread = 0;
        if (std::sscanf(line.c_str(), " %*d: %*x:%x %*x:%*x %*x %*x:%lx", &localPort, &unread) == 2 && localPort == port
            && unread > 0)
            return true;
    }
    return false;
}

int statusOf(std::uint16_t port, const std::string& request)
{
    const int handle = openConnection(port);
    if (handle < 0)
        return 0;
    std::string answer;
    ::send(handle, request.data(), request.size(), MSG_NOSIGNAL);
    constexpr std::size_t statusAt = sizeof "HTTP/1.1";
    constexpr std::size_t statusEnd = statusAt + 3;
    constexpr time_t giveUpSeconds = 60;
    const timeval wait { .tv_sec = giveUpSeconds, .tv_usec = 0 };
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    char part[512];
    while (answer.size() < statusEnd) {
        const auto size = ::recv(handle, part, sizeof part, 0);
        if (size <= 0)
            break;
        answer.append(part, static_cast<std::size_t>(size));
    }
    ::close(handle);
    return answer.size() < statusEnd ? 0 : std::atoi(answer.substr(statusAt, 3).c_str());
}

std::uint16_t unusedPort()
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopbackAt(0);
    socklen_t size = sizeof address;
    ::bind(handle, reinterpret_cast<const sockaddr*>(&address), size);
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(handle);
    return ntohs(address.sin_port);
}

}
