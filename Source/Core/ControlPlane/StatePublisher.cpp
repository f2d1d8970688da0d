#include "ControlPlane/StatePublisher.h"

#include <algorithm>
#include <utility>

namespace ControlPlane {

namespace {

    /// Shortest time between two appends.
    constexpr Common::millis appendInterval { 20 };
    constexpr std::ptrdiff_t recordsPerAppend = 400;

}

state_publisher::state_publisher(Records::record_store& store, Records::timer_service& timers,
    const state_publisher_options& options, const state_feed& feed, std::function<void()> onFenced)
    : m_feed(feed)
    , m_appender(std::make_shared<Records::batch_appender>(store, timers,
          Records::appender_options { .partition = options.topic,
              .writer = options.writer,
              .epoch = options.epoch,
              .appendInterval = appendInterval }))
    , m_onFenced(std::move(onFenced))
{
}

state_publisher::~state_publisher() { m_appender->stop(); }

void state_publisher::begin(const claim_record& claim, const Jobs::job_registry& jobRegistry)
{
    std::vector<Records::keyed_record> records { claimRecord(claim) };
    jobRegistry.visitStates([this, &records](const Common::job_id& id, Jobs::job_state state) {
        if (state != Jobs::job_state::Pending && m_feed.published(id) != state)
            records.push_back(stateRecord(id, state));
    });
    for (auto first = records.begin(); first != records.end();) {
        const auto last = first + std::min<std::ptrdiff_t>(recordsPerAppend, records.end() - first);
        append({ first, last });
        first = last;
    }
}

void state_publisher::publish(const Jobs::job_progress& progress)
{
    const auto& id = progress.job;
    const auto state = progress.state;
    if (state == Jobs::job_state::Pending)
        return;
    const auto known = m_published.find(id.value);
    if (known != m_published.end() && known->second == state)
        return;
    if (Jobs::isFinal(state))
        m_published.erase(id.value);
    else
        m_published.insert_or_assign(id.value, state);
    std::vector<Records::keyed_record> records { stateRecord(id, state) };
    // Instances of earlier versions know only the job that uses the caller's identifier alone. Others skip the copy, since
    // they have read the record before it.
    if (Jobs::hasScope(id) && Jobs::usesCallerKey(progress))
        records.push_back(stateRecord({ Jobs::callerIdOf(id).value }, state));
    append(std::move(records));
}

void state_publisher::append(std::vector<Records::keyed_record> records)
{
    m_appender->add(std::move(records), [onFenced = m_onFenced](Records::append_outcome outcome) {
        if (outcome != Records::append_outcome::Stored)
            onFenced();
    });
}

}
