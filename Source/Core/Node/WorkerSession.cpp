#include "Node/WorkerSession.h"

#include "Common/Hashing.h"
#include "Targets/HttpWorkerClient.h"

#include <algorithm>
#include <set>

namespace Node {

namespace {

    constexpr std::size_t maxStartsPerCall = 32;
    /// Maximum wait of a poll at the worker. With tasks it is bounded by their lease, which each poll renews; without
    /// tasks a longer wait reduces control traffic.
    constexpr Common::millis busyPollWait { 500 };
    constexpr Common::millis idlePollWait { 4000 };
    constexpr Common::millis retryDelay { 50 };
    /// The task counts as failed after so many damaged results.
    constexpr int maxBadResults = 5;

    bool isIntact(const Targets::finished_task& result)
    {
        const bool fullLength = result.length == static_cast<std::int64_t>(result.answer.size());
        return fullLength && Common::contentDigest(result.answer) == result.digest;
    }

}

worker_session::worker_session(parts chosen, Targets::listed_instance listed)
    : m_parts(chosen)
    , m_listed(std::move(listed))
    , m_starter(std::make_unique<Targets::http_worker_client>(m_listed.address, chosen.context.settings().callTimeout))
    , m_poller(std::make_unique<Targets::http_worker_client>(m_listed.address, chosen.context.settings().callTimeout))
    , m_leaseTracker(chosen.context.settings().timing.margin)
    , m_thread([this] { pollAll(); })
{
}

worker_session::~worker_session()
{
    m_stopping = true;
    m_thread.join();
}

void worker_session::start(Pool::start_order order)
{
    m_orders.push_back(std::move(order));
    if (m_isSending)
        return;
    m_isSending = true;
    m_parts.executor.run([this] { sendOrders(); });
}

void worker_session::stopTask(const Common::task_id& task)
{
    m_parts.executor.run([address = m_listed.address, timeout = m_parts.context.settings().callTimeout, task] {
        Targets::http_worker_client(address, timeout).stop({ task });
    });
}

void worker_session::adopt(const Common::task_id& task, Common::instant now)
{
    m_leaseTracker.adopt(task, now);
}

void worker_session::sendOrders()
{
    while (true) {
        std::vector<Targets::task_start> batch;
        {
            const auto lock = m_parts.context.lock();
            batch = takeBatch();
            if (batch.empty()) {
                m_isSending = false;
                return;
            }
        }
        const auto reply = m_starter->start(batch);
        const auto lock = m_parts.context.lock();
        onStartReply(batch, reply);
    }
}

std::vector<Targets::task_start> worker_session::takeBatch()
{
    std::vector<Targets::task_start> batch;
    while (batch.empty() && !m_orders.empty()) {
        const auto count = static_cast<std::ptrdiff_t>(std::min(m_orders.size(), maxStartsPerCall));
        const std::vector<Pool::start_order> orders(m_orders.begin(), m_orders.begin() + count);
        m_orders.erase(m_orders.begin(), m_orders.begin() + count);
        const auto now = Common::boot_clock::now();
        const auto mayActUntil = m_parts.context.mayActUntil();
        const auto leaseUntil = now + m_parts.context.settings().timing.taskLease;
        const auto notAfter = m_leaseTracker.clockAt(mayActUntil);
        for (const Pool::start_order& order : orders) {
            if (!notAfter || !m_parts.owner.mayStart(order, now)) {
                m_parts.owner.onStart(order.task, Pool::start_result::Refused, now);
                continue;
            }
            m_leaseTracker.onStartSent(order.task, mayActUntil, leaseUntil);
            batch.push_back({ .task = order.task,
                .life = m_leaseTracker.incarnation(),
                .needs = order.needs,
                .payload = order.payload,
                .notAfter = *notAfter,
                .leaseUntil = *m_leaseTracker.clockAt(leaseUntil) });
        }
    }
    return batch;
}

void worker_session::onStartReply(
    const std::vector<Targets::task_start>& batch, const std::optional<Targets::start_reply>& reply)
{
    const auto now = Common::boot_clock::now();
    if (reply)
        m_leaseTracker.onAnswer(reply->life, reply->clock, now);
    const bool certainlyUnsent = !reply && m_starter->lastReason() == Targets::worker_failure::NotReached;
    for (const Targets::task_start& sent : batch) {
        if (!reply && !certainlyUnsent) {
            m_leaseTracker.onStartUnconfirmed(sent.task);
            continue;
        }
        const bool accepted = reply && std::ranges::find(reply->accepted, sent.task) != reply->accepted.end();
        if (accepted)
            m_leaseTracker.onStartAccepted(sent.task, now);
        else
            m_leaseTracker.forget(sent.task);
        m_parts.owner.onStart(sent.task, accepted ? Pool::start_result::Accepted : Pool::start_result::Refused, now);
    }
    if (certainlyUnsent)
        m_parts.owner.onSilent(m_listed.instance, now);
}

void worker_session::pollAll()
{
    while (!m_stopping) {
        Targets::poll_request request;
        const auto began = Common::boot_clock::now();
        {
            const auto lock = m_parts.context.lock();
            request = makePoll(began);
        }
        const auto reply = m_poller->poll(request);
        {
            const auto lock = m_parts.context.lock();
            if (m_stopping)
                return;
            if (reply)
                onPollReply(*reply, began);
            else
                onPollFailure();
        }
        if (!reply)
            std::this_thread::sleep_for(retryDelay);
    }
}

Targets::poll_request worker_session::makePoll(Common::instant now)
{
    Targets::poll_request request { .life = m_leaseTracker.incarnation(), .owner = m_parts.context.self().value };
    request.adopted = m_leaseTracker.adopted();
    request.acknowledged = std::exchange(m_acknowledged, {});
    request.wait = hasTasks() ? busyPollWait : idlePollWait;
    if (m_leaseTracker.incarnation().empty())
        request.wait = {};
    const auto leaseUntil = now + m_parts.context.settings().timing.taskLease;
    const auto clock = m_leaseTracker.clockAt(leaseUntil);
    if (!clock || !m_parts.context.mayAct(now))
        return request;
    request.renewed = m_leaseTracker.renewable();
    request.leaseUntil = *clock;
    m_leaseTracker.onRenewalSent(request.renewed, leaseUntil);
    return request;
}

void worker_session::onPollReply(const Targets::poll_reply& reply, Common::instant began)
{
    const auto now = Common::boot_clock::now();
    const auto ended = m_leaseTracker.reconcile(reply, began);
    m_leaseTracker.onAnswer(reply.life, reply.clock, now);
    for (const auto& task : reply.running)
        m_parts.owner.onStart(task.task, Pool::start_result::Accepted, now);
    for (const auto& result : reply.finished)
        handleResult(result, now);
    for (const auto& task : ended.neverStarted) {
        m_leaseTracker.forget(task);
        m_parts.owner.onStart(task, Pool::start_result::Refused, now);
    }
    for (const auto& task : ended.lost) {
        m_leaseTracker.forget(task);
        m_parts.owner.onLost(task, now);
    }
    reportForeignUse(reply, now);
}

void worker_session::handleResult(const Targets::finished_task& result, Common::instant now)
{
    if (!isIntact(result)) {
        m_parts.outcomeMetrics.onDroppedResult();
        if (++m_badResults[result.task] < maxBadResults)
            return;
    }
    const bool succeeded = result.succeeded && isIntact(result);
    m_badResults.erase(result.task);
    m_acknowledged.push_back(result.task);
    m_leaseTracker.forget(result.task);
    auto outcome = succeeded ? Requests::done(result.answer)
                             : Requests::unknownOutcome(Requests::refusal_reason::WorkerFailed);
    m_parts.owner.onFinished(result.task, std::move(outcome), now);
}

void worker_session::reportForeignUse(const Targets::poll_reply& reply, Common::instant now)
{
    Requests::resources foreign { .cores = { 0 } };
    Common::slot_count foreignSlots;
    for (const auto& task : reply.running) {
        if (m_parts.owner.owns(task.task))
            continue;
        foreign.cores += task.needs.cores;
        foreign.memory += task.needs.memory;
        foreign.accelerators += task.needs.accelerators;
        foreignSlots += { 1 };
    }
    m_parts.owner.onReport(m_listed.instance, foreign, foreignSlots, reply.leaving, now);
}

void worker_session::onPollFailure()
{
    const auto now = Common::boot_clock::now();
    m_leaseTracker.onSilent();
    m_parts.owner.onSilent(m_listed.instance, now);
    for (const auto& task : m_leaseTracker.expiredTasks(now)) {
        m_leaseTracker.forget(task);
        m_parts.owner.onLost(task, now);
    }
}

}
