#include "Node/LogLoops.h"

#include "Common/Hashing.h"
#include "Common/Logging.h"
#include "Membership/ShardPlan.h"

#include <algorithm>

namespace Node {

namespace {

    /// Maximum wait of one read for new records; bounds the age of an idle view.
    constexpr Common::millis readWait { 700 };
    constexpr Common::millis retryDelay { 100 };
    /// Minimum time between appends, which keeps a deployment within the log's append rate.
    constexpr Common::millis appendInterval { 15 };
    constexpr Common::millis commandWait { 200 };
    constexpr std::size_t snapshotChunkBytes = 128 * 1024;

}

log_loops::log_loops(node_context& context, std::unique_ptr<PlatformLog::log_service> reader,
    std::unique_ptr<PlatformLog::log_service> appender)
    : m_context(context)
    , m_reader(std::move(reader))
    , m_appender(std::move(appender))
{
}

log_loops::~log_loops()
{
    stop();
}

void log_loops::start()
{
    m_readThread = std::thread([this] { readAll(); });
    m_appendThread = std::thread([this] { appendAll(); });
}

void log_loops::stop()
{
    m_stopping = true;
    m_context.notifyAll();
    if (m_readThread.joinable())
        m_readThread.join();
    if (m_appendThread.joinable())
        m_appendThread.join();
}

void log_loops::readAll()
{
    while (!m_stopping) {
        Common::log_offset next;
        {
            const auto lock = m_context.lock();
            next = m_context.replica().next();
        }
        const auto began = Common::boot_clock::now();
        const auto page = m_reader->read(next, readWait);
        if (!page) {
            std::this_thread::sleep_for(retryDelay);
            continue;
        }
        const auto lock = m_context.lock();
        const bool wasReadable = m_context.replica().lastReason() == Fleet::replica_failure::None;
        m_context.onPage(*page, began);
        if (wasReadable && m_context.replica().lastReason() != Fleet::replica_failure::None)
            Common::writeLog(Common::log_level::Error, Common::log_category::PlatformLog,
                "the platform log can't be applied: records are missing or too new; this daemon stops serving");
    }
}

void log_loops::appendAll()
{
    auto lastAppend = std::chrono::steady_clock::now();
    while (!m_stopping) {
        waitForCommands();
        // A command for an idle log is appended at once; under load commands are batched.
        std::this_thread::sleep_until(lastAppend + appendInterval);
        std::vector<Fleet::command> commands;
        {
            const auto lock = m_context.lock();
            commands = m_context.commit().takeBatch();
        }
        lastAppend = std::chrono::steady_clock::now();
        if (!commands.empty() && !appendOnce(commands))
            std::this_thread::sleep_for(retryDelay);
        writeSnapshotIfDue();
    }
}

void log_loops::waitForCommands()
{
    auto lock = m_context.lock();
    if (!m_context.commit().isReady())
        m_context.waitForCommands(lock, commandWait);
}

bool log_loops::appendOnce(const std::vector<Fleet::command>& commands)
{
    Common::process_id self;
    {
        const auto lock = m_context.lock();
        self = m_context.self();
    }
    const Fleet::envelope record { .at = Common::wallNow(), .by = self, .commands = commands };
    const auto began = Common::boot_clock::now();
    const auto offset = m_appender->append(Fleet::encodeRecord(record));
    const auto now = Common::boot_clock::now();
    const auto lock = m_context.lock();
    ++m_appends;
    if (offset) {
        m_context.commit().onAppended();
        m_context.leases().onLogResponse(now);
        if (renews(commands, self) && self == m_context.self())
            m_context.leases().onRenewalAppended(*offset, began);
        return true;
    }
    if (m_appender->lastReason() == PlatformLog::log_failure::MaybeAppended)
        m_context.commit().onMaybeAppended(now);
    else
        m_context.commit().onNotAppended();
    return false;
}

bool log_loops::renews(const std::vector<Fleet::command>& commands, const Common::process_id& self)
{
    return std::ranges::any_of(commands, [&self](const Fleet::command& sent) {
        const auto* const renewal = std::get_if<Fleet::renew_member>(&sent.body);
        const auto* const join = std::get_if<Fleet::join_member>(&sent.body);
        return (renewal && renewal->process == self) || (join && join->info.process == self);
    });
}

bool log_loops::isSnapshotDue() const
{
    const auto& state = m_context.state();
    const auto last = std::max(m_context.replica().snapshotThrough(), m_lastSnapshotAt);
    const bool isWriter = Membership::preferredHolder(state, { "snapshot" }) == m_context.self();
    return isWriter && state.applied.value - last.value >= m_context.settings().snapshotEvery;
}

void log_loops::writeSnapshotIfDue()
{
    std::vector<Fleet::snapshot_chunk> chunks;
    {
        const auto lock = m_context.lock();
        if (!isSnapshotDue())
            return;
        m_lastSnapshotAt = m_context.state().applied;
        chunks = Fleet::splitSnapshot(m_context.state(), Common::randomId(), snapshotChunkBytes);
    }
    for (const auto& chunk : chunks) {
        // A snapshot with a missing chunk is ignored by readers; the next snapshot replaces it.
        if (!m_appender->append(Fleet::encodeRecord(chunk)))
            return;
        std::this_thread::sleep_for(appendInterval);
    }
}

}
