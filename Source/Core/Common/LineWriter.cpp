#include "Common/LineWriter.h"

#include <cerrno>
#include <condition_variable>
#include <mutex>
#include <poll.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Common {

struct line_writer::state {
    explicit state(line_writer_options writerOptions)
        : options(std::move(writerOptions))
    {
    }

    void run()
    {
        std::unique_lock guard(lock);
        while (true) {
            changed.wait(guard, [this] { return hasWork() || isStopping; });
            changed.wait_for(guard, options.flushInterval, [this] { return isUrgent || isStopping; });
            if (!hasWork())
                break;
            std::swap(pending, writing);
            isUrgent = false;
            if (const auto count = std::exchange(dropped, 0); count > 0 && options.reportDropped)
                writing += options.reportDropped(count) + '\n';
            guard.unlock();
            const bool isWritten = writeAll(writing);
            writing.clear();
            guard.lock();
            if (!isWritten) {
                isStopping = true;
                break;
            }
        }
        isEnded = true;
        ended.notify_all();
    }

    bool hasWork() const { return !pending.empty() || dropped > 0; }

    /// False when the descriptor failed, for example because its reader is gone.
    bool writeAll(std::string_view text) const
    {
        while (!text.empty()) {
            const auto written = ::write(options.descriptor, text.data(), text.size());
            if (written >= 0) {
                text.remove_prefix(static_cast<std::size_t>(written));
                continue;
            }
            if (errno == EAGAIN) {
                pollfd writable { .fd = options.descriptor, .events = POLLOUT, .revents = 0 };
                ::poll(&writable, 1, -1);
            } else if (errno != EINTR) {
                return false;
            }
        }
        return true;
    }

    line_writer_options options;
    std::mutex lock;
    std::condition_variable changed;
    std::condition_variable ended;
    std::string pending;
    /// Used by the thread only.
    std::string writing;
    std::uint64_t dropped { 0 };
    bool isUrgent { false };
    bool isStopping { false };
    bool isEnded { false };
    std::thread thread;
};

line_writer::line_writer(line_writer_options options)
    : m_state(std::make_shared<state>(std::move(options)))
{
    m_state->thread = std::thread([state = m_state] { state->run(); });
}

line_writer::~line_writer() { stop(); }

void line_writer::write(std::string_view line, bool isUrgent)
{
    auto& state = *m_state;
    const std::lock_guard guard(state.lock);
    if (state.isStopping)
        return;
    const bool wasIdle = !state.hasWork();
    if (state.pending.size() + line.size() > state.options.bufferBytes)
        ++state.dropped;
    else
        state.pending += line;
    // A buffer that is half full is written before the interval is over.
    const bool wasUrgent = std::exchange(
        state.isUrgent, state.isUrgent || isUrgent || state.pending.size() > state.options.bufferBytes / 2);
    if (wasIdle || wasUrgent != state.isUrgent)
        state.changed.notify_one();
}

bool line_writer::stop()
{
    std::unique_lock guard(m_state->lock);
    m_state->isStopping = true;
    m_state->changed.notify_one();
    const bool isWritten
        = m_state->ended.wait_for(guard, m_state->options.stopTimeout, [this] { return m_state->isEnded; });
    guard.unlock();
    if (!m_state->thread.joinable())
        return isWritten;
    if (isWritten)
        m_state->thread.join();
    else
        m_state->thread.detach();
    return isWritten;
}

}
