#include "EventLoop/HttpClient.h"

#include "EventLoop/EventLoop.h"
#include "EventLoop/ResponseParser.h"
#include "EventLoop/TrafficMeter.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <deque>
#include <netinet/tcp.h>
#include <set>

namespace EventLoop {

namespace {

    using tcp = boost::asio::ip::tcp;
    using tcp_socket = boost::asio::basic_stream_socket<tcp, boost::asio::io_context::executor_type>;
    using steady_timer = boost::asio::basic_waitable_timer<std::chrono::steady_clock,
        boost::asio::wait_traits<std::chrono::steady_clock>, boost::asio::io_context::executor_type>;
    using error_code = boost::system::error_code;

    /// A connection is closed when sent data stays unacknowledged for this long.
    constexpr int tcpUserTimeoutMs = 3000;
    constexpr std::size_t maxReadBytes = 65536;

    struct pending_call {
        http_request request;
        Common::instant deadline;
        call_handler handler;
    };

    void appendHeader(std::string& out, std::string_view name, std::string_view value)
    {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }

    /// Writes the whole request into one buffer, which is kept between calls, so that it is sent by one system call.
    void writeRequest(std::string& out, const http_request& request, std::string_view host)
    {
        out.clear();
        out += request.method;
        out += ' ';
        out += request.target;
        out += " HTTP/1.1\r\n";
        appendHeader(out, "Host", host);
        for (const auto& header : request.headers)
            appendHeader(out, header.name, header.value);
        const bool hasBody = request.method != "GET";
        if (hasBody) {
            appendHeader(out, "Content-Type", request.contentType);
            appendHeader(out, "Content-Length", std::to_string(request.body.size()));
        }
        out += "\r\n";
        if (hasBody)
            out += request.body;
    }

}

struct http_client::connection_pool : std::enable_shared_from_this<connection_pool> {
    struct http_connection {
        explicit http_connection(connection_pool& owner)
            : socket(owner.context)
        {
            // Beast reads as much as the buffer has room for, and only 512 bytes without a reserve.
            buffer.reserve(owner.options.readBufferBytes);
        }

        tcp_socket socket;
        boost::beast::flat_buffer buffer;
        std::string outgoing;
        std::optional<response_parser> parser;
        std::optional<pending_call> current;
        /// When the call in progress fails, or the idle connection is closed.
        Common::instant expiry;
        bool isConnected { false };
        bool wasSent { false };
        std::size_t sentBytes { 0 };
        std::size_t receivedBytes { 0 };
    };
    using connection_pointer = std::shared_ptr<http_connection>;

    connection_pool(event_loop& loop, const http_client_options& clientOptions)
        : context(loop.context())
        , options(clientOptions)
        , timer(loop.context())
    {
    }

    void enqueue(pending_call call)
    {
        expireAt(call.deadline);
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
        connection->sentBytes = 0;
        connection->receivedBytes = 0;
        connection->expiry = connection->current->deadline;
        if (connection->isConnected)
            send(connection);
        else
            connect(connection);
    }

    /// One timer serves all calls of the pool. It is only set again for an earlier time: ending a call doesn't touch it.
    void expireAt(Common::instant when)
    {
        if (timerExpiry && *timerExpiry <= when)
            return;
        timerExpiry = when;
        timer.expires_after(std::chrono::ceil<Common::millis>(when - Common::boot_clock::now()));
        timer.async_wait([self = weak_from_this()](const error_code& error) {
            const auto pool = self.lock();
            if (!error && pool)
                pool->expire();
        });
    }

    /// Fails the calls and closes the idle connections that are due.
    void expire()
    {
        timerExpiry.reset();
        const auto now = Common::boot_clock::now();
        std::vector<connection_pointer> due;
        for (const auto& connection : open) {
            if (connection->expiry <= now)
                due.push_back(connection);
        }
        std::vector<pending_call> unsent;
        std::erase_if(waiting, [now, &unsent](pending_call& call) {
            if (call.deadline > now)
                return false;
            unsent.push_back(std::move(call));
            return true;
        });
        for (const auto& connection : due) {
            if (!connection->current)
                close(connection);
        }
        for (const auto& call : unsent)
            call.handler({ .response = std::nullopt, .failure = call_failure::NotSent });
        for (const auto& connection : due)
            fail(connection);
        for (const auto& connection : open)
            expireAt(connection->expiry);
        for (const auto& call : waiting)
            expireAt(call.deadline);
    }

