#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace EventLoop {

struct http_header {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method;
    /// Path and query string.
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    std::string contentType { "application/json" };
    /// Kind under which a client counts the traffic of the call.
    std::string kind;
};

struct http_response {
    int status { 0 };
    std::string body;
    std::vector<http_header> headers;
    std::string contentType { "application/json" };
};

/// Value of the first header with that name, compared without case. Empty when there is none.
std::string_view findHeader(const std::vector<http_header>&, std::string_view name);

/// Sends the response to one request; must be called once.
using responder = std::function<void(http_response)>;

}
