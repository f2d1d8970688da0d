#include "Node/MeteredStream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace Node {

namespace {

    /// Time from the first byte of a request to its end.
    constexpr Common::millis receiveTimeout { 30000 };

    bool waitFor(int socket, short event, Common::millis time)
    {
        pollfd waiting { .fd = socket, .events = event, .revents = 0 };
        int ready = 0;
        do {
            ready = ::poll(&waiting, 1, static_cast<int>(time.count()));
        } while (ready < 0 && errno == EINTR);
        return ready > 0;
    }

    void readAddress(const sockaddr_in& address, std::string& ip, int& port)
    {
        std::array<char, INET_ADDRSTRLEN> text {};
        if (::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()))
            ip = text.data();
        port = ntohs(address.sin_port);
    }

}

metered_stream::metered_stream(const metered_stream_options& options)
    : m_options(options)
    , m_meter(options.input)
{
}

metered_stream::~metered_stream() { endRequest(); }

bool metered_stream::hasInput(Common::millis time) const
{
    return m_begin < m_end || waitFor(m_options.socket, POLLIN, time);
}

void metered_stream::beginRequest() { m_receiveUntil = Common::boot_clock::now() + receiveTimeout; }

void metered_stream::endRequest()
{
    m_options.total -= m_meter.bytes();
    m_meter.reset();
}

bool metered_stream::is_readable() const { return hasInput(m_options.readTimeout); }

bool metered_stream::is_writable() const { return waitFor(m_options.socket, POLLOUT, m_options.writeTimeout); }

bool metered_stream::fill()
{
    if (Common::boot_clock::now() > m_receiveUntil || !is_readable())
        return false;
    ssize_t received = 0;
    do {
        received = ::recv(m_options.socket, m_buffer.data(), m_buffer.size(), 0);
    } while (received < 0 && errno == EINTR);
    m_begin = 0;
    m_end = received > 0 ? static_cast<std::size_t>(received) : 0;
    return received > 0;
}

ssize_t metered_stream::read(char* target, std::size_t size)
{
    if (m_isBroken || size == 0)
        return m_isBroken ? -1 : 0;
    if (m_begin == m_end && !fill()) {
        m_isBroken = true;
        return -1;
    }
    const auto taken = std::min(size, m_end - m_begin);
    const auto total = m_options.total += taken;
    if (!m_meter.take({ m_buffer.data() + m_begin, taken }, total)) {
        m_isBroken = true;
        return -1;
    }
    std::memcpy(target, m_buffer.data() + m_begin, taken);
    m_begin += taken;
    return static_cast<ssize_t>(taken);
}

ssize_t metered_stream::write(const char* bytes, std::size_t size)
{
    if (!is_writable())
        return -1;
    ssize_t sent = 0;
    do {
        sent = ::send(m_options.socket, bytes, size, MSG_NOSIGNAL);
    } while (sent < 0 && errno == EINTR);
    return sent;
}

void metered_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    if (::getpeername(m_options.socket, reinterpret_cast<sockaddr*>(&address), &size) == 0)
        readAddress(address, ip, port);
}

void metered_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    if (::getsockname(m_options.socket, reinterpret_cast<sockaddr*>(&address), &size) == 0)
        readAddress(address, ip, port);
}

}
