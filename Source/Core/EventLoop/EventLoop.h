#pragma once

#include "Common/Clock.h"

#include <exception>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

/// Single-threaded event loop with an HTTP client and listener. All callbacks run on the thread that calls run().
namespace EventLoop {

class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Returns after stop(). An exception of a callback ends it too, unless onFailure() was called.
    void run();
    /// Calls `action` with each exception that a callback doesn't catch; the loop then goes on with the next callback.
    void onFailure(std::function<void(const std::exception&)> action);
    void stop();
    /// Allows another run() after stop().
    void restart();
    /// Calls `action` once, when at least `delay` has passed.
    void after(Common::millis delay, std::function<void()> action);
    /// Calls `action` with the signal number whenever one of the signals arrives.
    void onSignals(std::initializer_list<int> signals, std::function<void(int)> action);

    boost::asio::io_context& context() { return *m_context; }

private:
    struct signal_handler;
    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<signal_handler> m_signals;
    std::function<void(const std::exception&)> m_onFailure;
};

}
