#include "EventLoop/ResponseParser.h"

#include <boost/beast/http/error.hpp>

namespace EventLoop {

namespace http = boost::beast::http;

namespace {

    /// Reads of the log have the largest responses.
    constexpr std::uint64_t maxResponseBytes = 16ULL * 1024 * 1024;

}

response_parser::response_parser()
{
    eager(true);
    body_limit(maxResponseBytes);
}

parse_progress response_parser::parse(boost::beast::flat_buffer& buffer)
{
    error_code failed;
    if (buffer.size() > 0 && !is_done())
        buffer.consume(put(buffer.data(), failed));
    return progress(failed);
}

parse_progress response_parser::finishAtEnd()
{
    error_code failed;
    if (!got_some())
        return parse_progress::Malformed;
    put_eof(failed);
    return progress(failed);
}

parse_progress response_parser::progress(const error_code& failed) const
{
    if (failed && failed != http::error::need_more)
        return parse_progress::Malformed;
    return is_done() ? parse_progress::Complete : parse_progress::Incomplete;
}

void response_parser::on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& failed)
{
    // Beast calls this before it reports a length above its limit.
    if (length && *length > maxResponseBytes)
        failed = http::error::body_limit;
    else if (length)
        m_response.body.reserve(static_cast<std::size_t>(*length));
}

std::size_t response_parser::on_body_impl(string_view part, error_code&)
{
    m_response.body.append(part.data(), part.size());
    return part.size();
}

std::size_t response_parser::on_chunk_body_impl(std::uint64_t /*remaining*/, string_view part, error_code&)
{
    m_response.body.append(part.data(), part.size());
    return part.size();
}

}
