#pragma once

#include "Node/NodeContext.h"

#include <atomic>
#include <memory>
#include <thread>

namespace Node {

/// Threads that read the platform's log into the node context and append queued commands to the log.
class log_loops {
public:
    log_loops(node_context&, std::unique_ptr<PlatformLog::log_service> reader,
        std::unique_ptr<PlatformLog::log_service> appender);
    ~log_loops();
    log_loops(const log_loops&) = delete;
    log_loops& operator=(const log_loops&) = delete;

    void start();
    void stop();

    std::int64_t appends() const { return m_appends; }

private:
    void readAll();
    void appendAll();
    void waitForCommands();
    /// False when the log rejected the record or didn't answer.
    bool appendOnce(const std::vector<Fleet::command>&);
    void writeSnapshotIfDue();
    bool isSnapshotDue() const;
    static bool renews(const std::vector<Fleet::command>&, const Common::process_id&);

    node_context& m_context;
    std::unique_ptr<PlatformLog::log_service> m_reader;
    std::unique_ptr<PlatformLog::log_service> m_appender;
    std::atomic<bool> m_stopping { false };
    std::atomic<std::int64_t> m_appends { 0 };
    Common::log_offset m_lastSnapshotAt { -1 };
    std::thread m_readThread;
    std::thread m_appendThread;
};

}
