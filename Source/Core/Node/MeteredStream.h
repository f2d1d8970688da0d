#pragma once

#include "Common/Clock.h"
#include "Node/InputMeter.h"

#include <array>
#include <atomic>
#include <httplib.h>

namespace Node {

struct metered_stream_options {
    int socket { -1 };
    Common::millis readTimeout;
    Common::millis writeTimeout;
    input_limits input;
    /// Bytes of the requests that are being received on all connections.
    std::atomic<std::size_t>& total;
};

/// A connection as the HTTP library reads and writes it. Reads fail once the request is over a limit.
class metered_stream final : public httplib::Stream {
public:
    explicit metered_stream(const metered_stream_options&);
    ~metered_stream() override;
    metered_stream(const metered_stream&) = delete;
    metered_stream& operator=(const metered_stream&) = delete;

    /// Whether bytes have arrived, or the peer has closed. Waits for up to `time`.
    bool hasInput(Common::millis time) const;
    void beginRequest();
    void endRequest();
    bool isExceeded() const { return m_meter.isExceeded(); }
    /// Whether a read failed, so that the next request can't be found.
    bool isBroken() const { return m_isBroken; }
    std::size_t requestBytes() const { return m_meter.bytes(); }

    // NOLINTBEGIN(readability-identifier-naming)
    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* target, std::size_t size) override;
    ssize_t write(const char* bytes, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return m_options.socket; }
    // NOLINTEND(readability-identifier-naming)

private:
    /// False at the end of the input, and when nothing arrives in time.
    bool fill();

    static constexpr std::size_t bufferBytes = 4096;

    metered_stream_options m_options;
    input_meter m_meter;
    Common::instant m_receiveUntil;
    std::array<char, bufferBytes> m_buffer {};
    std::size_t m_begin { 0 };
    std::size_t m_end { 0 };
    bool m_isBroken { false };
};

}
