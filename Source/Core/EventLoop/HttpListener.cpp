#include "EventLoop/HttpListener.h"

#include "EventLoop/EventLoop.h"

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

    /// Pause after a failed accept, for example without free descriptors.
    constexpr Common::millis acceptPause { 50 };

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

        void readFirst()
        {
            stream.expires_after(parent->limits.requestTimeout);
            read();
        }

        void readNext()
        {
            // The wait for a further request is bounded by the idle timeout, its reading by the request timeout.
            stream.expires_after(parent->limits.idleTimeout);
            isIdle = true;
            if (buffer.size() > 0) {
                readFirst();
                return;
            }
            stream.async_read_some(buffer.prepare(chunkBytes),
                [self = shared_from_this()](const error_code& failed, std::size_t size) {
                    if (failed) {
                        self->close();
                        return;
                    }
                    self->buffer.commit(size);
                    self->readFirst();
                });
        }

        void read()
        {
            isIdle = false;
            parser.emplace();
            parser->header_limit(parent->limits.headerBytes);
            parser->body_limit(parent->limits.bodyBytes);
            http::async_read(
                stream, buffer, *parser, [self = shared_from_this()](const error_code& failed, std::size_t) {
                    if (!failed)
                        self->handle();
                    else if (failed == http::error::body_limit)
                        self->refuse(http::status::payload_too_large);
                    else if (failed == http::error::header_limit)
                        self->refuse(http::status::request_header_fields_too_large);
                    else if (failed == http::error::end_of_stream || failed == beast::error::timeout
                        || failed == boost::asio::error::connection_reset)
                        self->close();
                    else
                        self->refuse(http::status::bad_request);
                });
        }

        void handle()
        {
            auto message = parser->release();
            isKept = message.keep_alive();
            stream.expires_never();
            ++parent->openRequests;
            isAnswering = true;
            const auto request = toRequest(std::move(message));
            parent->handler(
                request, [self = shared_from_this()](const http_response& answer) { self->respond(answer); });
        }

        void respond(const http_response& answer)
        {
            response = {};
            response.version(11);
            response.result(static_cast<unsigned>(answer.status));
            response.set(http::field::content_type, answer.contentType);
            for (const auto& header : answer.headers)
                response.set(header.name, header.value);
            response.body() = answer.body;
            isKept = isKept && !parent->isDraining;
            response.keep_alive(isKept);
            response.prepare_payload();
            stream.expires_after(parent->limits.idleTimeout);
            http::async_write(
                stream, response, [self = shared_from_this()](const error_code& failed, std::size_t) {
                    self->answered();
                    if (failed || !self->isKept)
                        self->close();
                    else
                        self->readNext();
                });
        }

        void answered()
        {
            if (!isAnswering)
                return;
            isAnswering = false;
            --parent->openRequests;
        }

        void refuse(http::status status)
        {
            isKept = false;
            respond({ .status = static_cast<int>(status) });
        }

        void close()
        {
            error_code ignored;
            stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
            stream.socket().close(ignored);
            parent->sessions.erase(shared_from_this());
        }

        /// Bytes read at a time while a request is awaited.
        static constexpr std::size_t chunkBytes = 2048;
        beast::tcp_stream stream;
        std::shared_ptr<state> parent;
        beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        http::response<http::string_body> response;
        bool isKept { true };
        bool isIdle { false };
        bool isAnswering { false };
    };

    state(event_loop& owner, const Common::endpoint& where, const listener_limits& bounds, request_handler action)
        : loop(owner)
        , address(where)
        , limits(bounds)
        , handler(std::move(action))
        , acceptor(owner.context())
    {
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
            if (self->isDraining)
                return;
            if (failed) {
                self->loop.after(acceptPause, [self] { self->accept(); });
                return;
            }
            self->welcome(std::move(socket));
            self->accept();
        });
    }

    void welcome(tcp::socket socket)
    {
        if (sessions.size() >= limits.connections)
            return;
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto opened = std::make_shared<session>(std::move(socket), shared_from_this());
        sessions.insert(opened);
        opened->readNext();
    }

    void drain()
    {
        isDraining = true;
        error_code ignored;
        acceptor.close(ignored);
        const auto current = sessions;
        for (const auto& open : current) {
            if (open->isIdle)
                open->close();
        }
    }

    /// Sessions and this state hold each other, so they are parted before the end.
    void closeAll()
    {
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
    tcp::acceptor acceptor;
    std::set<std::shared_ptr<session>> sessions;
    std::size_t openRequests { 0 };
    bool isDraining { false };
};

http_listener::http_listener(
    event_loop& loop, const Common::endpoint& address, const listener_limits& limits, request_handler handler)
    : m_state(std::make_shared<state>(loop, address, limits, std::move(handler)))
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

std::size_t http_listener::openRequests() const { return m_state->openRequests; }

}
