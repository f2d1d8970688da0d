#pragma once

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

/// Sends the bytes on an open connection.
inline void sendBytes(int handle, const std::string& bytes)
{
    REQUIRE(::send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
}

/// Opens a connection, sends the bytes, and leaves it open.
inline int openAndSend(std::uint16_t port, const std::string& bytes)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    REQUIRE(::connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    sendBytes(handle, bytes);
    return handle;
}

/// All bytes that have arrived on the connection. Doesn't wait.
inline std::string receivedBytes(int handle)
{
    std::string all;
    char part[4096];
    for (;;) {
        const auto size = ::recv(handle, part, sizeof part, MSG_DONTWAIT);
        if (size <= 0)
            return all;
        all.append(part, static_cast<std::size_t>(size));
    }
}
