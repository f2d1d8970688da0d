#include "Sessions/LoadGenerator.h"

#include <algorithm>

namespace Sessions {

using Common::json;

std::string answerOf(const std::string& name)
{
    return "answer of " + name;
}

std::string submissionOf(const request_options& options)
{
    const json payload { { "name", options.name }, { "team", options.team }, { "runMs", options.runMillis },
        { "answer", answerOf(options.name) } };
    const json body { { "id", options.name }, { "queue", options.queue }, { "team", options.team },
        { "key", options.key.empty() ? "key-" + options.team : options.key }, { "idempotent", options.idempotent },
        { "queued", options.queued }, { "deadlineMs", options.deadlineMillis }, { "payload", payload.dump() } };
    return body.dump();
}

load_generator::load_generator(deployment& target, options chosen)
    : m_deployment(target)
    , m_options(std::move(chosen))
{
    for (int number = 0; number < m_options.callers; ++number)
        m_threads.emplace_back([this, number] { callUntilStopped(number); });
}

load_generator::~load_generator()
{
    stop();
}

void load_generator::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void load_generator::callUntilStopped(int number)
{
    for (int round = 0; !m_stopping; ++round) {
        const std::string kind = m_options.idempotent ? "check" : "once";
        const std::string name = m_options.team + "-" + kind + "-" + std::to_string(number) + "-" + std::to_string(round);
        const auto daemon = m_options.daemons[static_cast<std::size_t>(number + round) % m_options.daemons.size()];
        // Like a load balancer, sends nothing to a daemon that isn't ready.
        if (!m_deployment.isReady(daemon)) {
            std::this_thread::sleep_for(Common::millis(10));
            continue;
        }
        const auto result = m_deployment.callers(daemon, "/v1/requests",
            submissionOf({ .name = name,
                .team = m_options.team,
                .runMillis = m_options.runMillis,
                .idempotent = m_options.idempotent,
                .deadlineMillis = m_options.deadlineMillis }));
        const record entry { .name = name,
            .outcome = result.status == 0 ? "no_answer" : result.field("outcome"),
            .reason = result.field("reason"),
            .hasOwnAnswer = result.field("answer") == answerOf(name) };
        const std::lock_guard lock(m_lock);
        m_records.push_back(entry);
        ++m_finished;
    }
}

std::vector<load_generator::record> load_generator::records() const
{
    const std::lock_guard lock(m_lock);
    return m_records;
}

int load_generator::count(const std::string& outcome) const
{
    const auto all = records();
    return static_cast<int>(std::ranges::count(all, outcome, &record::outcome));
}

}