    void connect(const connection_pointer& connection)
    {
        ++opened;
        connection->expiry = std::min(connection->current->deadline, Common::boot_clock::now() + options.connectTimeout);
        expireAt(connection->expiry);
        error_code error;
        const tcp::endpoint server(boost::asio::ip::make_address(options.server.host, error), options.server.port);
        if (error) {
            failLater(connection);
            return;
        }
        connection->socket.async_connect(server, [pool = shared_from_this(), connection](const error_code& failed) {
            if (!connection->current)
                return;
            if (failed) {
                pool->fail(connection);
                return;
            }
            setSocketOptions(connection);
            connection->isConnected = true;
            connection->expiry = connection->current->deadline;
            pool->expireAt(connection->expiry);
            pool->send(connection);
        });
    }

    static void setSocketOptions(const connection_pointer& connection)
    {
        error_code ignored;
        connection->socket.non_blocking(true, ignored);
        connection->socket.set_option(tcp::no_delay(true), ignored);
        const int handle = connection->socket.native_handle();
        ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof tcpUserTimeoutMs);
    }

    void send(const connection_pointer& connection)
    {
        auto& outgoing = connection->outgoing;
        writeRequest(outgoing, connection->current->request, options.server.host);
        error_code failed;
        const auto sent = connection->socket.write_some(boost::asio::buffer(outgoing), failed);
        if (failed && failed != boost::asio::error::would_block) {
            failLater(connection);
            return;
        }
        connection->wasSent = true;
        connection->sentBytes = sent;
        if (sent == outgoing.size()) {
            receive(connection);
            return;
        }
        boost::asio::async_write(connection->socket, boost::asio::buffer(outgoing) + sent,
            [pool = shared_from_this(), connection](const error_code& error, std::size_t size) {
                if (!connection->current)
                    return;
                connection->sentBytes += size;
                if (error)
                    pool->fail(connection);
                else
                    pool->receive(connection);
            });
    }

    void receive(const connection_pointer& connection)
    {
        connection->parser.emplace();
        readMore(connection);
    }

    void readMore(const connection_pointer& connection)
    {
        const auto size = boost::beast::read_size(connection->buffer, maxReadBytes);
        connection->socket.async_read_some(connection->buffer.prepare(size),
            [pool = shared_from_this(), connection](const error_code& failed, std::size_t received) {
                if (connection->current)
                    pool->onRead(connection, failed, received);
            });
    }

    void onRead(const connection_pointer& connection, const error_code& failed, std::size_t received)
    {
        connection->buffer.commit(received);
        connection->receivedBytes += received;
        const auto progress = failed == boost::asio::error::eof
            ? connection->parser->finishAtEnd()
            : connection->parser->parse(connection->buffer);
        if (progress == parse_progress::Complete)
            finish(connection);
        else if (failed || progress == parse_progress::Malformed)
            fail(connection);
        else
            readMore(connection);
    }

    void finish(const connection_pointer& connection)
    {
        meter(connection);
        const auto handler = std::move(connection->current->handler);
        connection->current.reset();
        // Bytes after the response can't belong to a later one.
        if (connection->parser->keep_alive() && connection->buffer.size() == 0)
            keepIdle(connection);
        else
            close(connection);
        handler({ .response = connection->parser->release() });
        startQueuedCalls();
    }

    void keepIdle(const connection_pointer& connection)
    {
        idle.push_back(connection);
        connection->expiry = Common::boot_clock::now() + options.idleTimeout;
        expireAt(connection->expiry);
    }

    void close(const connection_pointer& connection)
    {
        error_code ignored;
        connection->socket.close(ignored);
        std::erase(idle, connection);
        open.erase(connection);
    }

    void meter(const connection_pointer& connection) const
    {
        if (options.meter)
            options.meter->add(connection->current->request.kind, connection->sentBytes, connection->receivedBytes);
    }

    /// Fails the call from the event loop, so that no handler is called before call() returns.
    void failLater(const connection_pointer& connection)
    {
        boost::asio::post(context, [pool = shared_from_this(), connection] { pool->fail(connection); });
    }

    /// Fails the call and closes its connection.
    void fail(const connection_pointer& connection)
    {
        if (!connection->current)
            return;
        meter(connection);
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
    steady_timer timer;
    /// When `timer` fires; empty when it isn't set.
    std::optional<Common::instant> timerExpiry;
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
