#include "Node/InstanceMoves.h"

namespace Node {

namespace {

    /// Time after which a step is asked for again if nothing came of it.
    constexpr Common::millis stepRetry { 5000 };

}

void instance_moves::advance(const desk_finder& openDesk, Common::instant now)
{
    if (!m_hub.mayAct(now) || m_hub.keeper().lacksLog(now))
        return;
    for (const auto& [name, instance] : m_hub.state().instances) {
        if (instance.phase == Fleet::move_phase::Leaving) {
            const Pool::pool_desk* const desk = openDesk(instance.pool);
            if (desk && desk->workers().isEmpty(name) && isDue(name, instance.phase, now))
                m_hub.submitOwn(Fleet::release_instance { .instance = name, .epoch = desk->epoch() });
        }
        if (instance.phase == Fleet::move_phase::Released) {
            const Pool::pool_desk* const desk = openDesk(instance.target);
            if (desk && isDue(name, instance.phase, now))
                m_hub.submitOwn(Fleet::join_pool { .instance = name, .epoch = desk->epoch() });
        }
    }
}

bool instance_moves::isDue(const Common::instance_id& instance, Fleet::move_phase phase, Common::instant now)
{
    const auto asked = m_asked.find(instance);
    if (asked != m_asked.end() && asked->second.phase == phase && now < asked->second.at + stepRetry)
        return false;
    m_asked[instance] = { .phase = phase, .at = now };
    return true;
}

}
