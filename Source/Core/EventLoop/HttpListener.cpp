#include "EventLoop/HttpListener.h"

#include "EventLoop/EventLoop.h"
#include "EventLoop/TrafficMeter.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

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
        session(tcp::socket socket, std::shared_ptr<state> owner)
            : stream(std::move(socket))
            , parent(std::move(owner))
        {
        }

        void readRequest()
        {
            stream.expires_after(parent->limits.requestTimeout);
            readMessage();
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
                    if (failed && !self->hasInput()) {
                        self->close();
                        return;
                    }
                    self->buffer.commit(size);
                    self->readRequest();
                });
        }

        void readMessage()
        {
            isIdle = false;
            parser.emplace();
            parser->header_limit(parent->limits.headerBytes);
            parser->body_limit(parent->limits.bodyBytes);
            http::async_read(
                stream, buffer, *parser, [self = shared_from_this()](const error_code& failed, std::size_t size) {
                    self->receivedBytes = size;
                    if (!failed)
                        self->handle();
                    else if (failed == http::error::body_limit)
                        self->reject(http::status::payload_too_large);
                    else if (failed == http::error::header_limit)
                        self->reject(http::status::request_header_fields_too_large);
                    else if (failed == http::error::end_of_stream || failed == beast::error::timeout
                        || failed == boost::asio::error::connection_reset)
                        self->close();
                    else
                        self->reject(http::status::bad_request);
                });
        }

        void handle()
        {
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
                    self->parent->countMessages(size, self->receivedBytes);
                    self->endRequest();
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

        void reject(http::status status)
        {
            isKeepAlive = false;
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
            error_code ignored;
            stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
            stream.socket().close(ignored);
            parent->sessions.erase(shared_from_this());
        }

        /// Size of the read that waits for a request.
        static constexpr std::size_t firstReadBytes = 2048;
        beast::tcp_stream stream;
        std::shared_ptr<state> parent;
        beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        http::response<http::string_body> response;
        std::size_t receivedBytes { 0 };
        bool isKeepAlive { true };
        bool isIdle { false };
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
        if (isClosed || sessions.size() >= limits.connections)
            return;
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto opened = std::make_shared<session>(std::move(socket), shared_from_this());
        sessions.insert(opened);
        opened->awaitRequest();
    }

    void drain()
    {
        isDraining = true;
        acceptWaiting();
        error_code ignored;
        acceptor.close(ignored);
        for (const auto& open : sessions)
            open->closeIfIdle();
    }

    void answerOpen(const http_response& reply)
    {
        lastAnswer = reply;
        drain();
        const auto current = sessions;
        for (const auto& open : current) {
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
        for (const auto& open : current)
            open->close();
    }

    event_loop& loop;
    Common::endpoint address;
    listener_limits limits;
    request_handler handler;
    traffic_meter* meter;
    std::string kind;
    tcp::acceptor acceptor;
    std::set<std::shared_ptr<session>> sessions;
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

}
