#pragma once

#include "Node/FleetHub.h"
#include "Pool/PoolDesk.h"

#include <functional>
#include <map>

namespace Node {

/// Takes the second and third step of moves between pools, for the pools that this daemon holds.
/// Called with the hub's lock held.
class instance_moves {
public:
    /// Open desk of a pool that is held here; null otherwise.
    using desk_finder = std::function<const Pool::pool_desk*(const Common::pool_id&)>;

    explicit instance_moves(fleet_hub& hub)
        : m_hub(hub)
    {
    }

    void advance(const desk_finder&, Common::instant now);

private:
    struct asked_step {
        Fleet::move_phase phase;
        Common::instant at;
    };

    /// Whether the step should be asked for now, as opposed to being on its way.
    bool isDue(const Common::instance_id&, Fleet::move_phase, Common::instant now);

    fleet_hub& m_hub;
    std::map<Common::instance_id, asked_step> m_asked;
};

}
