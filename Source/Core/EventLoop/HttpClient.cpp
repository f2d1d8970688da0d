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

    /// Reads of the log have the largest responses.
    constexpr std::uint64_t maxResponseBytes = 16ULL * 1024 * 1024;
    /// A connection is closed when sent data stays unacknowledged for this long.
    constexpr int tcpUserTimeoutMs = 3000;

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

struct http_client::connection_pool : std::enable_shared_from_this<connection_pool> {
    struct http_connection : std::enable_shared_from_this<http_connection> {
        explicit http_connection(connection_pool& owner)
            : stream(owner.context)
            , timer(owner.context)
        {
            // Beast reads as much as the buffer has room for, and only 512 bytes without a reserve.
            buffer.reserve(owner.options.readBufferBytes);
        }

        beast::tcp_stream stream;
        boost::asio::steady_timer timer;
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        std::optional<http::response_parser<http::string_body>> parser;
        std::optional<pending_call> current;
        bool isConnected { false };
        bool wasSent { false };
        /// Incremented with each use of the timer, so that the handler of an earlier use does nothing.
        std::uint64_t timerUse { 0 };
    };
    using connection_pointer = std::shared_ptr<http_connection>;

    connection_pool(event_loop& loop, const http_client_options& clientOptions)
        : context(loop.context())
        , options(clientOptions)
    {
    }

    void enqueue(pending_call call)
    {
        waiting.push_back(std::move(call));
        startQueuedCalls();
    }

    void startQueuedCalls()
    {
        while (!waiting.empty()) {
            connection_pointer next;
            if (!idle.empty()) {
                next = idle.back();
                idle.pop_back();
            } else if (static_cast<int>(open.size()) < options.maxConnections) {
                next = std::make_shared<http_connection>(*this);
                open.insert(next);
            } else {
                return;
            }
            auto call = std::move(waiting.front());
            waiting.pop_front();
            startCall(next, std::move(call));
        }
    }

    void startCall(const connection_pointer& connection, pending_call call)
    {
        connection->current = std::move(call);
        connection->wasSent = false;
        armTimer(connection, connection->current->deadline);
        if (connection->isConnected)
            send(connection);
        else
            connect(connection);
    }

    void armTimer(const connection_pointer& connection, Common::instant deadline)
    {
        const auto timerUse = ++connection->timerUse;
        connection->timer.expires_after(Common::elapsed(Common::boot_clock::now(), deadline));
        connection->timer.async_wait([pool = shared_from_this(), connection, timerUse](const error_code& error) {
            if (!error && connection->timerUse == timerUse)
                pool->fail(connection);
        });
    }

    void connect(const connection_pointer& connection)
    {
        ++opened;
        const auto connectDeadline = std::min(connection->current->deadline, Common::boot_clock::now() + options.connectTimeout);
        armTimer(connection, connectDeadline);
        error_code error;
        const tcp::endpoint server(boost::asio::ip::make_address(options.server.host, error), options.server.port);
        if (error) {
            fail(connection);
            return;
        }
        connection->stream.async_connect(server, [pool = shared_from_this(), connection](const error_code& failed) {
            if (!connection->current)
                return;
            if (failed) {
                pool->fail(connection);
                return;
            }
            pool->setSocketOptions(connection);
            connection->isConnected = true;
            pool->armTimer(connection, connection->current->deadline);
            pool->send(connection);
        });
    }

    static void setSocketOptions(const connection_pointer& connection)
    {
        error_code ignored;
        connection->stream.socket().set_option(tcp::no_delay(true), ignored);
        const int handle = connection->stream.socket().native_handle();
        ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof tcpUserTimeoutMs);
    }

    void send(const connection_pointer& connection)
    {
        const auto& from = connection->current->request;
        connection->request = {};
        connection->request.version(11);
        connection->request.method_string(from.method);
        connection->request.target(from.target);
        connection->request.set(http::field::host, options.server.host);
        for (const auto& header : from.headers)
            connection->request.set(header.name, header.value);
        if (from.method != "GET") {
            connection->request.set(http::field::content_type, from.contentType);
            connection->request.body() = from.body;
            connection->request.prepare_payload();
        }
        connection->wasSent = true;
        http::async_write(connection->stream, connection->request,
            [pool = shared_from_this(), connection](const error_code& failed, std::size_t) {
                if (!connection->current)
                    return;
                if (failed)
                    pool->fail(connection);
                else
                    pool->receive(connection);
            });
    }

    void receive(const connection_pointer& connection)
    {
        connection->parser.emplace();
        connection->parser->body_limit(maxResponseBytes);
        http::async_read(connection->stream, connection->buffer, *connection->parser,
            [pool = shared_from_this(), connection](const error_code& failed, std::size_t) {
                if (!connection->current)
                    return;
                if (failed)
                    pool->fail(connection);
                else
                    pool->finish(connection);
            });
    }

    void finish(const connection_pointer& connection)
    {
        auto message = connection->parser->release();
        const bool isKeepAlive = message.keep_alive();
        const auto handler = std::move(connection->current->handler);
        connection->current.reset();
        ++connection->timerUse;
        connection->timer.cancel();
        if (isKeepAlive)
            keepIdle(connection);
        else
            close(connection);
        handler({ .response = toResponse(std::move(message)) });
        startQueuedCalls();
    }

    void keepIdle(const connection_pointer& connection)
    {
        idle.push_back(connection);
        const auto timerUse = ++connection->timerUse;
        connection->timer.expires_after(options.idleTimeout);
        connection->timer.async_wait([self = weak_from_this(), connection, timerUse](const error_code& error) {
            const auto pool = self.lock();
            if (!error && pool && connection->timerUse == timerUse)
                pool->close(connection);
        });
    }

    void close(const connection_pointer& connection)
    {
        ++connection->timerUse;
        connection->timer.cancel();
        error_code ignored;
        connection->stream.socket().close(ignored);
        std::erase(idle, connection);
        open.erase(connection);
    }

    /// Fails the call and closes its connection.
    void fail(const connection_pointer& connection)
    {
        if (!connection->current)
            return;
        const auto handler = std::move(connection->current->handler);
        const auto failure = connection->wasSent ? call_failure::NoAnswer : call_failure::NotSent;
        connection->current.reset();
        close(connection);
        handler({ .response = std::nullopt, .failure = failure });
        startQueuedCalls();
    }

    boost::asio::io_context& context;
    http_client_options options;
    std::set<connection_pointer> open;
    std::vector<connection_pointer> idle;
    std::deque<pending_call> waiting;
    std::uint64_t opened { 0 };
};

http_client::http_client(event_loop& loop, const http_client_options& options)
    : m_pool(std::make_shared<connection_pool>(loop, options))
{
}

http_client::~http_client() = default;

void http_client::call(http_request request, Common::millis timeout, call_handler handler)
{
    m_pool->enqueue({ .request = std::move(request),
        .deadline = Common::boot_clock::now() + timeout,
        .handler = std::move(handler) });
}

std::uint64_t http_client::connectionsOpened() const { return m_pool->opened; }

}
