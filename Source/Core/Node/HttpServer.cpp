#include "Node/HttpServer.h"

#include <httplib.h>

namespace Node {

namespace {

    constexpr const char* jsonType = "application/json";
    constexpr const char* keyHeader = "X-Loft-Key";
    /// Idle connections are closed after this time, to free their thread.
    constexpr std::time_t idleSeconds = 3;
    constexpr std::size_t maxCallsPerConnection = 1'000'000;

    /// The library's default is 5, and a connection dropped from a full backlog can hang for a minute.
    constexpr int listenBacklog = 512;

    http_call toCall(const httplib::Request& request)
    {
        http_call call { .body = request.body, .key = request.get_header_value(keyHeader), .rest = {} };
        if (request.matches.size() > 1)
            call.rest = request.matches[1].str();
        return call;
    }

    void answerWith(const http_server::handler& handle, const httplib::Request& request, httplib::Response& response)
    {
        http_answer answer = handle(toCall(request));
        response.status = answer.status;
        response.set_content(std::move(answer.body), jsonType);
    }

}

/// The library's server with a longer listen backlog.
class backlog_server final : public httplib::Server {
public:
    bool setBacklog() { return ::listen(svr_sock_, listenBacklog) == 0; }
};

http_server::http_server(const options& chosen)
    : m_options(chosen)
    , m_server(std::make_unique<backlog_server>())
{
    const std::size_t threads = m_options.threads;
    m_server->new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
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
    m_server->Post(path, [handle = std::move(handle)](const httplib::Request& request, httplib::Response& response) {
        answerWith(handle, request, response);
    });
}

void http_server::onGet(const std::string& pathPrefix, handler handle)
{
    m_server->Get(pathPrefix + "(.*)",
        [handle = std::move(handle)](const httplib::Request& request, httplib::Response& response) {
            answerWith(handle, request, response);
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
