#include "EventLoop/EventLoop.h"

#include "EventLoop/HttpMessages.h"

#include <exception>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/string.hpp>

namespace EventLoop {

struct event_loop::signal_handler {
    explicit signal_handler(boost::asio::io_context& context)
        : signals(context)
    {
    }

    void wait()
    {
        signals.async_wait([this](const boost::system::error_code& error, int number) {
            if (error)
                return;
            action(number);
            wait();
        });
    }

    boost::asio::signal_set signals;
    std::function<void(int)> action;
};

event_loop::event_loop()
    : m_context(std::make_unique<boost::asio::io_context>(1))
{
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    while (true) {
        try {
            m_context->run();
            return;
        } catch (const std::exception& error) {
            if (!m_onFailure)
                throw;
            m_onFailure(error);
        }
    }
}

void event_loop::onFailure(std::function<void(const std::exception&)> action) { m_onFailure = std::move(action); }

void event_loop::stop() { m_context->stop(); }

void event_loop::restart() { m_context->restart(); }

void event_loop::after(Common::millis delay, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(*m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
        if (!error)
            action();
    });
}

void event_loop::onSignals(std::initializer_list<int> signals, std::function<void(int)> action)
{
    m_signals = std::make_unique<signal_handler>(*m_context);
    for (const int number : signals)
        m_signals->signals.add(number);
    m_signals->action = std::move(action);
    m_signals->wait();
}

std::string_view findHeader(const std::vector<http_header>& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (boost::beast::iequals({ header.name.data(), header.name.size() }, { name.data(), name.size() }))
            return header.value;
    }
    return {};
}

}
