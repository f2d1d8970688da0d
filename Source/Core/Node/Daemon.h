#pragma once

#include "Settings/Settings.h"

#include <memory>

namespace Node {

/// One entry instance: owns and connects all components.
class entry_daemon {
public:
    explicit entry_daemon(const Settings::daemon_settings&);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    /// Binds all listeners and starts. False when an address can't be bound.
    bool start();
    /// Stops gracefully: fails the readiness check, then answers accepted requests or hands them over.
    /// False when the stop timeout expired first.
    bool stop();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

}
