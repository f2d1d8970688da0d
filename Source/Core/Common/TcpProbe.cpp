#include "Common/TcpProbe.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Common {

namespace {

    class socket_handle {
    public:
        socket_handle()
            : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
        {
        }
        ~socket_handle()
        {
            if (m_descriptor >= 0)
                close(m_descriptor);
        }
        socket_handle(const socket_handle&) = delete;
        socket_handle& operator=(const socket_handle&) = delete;

        int descriptor() const { return m_descriptor; }

    private:
        int m_descriptor;
    };

    probe_result fromError(int error)
    {
        if (error == 0)
            return probe_result::Accepted;
        return error == ECONNREFUSED ? probe_result::Refused : probe_result::Silent;
    }

}

probe_result probeTcp(const endpoint& target, millis timeout)
{
    const socket_handle handle;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    if (handle.descriptor() < 0 || inet_pton(AF_INET, target.host.c_str(), &address.sin_addr) != 1)
        return probe_result::Silent;
    if (connect(handle.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return probe_result::Accepted;
    if (errno != EINPROGRESS)
        return fromError(errno);
    pollfd waiting { .fd = handle.descriptor(), .events = POLLOUT, .revents = 0 };
    if (poll(&waiting, 1, static_cast<int>(timeout.count())) != 1)
        return probe_result::Silent;
    int error = 0;
    socklen_t size = sizeof error;
    if (getsockopt(handle.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        return probe_result::Silent;
    return fromError(error);
}

}
