#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Sessions {

/// What one client of a crowd sends: `head` once, then `part` the given number of times, then `tail`.
struct crowd_script {
    std::string head;
    std::string part;
    int parts { 0 };
    std::string tail {};
};

/// Clients that send at once over loopback and leave their connections open until the crowd is destroyed.
class crowd {
public:
    crowd(std::uint16_t port, const std::vector<crowd_script>&);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Sends in turn until each client has sent all or its connection is closed.
    void sendAll();

private:
    struct client {
        int handle { -1 };
        const crowd_script* script { nullptr };
        int partsSent { -1 };
        std::string pending;
    };

    /// False when the client has nothing more to send.
    static bool sendSome(client&);

    std::vector<crowd_script> m_scripts;
    std::vector<client> m_clients;
};

/// What a process uses, as the kernel reports it.
struct process_use {
    bool isAlive { false };
    /// Largest resident set so far.
    std::size_t peakKilobytes { 0 };
    std::size_t descriptors { 0 };
};

process_use useOf(pid_t);

/// Whether connections to the port wait to be accepted, or have bytes that the process hasn't read.
bool hasUnread(std::uint16_t port);
/// One request on a connection of its own; the status of the answer, 0 without one.
int statusOf(std::uint16_t port, const std::string& request);
/// A port of the loopback address that is free at this moment.
std::uint16_t unusedPort();

}
