#include "Node/BoundedServer.h"

#include "Common/Clock.h"
#include "Common/Logging.h"
#include "Node/MeteredStream.h"

namespace Node {

namespace {

    /// The library's default is 5, and a connection dropped from a full backlog can hang for a minute.
    constexpr int listenBacklog = 512;
    constexpr Common::millis idlePoll { 100 };
    constexpr Common::millis reportInterval { 1000 };

    /// Whether the connection that this thread is about to process has no place to wait.
    thread_local bool isRefused = false;
    thread_local bool isLastAnswer = false;

    /// The library's pool of threads with a limit on the connections that wait for one.
    class bounded_queue final : public httplib::TaskQueue {
    public:
        bounded_queue(std::size_t threads, std::size_t waiting)
            : m_maxWaiting(waiting)
            , m_pool(threads)
        {
        }

        void enqueue(std::function<void()> task) override
        {
            if (m_waiting.load() >= m_maxWaiting) {
                isRefused = true;
                task();
                isRefused = false;
                return;
            }
            ++m_waiting;
            m_pool.enqueue([this, task = std::move(task)] {
                --m_waiting;
                task();
            });
        }

        void shutdown() override { m_pool.shutdown(); }

    private:
        std::size_t m_maxWaiting;
        std::atomic<std::size_t> m_waiting { 0 };
        httplib::ThreadPool m_pool;
    };

}

bounded_server::bounded_server(const bounded_server_options& options)
    : m_options(options)
{
    new_task_queue = [options] { return new bounded_queue(options.threads, options.waitingConnections); };
}

bool bounded_server::setBacklog() { return ::listen(svr_sock_, listenBacklog) == 0; }

void bounded_server::closeAfterAnswer() { isLastAnswer = true; }

bool bounded_server::process_and_close_socket(socket_t socket)
{
    if (isRefused)
        reportClosed("connections", 0);
    else
        serve(socket);
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

void bounded_server::serve(socket_t socket)
{
    metered_stream stream({ .socket = socket,
        .readTimeout = std::chrono::seconds(read_timeout_sec_),
        .writeTimeout = std::chrono::seconds(write_timeout_sec_),
        .input = m_options.input,
        .total = m_receivingBytes });
    for (std::size_t left = keep_alive_max_count_; left > 0; --left) {
        const auto giveUpAt = Common::boot_clock::now() + std::chrono::seconds(keep_alive_timeout_sec_);
        while (svr_sock_ != INVALID_SOCKET && !stream.hasInput(idlePoll)) {
            if (Common::boot_clock::now() > giveUpAt)
                return;
        }
        if (svr_sock_ == INVALID_SOCKET)
            return;
        bool isClosed = false;
        isLastAnswer = false;
        stream.beginRequest();
        const bool isServed = process_request(stream, left == 1, isClosed, nullptr);
        if (stream.isExceeded())
            reportClosed("request_bytes", stream.requestBytes());
        stream.endRequest();
        if (!isServed || isClosed || isLastAnswer || stream.isBroken())
            return;
    }
}

void bounded_server::reportClosed(const char* reason, std::size_t bytes)
{
    const auto closed = ++m_closed;
    const auto now = std::chrono::duration_cast<Common::millis>(Common::boot_clock::now().time_since_epoch()).count();
    auto last = m_reportedAt.load();
    if ((last != 0 && now < last + reportInterval.count()) || !m_reportedAt.compare_exchange_strong(last, now))
        return;
    Common::writeEvent(Common::log_level::Warning, Common::log_category::Requests, "connections_closed",
        { { "reason", reason }, { "closed_so_far", std::to_string(closed) }, { "bytes", std::to_string(bytes) },
            { "receiving_bytes", std::to_string(m_receivingBytes.load()) },
            { "max_receiving_bytes", std::to_string(m_options.input.totalBytes) } });
}

}
