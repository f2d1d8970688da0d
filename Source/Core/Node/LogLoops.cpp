#include "Node/LogLoops.h"

#include "Common/Hashing.h"
#include "Common/Logging.h"
#include "Roster/ShardPlan.h"

#include <algorithm>

namespace Node {

namespace {

    /// Longest wait of one read for new records; bounds the age of an idle view.
    constexpr Common::millis readWait { 700 };
    constexpr Common::millis pauseAfterFailure { 100 };
    /// Least time between appends, which keeps a deployment within the log's append rate.
    constexpr Common::millis appendGap { 15 };
    constexpr Common::millis commandWait { 200 };
    constexpr std::size_t snapshotChunkBytes = 128 * 1024;

}

log_loops::log_loops(fleet_hub& hub, std::unique_ptr<PlatformLog::log_service> reader,
    std::unique_ptr<PlatformLog::log_service> appender)
    : m_hub(hub)
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
    m_hub.notifyAll();
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
            const auto lock = m_hub.hold();
            next = m_hub.replica().next();
        }
        const auto began = Common::boot_clock::now();
        const auto page = m_reader->read(next, readWait);
        if (!page) {
            std::this_thread::sleep_for(pauseAfterFailure);
            continue;
        }
        const auto lock = m_hub.hold();
        const bool wasWhole = m_hub.replica().lastReason() == Fleet::replica_failure::None;
        m_hub.onPage(*page, began);
        if (wasWhole && m_hub.replica().lastReason() != Fleet::replica_failure::None)
            Common::writeLog(Common::log_level::Error, Common::log_category::PlatformLog,
                "the log can't be followed: records are missing or too new; this daemon serves no more");
    }
}

void log_loops::appendAll()
{
    auto lastAppend = std::chrono::steady_clock::now();
    while (!m_stopping) {
        waitForCommands();
        // An idle log is written to at once, a busy one in groups.
        std::this_thread::sleep_until(lastAppend + appendGap);
        std::vector<Fleet::command> commands;
        {
            const auto lock = m_hub.hold();
            commands = m_hub.commit().take();
        }
        lastAppend = std::chrono::steady_clock::now();
        if (!commands.empty() && !appendOnce(commands))
            std::this_thread::sleep_for(pauseAfterFailure);
        writeSnapshotIfDue();
    }
}

void log_loops::waitForCommands()
{
    auto lock = m_hub.hold();
    if (!m_hub.commit().isReady())
        m_hub.waitForCommands(lock, commandWait);
}

bool log_loops::appendOnce(const std::vector<Fleet::command>& commands)
{
    Common::process_id self;
    {
        const auto lock = m_hub.hold();
        self = m_hub.self();
    }
    const Fleet::envelope record { .at = Common::wallNow(), .by = self, .commands = commands };
    const auto began = Common::boot_clock::now();
    const auto offset = m_appender->append(Fleet::encodeRecord(record));
    const auto now = Common::boot_clock::now();
    const auto lock = m_hub.hold();
    ++m_appends;
    if (offset) {
        m_hub.commit().onTaken();
        m_hub.keeper().onLogAnswered(now);
        if (renews(commands, self) && self == m_hub.self())
            m_hub.keeper().onRenewalTaken(*offset, began);
        return true;
    }
    if (m_appender->lastReason() == PlatformLog::log_failure::MaybeTaken)
        m_hub.commit().onMaybeTaken(now);
    else
        m_hub.commit().onNotTaken();
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
    const auto& state = m_hub.state();
    const auto last = std::max(m_hub.replica().snapshotThrough(), m_snapshotAsked);
    const bool isWriter = Roster::preferredHolder(state, { "snapshot" }) == m_hub.self();
    return isWriter && state.applied.value - last.value >= m_hub.settings().snapshotEvery;
}

void log_loops::writeSnapshotIfDue()
{
    std::vector<Fleet::snapshot_chunk> chunks;
    {
        const auto lock = m_hub.hold();
        if (!isSnapshotDue())
            return;
        m_snapshotAsked = m_hub.state().applied;
        chunks = Fleet::cutSnapshot(m_hub.state(), Common::randomId(), snapshotChunkBytes);
    }
    for (const auto& chunk : chunks) {
        // A part that is missing voids this snapshot; the next one makes up for it.
        if (!m_appender->append(Fleet::encodeRecord(chunk)))
            return;
        std::this_thread::sleep_for(appendGap);
    }
}

}
