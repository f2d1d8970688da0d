#pragma once

/// A small HTTP/1.1 server and client on loopback, for the stand-ins of this review.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review {

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct request {
    std::string method;
    std::string target;
    /// Names in lower case in requests that were received.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string path() const { return target.substr(0, target.find('?')); }

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }

    std::string query(const std::string& name) const
    {
        const auto mark = target.find('?');
        if (mark == std::string::npos)
            return {};
        std::istringstream in(target.substr(mark + 1));
        std::string part;
        while (std::getline(in, part, '&')) {
            if (part.starts_with(name + "="))
                return decode(part.substr(name.size() + 1));
        }
        return {};
    }

    static std::string decode(const std::string& text)
    {
        std::string out;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                out.push_back(static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16)));
                at += 2;
            } else {
                out.push_back(text[at]);
            }
        }
        return out;
    }
};

struct response {
    int status { 200 };
    std::string body;
    std::string type { "application/json" };
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int boundPort(int handle)
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

/// A port for a daemon, below those that the system gives to outgoing connections.
inline int freePort()
{
    static std::mt19937 random(std::random_device {}());
    std::uniform_int_distribution<int> ports(20000, 32000);
    while (true) {
        const int port = ports(random);
        const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto address = loopback(port);
        const bool isFree = ::bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(handle);
        if (isFree)
            return port;
    }
}

/// Reads one message from a socket; what follows it stays in `buffer`.
inline bool readMessage(int handle, std::string& buffer, std::string& firstLine,
    std::map<std::string, std::string>& headers, std::string& body, std::int64_t until = 0)
{
    const auto more = [&] {
        if (until > 0) {
            pollfd waiting { .fd = handle, .events = POLLIN, .revents = 0 };
            const auto left = until - nowMs();
            if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
                return false;
        }
        char bytes[65536];
        const auto got = ::recv(handle, bytes, sizeof bytes, 0);
        if (got <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    };
    auto headerEnd = buffer.find("\r\n\r\n");
    while (headerEnd == std::string::npos) {
        if (!more())
            return false;
        headerEnd = buffer.find("\r\n\r\n");
    }
    std::istringstream in(buffer.substr(0, headerEnd));
    std::getline(in, firstLine);
    headers.clear();
    for (std::string line; std::getline(in, line);) {
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto name = line.substr(0, colon);
        for (auto& letter : name)
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        auto value = line.substr(colon + 1);
        while (!value.empty() && (value.front() == ' '))
            value.erase(value.begin());
        while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
            value.pop_back();
        headers[name] = value;
    }
    const auto length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0U;
    while (buffer.size() < headerEnd + 4 + length) {
        if (!more())
            return false;
    }
    body = buffer.substr(headerEnd + 4, length);
    buffer.erase(0, headerEnd + 4 + length);
    return true;
}

inline bool sendAll(int handle, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Serves each connection with a thread of its own.
class server {
public:
    /// Without a response, the connection is reset.
    using handler = std::function<std::optional<response>(const request&)>;

    explicit server(handler action)
        : m_action(std::move(action))
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto address = loopback(0);
        ::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        ::listen(m_listener, 512);
        m_port = boundPort(m_listener);
        std::thread([this] { accept(); }).detach();
    }

    int port() const { return m_port; }

    void resetConnections()
    {
        const std::lock_guard lock(m_mutex);
        for (const int handle : m_open)
            reset(handle);
    }

private:
    static void reset(int handle)
    {
        const linger now { .l_onoff = 1, .l_linger = 0 };
        ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::shutdown(handle, SHUT_RDWR);
    }

    void accept()
    {
        while (true) {
            const int handle = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0)
                continue;
            const int on = 1;
            ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(handle);
            }
            std::thread([this, handle] { serve(handle); }).detach();
        }
    }

    void serve(int handle)
    {
        std::string buffer;
        std::string firstLine;
        request in;
        while (readMessage(handle, buffer, firstLine, in.headers, in.body)) {
            std::istringstream words(firstLine);
            words >> in.method >> in.target;
            const auto out = m_action(in);
            if (!out) {
                reset(handle);
                break;
            }
            if (!sendAll(handle,
                    "HTTP/1.1 " + std::to_string(out->status) + " -\r\nContent-Type: " + out->type + "\r\nContent-Length: "
                        + std::to_string(out->body.size()) + "\r\n\r\n" + out->body))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(handle);
        ::close(handle);
    }

    handler m_action;
    int m_listener;
    int m_port { 0 };
    std::mutex m_mutex;
    std::set<int> m_open;
};

/// One call on a connection of its own. Empty when there is no complete answer in time.
inline std::optional<response> call(int port, const request& out, int limitMs)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    std::optional<response> got;
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        std::string text = out.method + ' ' + out.target + " HTTP/1.1\r\n";
        if (!out.headers.contains("Host"))
            text += "Host: 127.0.0.1\r\n";
        for (const auto& [name, value] : out.headers)
            text += name + ": " + value + "\r\n";
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(out.body.size()) + "\r\n\r\n" + out.body;
        std::string buffer;
        std::string firstLine;
        std::map<std::string, std::string> headers;
        response read;
        if (sendAll(handle, text) && readMessage(handle, buffer, firstLine, headers, read.body, nowMs() + limitMs)) {
            read.status = std::stoi(firstLine.substr(9, 3));
            got = read;
        }
    }
    ::close(handle);
    return got;
}

}
