#pragma once

#include "Common/Clock.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

/// The daemon's one event loop, with HTTP over it. All callbacks run on the thread that calls run().
namespace EventLoop {

class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    void run();
    void stop();
    /// Calls `action` once, no earlier than after `delay`.
    void after(Common::millis delay, std::function<void()> action);
    /// Calls `action` on each of the signals, with its number.
    void onSignals(std::initializer_list<int> signals, std::function<void(int)> action);

    boost::asio::io_context& context() { return *m_context; }

private:
    struct signal_watch;
    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<signal_watch> m_signals;
};

}
