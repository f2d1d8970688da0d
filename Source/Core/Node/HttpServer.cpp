#include "Node/HttpServer.h"

#include "Node/BoundedServer.h"

namespace Node {

namespace {

    constexpr const char* jsonType = "application/json";
    constexpr const char* keyHeader = "X-Loft-Key";
    /// Idle connections are closed after this time, to free their thread.
    constexpr std::time_t idleSeconds = 3;
    constexpr std::size_t maxCallsPerConnection = 1'000'000;

    constexpr int badRequest = 400;
    constexpr int payloadTooLarge = 413;
    /// A body in chunks of a single byte takes six bytes for each.
    constexpr std::size_t framedBytesPerByte = 8;
    constexpr std::size_t waitingPerThread = 4;

    bounded_server_options boundsOf(const http_server::options& chosen)
    {
        const input_limits defaults;
        return { .threads = chosen.threads,
            .waitingConnections = waitingPerThread * chosen.threads,
            .input = { .messageBytes = defaults.headerBytes + framedBytesPerByte * chosen.maxBodyBytes,
                .totalBytes = chosen.receivingBytes } };
    }

    http_call toCall(const httplib::Request& request)
    {
        http_call call { .body = request.body, .key = request.get_header_value(keyHeader), .rest = {} };
        if (request.matches.size() > 1)
            call.rest = request.matches[1].str();
        return call;
    }

    void send(http_answer answer, httplib::Response& response)
    {
        response.status = answer.status;
        response.set_content(std::move(answer.body), jsonType);
    }

    /// Reads a body; the library doesn't limit the ones in chunks. Null with a status when it wasn't read to its end.
    std::optional<std::string> readBody(const httplib::ContentReader& read, std::size_t maxBytes, int& status)
    {
        std::string body;
        bool isTooLarge = false;
        const bool isRead = read([&](const char* bytes, std::size_t size) {
            isTooLarge = size > maxBytes - body.size();
            if (!isTooLarge)
                body.append(bytes, size);
            return !isTooLarge;
        });
        if (isRead)
            return body;
        bounded_server::closeAfterAnswer();
        status = isTooLarge ? payloadTooLarge : status;
        return std::nullopt;
    }

}

http_server::http_server(const options& chosen)
    : m_options(chosen)
    , m_server(std::make_unique<bounded_server>(boundsOf(chosen)))
{
    m_server->set_tcp_nodelay(true);
    m_server->set_keep_alive_max_count(maxCallsPerConnection);
    m_server->set_keep_alive_timeout(idleSeconds);
    m_server->set_read_timeout(idleSeconds);
    m_server->set_write_timeout(idleSeconds);
    m_server->set_payload_max_length(m_options.maxBodyBytes);
    // Replaces the library's default options, which let several listeners share one port.
    m_server->set_socket_options([](socket_t socket) {
        const int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    });
    m_server->set_error_handler(httplib::Server::Handler([](const httplib::Request&, httplib::Response& response) {
        if (response.body.empty())
            response.set_content("{\"error\":\"http_" + std::to_string(response.status) + "\"}", jsonType);
    }));
}

http_server::~http_server()
{
    stop();
}

void http_server::onPost(const std::string& path, handler handle)
{
    const auto maxBytes = m_options.maxBodyBytes;
    m_server->Post(path,
        [handle = std::move(handle), maxBytes](
            const httplib::Request& request, httplib::Response& response, const httplib::ContentReader& read) {
            // The library would need parts to be received one by one.
            if (request.is_multipart_form_data()) {
                response.status = badRequest;
                bounded_server::closeAfterAnswer();
                return;
            }
            auto body = readBody(read, maxBytes, response.status);
            if (!body)
                return;
            http_call call = toCall(request);
            call.body = std::move(*body);
            send(handle(call), response);
        });
}

void http_server::onGet(const std::string& pathPrefix, handler handle)
{
    m_server->Get(pathPrefix + "(.*)",
        [handle = std::move(handle)](const httplib::Request& request, httplib::Response& response) {
            send(handle(toCall(request)), response);
        });
}

bool http_server::start()
{
    if (!m_server->bind_to_port(m_options.address.host.c_str(), m_options.address.port))
        return false;
    m_server->setBacklog();
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    while (!m_server->is_running())
        std::this_thread::yield();
    return true;
}

void http_server::stop()
{
    m_server->stop();
    if (m_thread.joinable())
        m_thread.join();
}

}
