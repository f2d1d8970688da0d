#include "EventLoop/HttpListener.h"

#include "EventLoop/ClosingReport.h"
#include "EventLoop/EventLoop.h"
#include "EventLoop/TrafficMeter.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>

namespace EventLoop {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using tcp = boost::asio::ip::tcp;
    using error_code = boost::system::error_code;

    /// Delay after a failed accept, for example when no file descriptor is free.
    constexpr Common::millis acceptRetryDelay { 50 };
    /// How long a draining listener waits for the first request on a new connection.
    constexpr Common::millis firstRequestWait { 500 };

    http_request toRequest(http::request<http::string_body>&& message)
    {
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto& field : message)
            request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        request.body = std::move(message.body());
        return request;
    }

}

struct http_listener::state : std::enable_shared_from_this<state> {
    struct session : std::enable_shared_from_this<session> {
        session(tcp::socket socket, std::shared_ptr<state> owner, connection_number assigned)
            : stream(std::move(socket))
            , parent(std::move(owner))
            , number(assigned)
            , buffer(bufferParts * parent->limits.headerBytes)
        {
        }

        void readRequest()
        {
            stream.expires_after(parent->limits.requestTimeout);
            isIdle = false;
            receivedBytes = 0;
            parser.emplace();
            parser->header_limit(parent->limits.headerBytes);
            parser->body_limit(parent->limits.bodyBytes);
            parser->eager(true);
            parent->budget.beginRequest(number, Common::boot_clock::now());
            parseInput();
        }

        void awaitRequest()
        {
            // The idle timeout bounds the wait for a request, the request timeout the reading of it.
            stream.expires_after(parent->limits.idleTimeout);
            isIdle = true;
            if (buffer.size() > 0) {
                readRequest();
                return;
            }
            stream.async_read_some(buffer.prepare(firstReadBytes),
                [self = shared_from_this()](const error_code& failed, std::size_t size) {
                    if (self->isClosed)
                        return;
                    if (failed && !self->hasInput()) {
                        self->close();
                        return;
                    }
                    self->buffer.commit(size);
                    self->readRequest();
                });
        }

        void parseInput()
        {
            error_code failed;
            if (buffer.size() > 0) {
                const auto used = parser->put(buffer.data(), failed);
                buffer.consume(used);
                receivedBytes += used;
            }
            if (failed == http::error::need_more)
                failed = {};
            if (!holdInput())
                return;
            if (failed)
                endReading(failed);
            else if (parser->is_done())
                handle();
            else if (receivedBytes > parent->limits.messageBytes())
                endReading(http::error::body_limit);
            else if (buffer.size() == buffer.max_size())
                endReading(http::error::buffer_overflow);
            else
                readMore();
        }

        void readMore()
        {
            const auto size = beast::read_size(buffer, maxReadBytes);
            stream.async_read_some(
                buffer.prepare(size), [self = shared_from_this()](const error_code& failed, std::size_t received) {
                    if (self->isClosed)
                        return;
                    self->buffer.commit(received);
                    if (failed)
                        self->endReading(failed);
                    else
                        self->parseInput();
                });
        }

        /// False when the connection was closed since too much is held.
        bool holdInput()
        {
            const auto& body = parser->get().body();
            // The fields of the header are held beside the bytes of the buffer.
            const auto headerBytes = std::min<std::size_t>(receivedBytes, parent->limits.headerBytes);
            parent->hold(number, buffer.capacity() + body.capacity() + headerBytes);
            return !isClosed;
        }

        void endReading(const error_code& failed)
        {
            if (failed == http::error::body_limit)
                reject(http::status::payload_too_large);
            else if (failed == http::error::header_limit || failed == http::error::buffer_overflow)
                reject(http::status::request_header_fields_too_large);
            else if (failed == boost::asio::error::eof && parser->got_some())
                reject(http::status::bad_request);
            else if (failed == boost::asio::error::eof || failed == beast::error::timeout
                || failed == boost::asio::error::connection_reset)
                close();
            else
                reject(http::status::bad_request);
        }

