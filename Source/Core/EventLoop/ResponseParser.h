#pragma once

#include "EventLoop/HttpMessages.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace EventLoop {

enum class parse_progress {
    Incomplete,
    Complete,
    Malformed
};

/// Reads the status and the body of one response; headers are checked, but not kept.
class response_parser : public boost::beast::http::basic_parser<false> {
public:
    response_parser();

    /// Parses what is buffered, and removes it from the buffer.
    parse_progress parse(boost::beast::flat_buffer&);
    /// The server has closed the connection, which ends a body without a length.
    parse_progress finishAtEnd();
    http_response release() { return std::move(m_response); }

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    parse_progress progress(const error_code&) const;

    void on_request_impl(boost::beast::http::verb, string_view, string_view, int, error_code&) override { }
    void on_response_impl(int code, string_view, int, error_code&) override { m_response.status = code; }
    void on_field_impl(boost::beast::http::field, string_view, string_view, error_code&) override { }
    void on_header_impl(error_code&) override { }
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&) override;
    std::size_t on_body_impl(string_view, error_code&) override;
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override { }
    std::size_t on_chunk_body_impl(std::uint64_t remaining, string_view, error_code&) override;
    void on_finish_impl(error_code&) override { }

    http_response m_response;
};

}
