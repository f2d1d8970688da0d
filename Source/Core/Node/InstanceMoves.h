#pragma once

#include "Node/NodeContext.h"
#include "Pool/PoolScheduler.h"

#include <functional>
#include <map>

namespace Node {

/// Advances moves between pools, in the pools that this daemon holds: releases an instance from its old pool
/// once it is empty, then joins it to the new one. Called with the lock of the node context held.
class instance_moves {
public:
    /// Returns the scheduler of a pool that is held here and open; null otherwise.
    using scheduler_finder = std::function<const Pool::pool_scheduler*(const Common::pool_id&)>;

    explicit instance_moves(node_context& context)
        : m_context(context)
    {
    }

    void advance(const scheduler_finder&, Common::instant now);

private:
    struct submitted_step {
        Fleet::move_phase phase;
        Common::instant at;
    };

    /// Whether the step should be submitted now; false while an earlier submission may still be applied.
    bool isDue(const Common::instance_id&, Fleet::move_phase, Common::instant now);

    node_context& m_context;
    std::map<Common::instance_id, submitted_step> m_submitted;
};

}
