#pragma once

#include "Settings/Settings.h"

#include <memory>

namespace Node {

/// One entry instance: all its parts, wired together.
class entry_daemon {
public:
    explicit entry_daemon(const Settings::daemon_settings&);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    /// Binds all listeners and starts. False when an address can't be bound.
    bool start();
    /// Stops gracefully: readiness goes off, what was taken is answered or handed over. False when the
    /// time allowed for it was over first.
    bool stop();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

}