        void handle()
        {
            parent->budget.beginAnswer(number);
            auto message = parser->release();
            isKeepAlive = message.keep_alive();
            stream.expires_never();
            ++parent->openRequests;
            hasOpenRequest = true;
            isAnswered = false;
            hasHadRequest = true;
            if (parent->lastAnswer) {
                respond(*parent->lastAnswer);
                return;
            }
            const auto request = toRequest(std::move(message));
            parent->handler(request, [self = shared_from_this()](const http_response& reply) {
                if (!self->isAnswered)
                    self->respond(reply);
            });
        }

        void respond(const http_response& reply)
        {
            isAnswered = true;
            response = {};
            response.version(11);
            response.result(static_cast<unsigned>(reply.status));
            response.set(http::field::content_type, reply.contentType);
            for (const auto& header : reply.headers)
                response.set(header.name, header.value);
            response.body() = reply.body;
            isKeepAlive = isKeepAlive && (!parent->isDraining || hasInput());
            response.keep_alive(isKeepAlive);
            response.prepare_payload();
            stream.expires_after(parent->limits.idleTimeout);
            http::async_write(
                stream, response, [self = shared_from_this()](const error_code& failed, std::size_t size) {
                    if (self->isClosed)
                        return;
                    self->parent->countMessages(size, self->receivedBytes);
                    self->endRequest();
                    self->parent->budget.endAnswer(self->number, Common::boot_clock::now());
                    self->shrinkBuffer();
                    if (failed || !self->isKeepAlive)
                        self->close();
                    else
                        self->awaitRequest();
                });
        }

        void endRequest()
        {
            if (!hasOpenRequest)
                return;
            hasOpenRequest = false;
            --parent->openRequests;
        }

        /// An idle connection keeps no more than it needs to wait for a request.
        void shrinkBuffer()
        {
            if (buffer.size() > 0 || buffer.capacity() <= firstReadBytes)
                return;
            buffer.clear();
            buffer.shrink_to_fit();
        }

        void reject(http::status status)
        {
            isKeepAlive = false;
            ++parent->use.rejected;
            parent->budget.beginAnswer(number);
            respond({ .status = static_cast<int>(status) });
        }

        /// Whether bytes have arrived that aren't part of the requests so far.
        bool hasInput() const
        {
            error_code error;
            return buffer.size() > 0 || (stream.socket().available(error) > 0 && !error);
        }

        /// Closes the connection if it waits for a request and none has arrived or is soon to be expected.
        void closeIfIdle()
        {
            const bool isNew = !hasHadRequest && Common::boot_clock::now() < openedAt + firstRequestWait;
            // A read that has already completed is delivered in spite of this.
            if (isIdle && !isNew && !hasInput())
                stream.cancel();
        }

        void close()
        {
            if (std::exchange(isClosed, true))
                return;
            endRequest();
            error_code ignored;
            stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
            stream.socket().close(ignored);
            parent->budget.release(number);
            parent->sessions.erase(number);
        }

        /// Size of the read that waits for a request.
        static constexpr std::size_t firstReadBytes = 2048;
        static constexpr std::size_t maxReadBytes = 65536;
        /// The buffer holds a header, or the trailers of a chunked body, and what follows.
        static constexpr std::size_t bufferParts = 2;
        beast::tcp_stream stream;
        std::shared_ptr<state> parent;
        const connection_number number;
        beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        http::response<http::string_body> response;
        std::size_t receivedBytes { 0 };
        bool isKeepAlive { true };
        bool isIdle { false };
        bool isClosed { false };
        bool hasOpenRequest { false };
        bool isAnswered { false };
        bool hasHadRequest { false };
        const Common::instant openedAt { Common::boot_clock::now() };
    };

    state(event_loop& owner, const Common::endpoint& where, const listener_limits& bounds, request_handler action,
        traffic_meter* counts, const std::string& callKind)
        : loop(owner)
        , address(where)
        , limits(bounds)
        , handler(std::move(action))
        , meter(counts)
        , kind(callKind)
        , acceptor(owner.context())
        , budget(bounds.budget)
    {
    }

    void countMessages(std::size_t sentBytes, std::size_t receivedBytes) const
    {
        if (meter)
            meter->add(kind, sentBytes, receivedBytes);
    }

