#include "Node/InputMeter.h"

namespace Node {

namespace {

    constexpr std::string_view headerEnd = "\r\n\r\n";

}

bool input_meter::take(std::string_view bytes, std::size_t total)
{
    if (m_isHeader)
        followHeader(bytes);
    m_bytes += bytes.size();
    const bool isHeaderTooLarge = m_isHeader && m_bytes > m_limits.headerBytes;
    const bool isTotalUsedUp = total > m_limits.totalBytes && m_bytes > m_limits.alwaysBytes;
    m_isExceeded = m_isExceeded || isHeaderTooLarge || isTotalUsedUp || m_bytes > m_limits.messageBytes;
    return !m_isExceeded;
}

void input_meter::reset() { *this = input_meter(m_limits); }

void input_meter::followHeader(std::string_view bytes)
{
    for (const char byte : bytes) {
        if (byte == headerEnd[m_endSeen])
            ++m_endSeen;
        else
            m_endSeen = byte == headerEnd.front() ? 1 : 0;
        if (m_endSeen < headerEnd.size())
            continue;
        m_isHeader = false;
        return;
    }
}

}
