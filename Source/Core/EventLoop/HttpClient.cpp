#include "EventLoop/HttpClient.h"

#include "EventLoop/EventLoop.h"

#include <utility>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <netinet/tcp.h>
#include <set>

namespace EventLoop {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using tcp = boost::asio::ip::tcp;
    using error_code = boost::system::error_code;

    /// Largest answer that is read; log reads are the largest.
    constexpr std::uint64_t maxAnswerBytes = 16ULL * 1024 * 1024;
    /// Unacknowledged bytes end a connection after this time, in milliseconds.
    constexpr int userTimeoutMs = 3000;

    struct pending_call {
        http_request request;
        Common::instant deadline;
        call_handler handler;
    };

    http_response toResponse(http::response<http::string_body>&& message)
    {
        http_response response;
        response.status = static_cast<int>(message.result_int());
        for (const auto& field : message)
            response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        response.body = std::move(message.body());
        return response;
    }

}

struct http_client::pool : std::enable_shared_from_this<pool> {
    struct connection : std::enable_shared_from_this<connection> {
        explicit connection(pool& owner)
            : stream(owner.context)
            , timer(owner.context)
        {
        }

        beast::tcp_stream stream;
        boost::asio::steady_timer timer;
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        std::optional<http::response_parser<http::string_body>> parser;
        std::optional<pending_call> current;
        bool isConnected { false };
        bool wasSent { false };
        /// Grows with each call, so that a timer of an earlier one does nothing.
        std::uint64_t serial { 0 };
    };
    using connection_pointer = std::shared_ptr<connection>;

    pool(event_loop& loop, const http_client_options& chosen)
        : context(loop.context())
        , options(chosen)
    {
    }

    void submit(pending_call call)
    {
        waiting.push_back(std::move(call));
        pump();
    }

    void pump()
    {
        while (!waiting.empty()) {
            connection_pointer next;
            if (!idle.empty()) {
                next = idle.back();
                idle.pop_back();
            } else if (static_cast<int>(open.size()) < options.maxConnections) {
                next = std::make_shared<connection>(*this);
                open.insert(next);
            } else {
                return;
            }
            auto call = std::move(waiting.front());
            waiting.pop_front();
            begin(next, std::move(call));
        }
    }

    void begin(const connection_pointer& link, pending_call call)
    {
        link->current = std::move(call);
        link->wasSent = false;
        armTimer(link, link->current->deadline);
        if (link->isConnected)
            send(link);
        else
            connect(link);
    }

    void armTimer(const connection_pointer& link, Common::instant deadline)
    {
        const auto serial = ++link->serial;
        link->timer.expires_after(Common::elapsed(Common::boot_clock::now(), deadline));
        link->timer.async_wait([pool = shared_from_this(), link, serial](const error_code& error) {
            if (!error && link->serial == serial)
                pool->fail(link);
        });
    }

    void connect(const connection_pointer& link)
    {
        ++opened;
        const auto limit = std::min(link->current->deadline, Common::boot_clock::now() + options.connectTimeout);
        armTimer(link, limit);
        error_code error;
        const tcp::endpoint server(boost::asio::ip::make_address(options.server.host, error), options.server.port);
        if (error) {
            fail(link);
            return;
        }
        link->stream.async_connect(server, [pool = shared_from_this(), link](const error_code& failed) {
            if (!link->current)
                return;
            if (failed) {
                pool->fail(link);
                return;
            }
            pool->tune(link);
            link->isConnected = true;
            pool->armTimer(link, link->current->deadline);
            pool->send(link);
        });
    }

    static void tune(const connection_pointer& link)
    {
        error_code ignored;
        link->stream.socket().set_option(tcp::no_delay(true), ignored);
        const int handle = link->stream.socket().native_handle();
        ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
    }

    void send(const connection_pointer& link)
    {
        const auto& from = link->current->request;
        link->request = {};
        link->request.version(11);
        link->request.method_string(from.method);
        link->request.target(from.target);
        link->request.set(http::field::host, options.server.host);
        for (const auto& header : from.headers)
            link->request.set(header.name, header.value);
        if (from.method != "GET") {
            link->request.set(http::field::content_type, from.contentType);
            link->request.body() = from.body;
            link->request.prepare_payload();
        }
        link->wasSent = true;
        http::async_write(link->stream, link->request,
            [pool = shared_from_this(), link](const error_code& failed, std::size_t) {
                if (!link->current)
                    return;
                if (failed)
                    pool->fail(link);
                else
                    pool->receive(link);
            });
    }

    void receive(const connection_pointer& link)
    {
        link->parser.emplace();
        link->parser->body_limit(maxAnswerBytes);
        http::async_read(link->stream, link->buffer, *link->parser,
            [pool = shared_from_this(), link](const error_code& failed, std::size_t) {
                if (!link->current)
                    return;
                if (failed)
                    pool->fail(link);
                else
                    pool->finish(link);
            });
    }

    void finish(const connection_pointer& link)
    {
        auto message = link->parser->release();
        const bool isKept = message.keep_alive();
        const auto handler = std::move(link->current->handler);
        link->current.reset();
        ++link->serial;
        link->timer.cancel();
        if (isKept)
            park(link);
        else
            close(link);
        handler({ .response = toResponse(std::move(message)) });
        pump();
    }

    void park(const connection_pointer& link)
    {
        idle.push_back(link);
        const auto serial = ++link->serial;
        link->timer.expires_after(options.idleTimeout);
        link->timer.async_wait([self = weak_from_this(), link, serial](const error_code& error) {
            const auto pool = self.lock();
            if (!error && pool && link->serial == serial)
                pool->close(link);
        });
    }

    void close(const connection_pointer& link)
    {
        ++link->serial;
        link->timer.cancel();
        error_code ignored;
        link->stream.socket().close(ignored);
        std::erase(idle, link);
        open.erase(link);
    }

    /// Ends the call without an answer, and its connection with it.
    void fail(const connection_pointer& link)
    {
        if (!link->current)
            return;
        const auto handler = std::move(link->current->handler);
        const auto failure = link->wasSent ? call_failure::NoAnswer : call_failure::NotSent;
        link->current.reset();
        close(link);
        handler({ .response = std::nullopt, .failure = failure });
        pump();
    }

    boost::asio::io_context& context;
    http_client_options options;
    std::set<connection_pointer> open;
    std::vector<connection_pointer> idle;
    std::deque<pending_call> waiting;
    std::uint64_t opened { 0 };
};

http_client::http_client(event_loop& loop, const http_client_options& options)
    : m_pool(std::make_shared<pool>(loop, options))
{
}

http_client::~http_client() = default;

void http_client::call(http_request request, Common::millis timeout, call_handler handler)
{
    m_pool->submit({ .request = std::move(request),
        .deadline = Common::boot_clock::now() + timeout,
        .handler = std::move(handler) });
}

std::uint64_t http_client::connectionsOpened() const { return m_pool->opened; }

}