    bool bind()
    {
        error_code error;
        const tcp::endpoint local(boost::asio::ip::make_address(address.host, error), address.port);
        if (error)
            return false;
        acceptor.open(local.protocol(), error);
        if (!error)
            acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
        if (!error)
            acceptor.bind(local, error);
        if (!error)
            acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
        return !error;
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](const error_code& failed, tcp::socket socket) {
            if (!failed)
                self->addSession(std::move(socket));
            if (self->isDraining)
                return;
            if (failed) {
                self->loop.after(acceptRetryDelay, [self] { self->accept(); });
                return;
            }
            self->accept();
        });
    }

    /// Accepts the connections that are already established.
    void acceptWaiting()
    {
        error_code error;
        acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(loop.context());
            acceptor.accept(socket, error);
            if (!error)
                addSession(std::move(socket));
        }
    }

    void addSession(tcp::socket socket)
    {
        if (isClosed)
            return;
        const connection_number number { ++lastNumber };
        const auto decision = budget.admit(number, Common::boot_clock::now());
        if (decision.replaced)
            closeFor(*decision.replaced);
        if (!decision.isAdmitted) {
            ++use.notAdmitted;
            return;
        }
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto opened = std::make_shared<session>(std::move(socket), shared_from_this(), number);
        sessions.emplace(number, opened);
        opened->awaitRequest();
    }

    void hold(connection_number number, std::size_t bytes)
    {
        for (const auto& order : budget.hold(number, bytes, Common::boot_clock::now()))
            closeFor(order);
    }

    void closeFor(const closing_order& order)
    {
        ++(order.reason == closing_reason::HeldBytes ? use.closedForBytes : use.closedForConnections);
        report.add(order, budget, Common::boot_clock::now());
        const auto found = sessions.find(order.connection);
        if (found != sessions.end())
            std::shared_ptr<session>(found->second)->close();
    }

    void drain()
    {
        isDraining = true;
        acceptWaiting();
        error_code ignored;
        acceptor.close(ignored);
        for (const auto& [number, open] : sessions)
            open->closeIfIdle();
    }

    void answerOpen(const http_response& reply)
    {
        lastAnswer = reply;
        drain();
        const auto current = sessions;
        for (const auto& [number, open] : current) {
            if (open->hasOpenRequest && !open->isAnswered)
                open->respond(reply);
        }
    }

    /// Sessions and this state own each other; closing the sessions ends the cycle.
    void closeAll()
    {
        isClosed = true;
        drain();
        const auto current = std::move(sessions);
        sessions.clear();
        for (const auto& [number, open] : current)
            open->close();
    }

    event_loop& loop;
    Common::endpoint address;
    listener_limits limits;
    request_handler handler;
    traffic_meter* meter;
    std::string kind;
    tcp::acceptor acceptor;
    std::map<connection_number, std::shared_ptr<session>> sessions;
    std::uint64_t lastNumber { 0 };
    request_budget budget;
    closing_report report;
    listener_use use;
    std::size_t openRequests { 0 };
    bool isDraining { false };
    bool isClosed { false };
    /// Answers all requests once it is set.
    std::optional<http_response> lastAnswer;
};

http_listener::http_listener(
    event_loop& loop, const Common::endpoint& address, const listener_limits& limits, request_handler handler,
    traffic_meter* meter, const std::string& kind)
    : m_state(std::make_shared<state>(loop, address, limits, std::move(handler), meter, kind))
{
}

http_listener::~http_listener() { m_state->closeAll(); }

bool http_listener::start()
{
    if (!m_state->bind())
        return false;
    m_state->accept();
    return true;
}

std::uint16_t http_listener::port() const { return m_state->acceptor.local_endpoint().port(); }

void http_listener::drain() { m_state->drain(); }

void http_listener::answerOpen(const http_response& reply) { m_state->answerOpen(reply); }

std::size_t http_listener::openRequests() const { return m_state->openRequests; }

std::size_t http_listener::openConnections() const { return m_state->sessions.size(); }

listener_use http_listener::use() const
{
    auto current = m_state->use;
    current.heldBytes = m_state->budget.heldBytes();
    return current;
}

}
