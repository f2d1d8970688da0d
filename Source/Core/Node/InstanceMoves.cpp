#include "Node/InstanceMoves.h"

namespace Node {

namespace {

    /// A step that hasn't been applied is submitted again after this time.
    constexpr Common::millis stepRetry { 5000 };

}

void instance_moves::advance(const scheduler_finder& openScheduler, Common::instant now)
{
    if (!m_context.mayAct(now) || m_context.leases().isLogUnavailable(now))
        return;
    for (const auto& [name, instance] : m_context.state().instances) {
        if (instance.phase == Fleet::move_phase::Leaving) {
            const Pool::pool_scheduler* const scheduler = openScheduler(instance.pool);
            if (scheduler && scheduler->workers().isEmpty(name) && isDue(name, instance.phase, now))
                m_context.submitOwn(Fleet::release_instance { .instance = name, .epoch = scheduler->epoch() });
        }
        if (instance.phase == Fleet::move_phase::Released) {
            const Pool::pool_scheduler* const scheduler = openScheduler(instance.target);
            if (scheduler && isDue(name, instance.phase, now))
                m_context.submitOwn(Fleet::join_pool { .instance = name, .epoch = scheduler->epoch() });
        }
    }
}

bool instance_moves::isDue(const Common::instance_id& instance, Fleet::move_phase phase, Common::instant now)
{
    const auto submitted = m_submitted.find(instance);
    if (submitted != m_submitted.end() && submitted->second.phase == phase && now < submitted->second.at + stepRetry)
        return false;
    m_submitted[instance] = { .phase = phase, .at = now };
    return true;
}

}
