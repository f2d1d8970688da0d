#pragma once

#include <cstddef>
#include <string_view>

namespace Node {

struct input_limits {
    std::size_t headerBytes { 65536 };
    /// All bytes of a request as it is sent, with the framing of its body.
    std::size_t messageBytes { 0 };
    /// Bytes of all requests together that are being received.
    std::size_t totalBytes { 0 };
    /// Bytes that a request may have also while the total is used up.
    std::size_t alwaysBytes { 65536 };
};

/// Decides how much more of one request is read. It answers the load of callers that send headers, chunks or trailers
/// without end: the HTTP library grows its buffers until a line or a body ends.
class input_meter {
public:
    explicit input_meter(const input_limits& limits)
        : m_limits(limits)
    {
    }

    /// False when the bytes lead over a limit; `total` are the bytes of all requests, these included. Nothing more of
    /// the request may be read then.
    bool take(std::string_view bytes, std::size_t total);
    /// The next request begins.
    void reset();

    std::size_t bytes() const { return m_bytes; }
    bool isExceeded() const { return m_isExceeded; }

private:
    void followHeader(std::string_view bytes);

    input_limits m_limits;
    std::size_t m_bytes { 0 };
    /// Bytes of the header's end that have been seen in a row.
    std::size_t m_endSeen { 0 };
    bool m_isHeader { true };
    bool m_isExceeded { false };
};

}
