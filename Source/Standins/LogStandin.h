#pragma once

#include "Standins/StandinServer.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace Standins {

/// The platform's append-only log. Faults: `down`, `silent` (ms), `slow` (ms per append), `loseAnswers` (count of
/// appends that take effect but whose answer is lost), `keep` (number of newest records that are retained).
class log_standin {
public:
    explicit log_standin(const Common::endpoint&);
    ~log_standin();

    bool start() { return m_server.start(); }
    std::uint16_t port() const { return m_server.port(); }
    fault_switch& faults() { return m_server.faults(); }
    /// Offset of the next record.
    std::int64_t end();

private:
    void onAppend(const httplib::Request&, httplib::Response&);
    void onRead(const httplib::Request&, httplib::Response&);
    bool isOverRate();

    /// Rate limit of the platform.
    static constexpr int maxAppendsPerSecond = 400;
    static constexpr std::size_t maxRecordsPerRead = 500;

    standin_server m_server;
    std::mutex m_lock;
    std::condition_variable m_appended;
    std::deque<std::string> m_records;
    /// Offset of the oldest record that is retained.
    std::int64_t m_first { 0 };
    std::int64_t m_second { 0 };
    int m_appendsInSecond { 0 };
    bool m_stopping { false };
};

}
