#pragma once

#include "Common/Endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Node {

class bounded_server;

/// Answer to an HTTP call: a status and a JSON body.
struct http_answer {
    int status { 200 };
    std::string body;
};

/// HTTP call as passed to a handler.
struct http_call {
    std::string body;
    /// Value of the header `X-Loft-Key`; empty for none.
    std::string key;
    /// Rest of the path after the route's prefix.
    std::string rest;
};

/// One listener with its own threads.
class http_server {
public:
    struct options {
        Common::endpoint address;
        std::size_t threads { 8 };
        std::size_t maxBodyBytes { 1024 * 1024 };
        /// Bytes of all requests together that are being received.
        std::size_t receivingBytes { 16U * 1024 * 1024 };
    };
    using handler = std::function<http_answer(const http_call&)>;

    explicit http_server(const options&);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    void onPost(const std::string& path, handler);
    void onGet(const std::string& pathPrefix, handler);

    /// Binds and serves in a separate thread. False when the address can't be bound.
    bool start();
    /// Stops serving after the calls in progress are answered.
    void stop();

private:
    options m_options;
    std::unique_ptr<bounded_server> m_server;
    std::thread m_thread;
};

}
