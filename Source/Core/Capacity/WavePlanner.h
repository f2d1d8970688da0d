#pragma once

#include "Capacity/InstanceBook.h"

#include <set>

namespace Capacity {

/// State of a wave to be shown to operators.
struct wave_status {
    std::int64_t wave { 0 };
    bool isCompleted { false };
    /// Instances whose upkeep has begun.
    std::set<Common::instance_id> begun;
};

/// Brings each instance of a wave to its upkeep in time, with no more down than the wave allows, and without
/// ending tasks beyond their steps' disruption budgets.
class wave_planner {
public:
    void setWaves(const std::map<std::int64_t, Rules::upkeep_wave>&, Common::instant now);
    /// What an earlier holder has stored of a wave.
    void restore(const wave_status&);
    /// Orders upkeeps, and cordons workers that are to be emptied.
    void plan(instance_book&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);
    void onUpkeep(instance_book&, const upkeep_order&, instance_outcome, Common::instant now);
    /// Waves whose status has changed since the last call.
    std::vector<wave_status> takeChanges();

private:
    struct open_wave {
        Rules::upkeep_wave wave;
        wave_status status;
        Common::instant since;
        bool isAnnounced { false };
        std::set<Common::instance_id> cordoned;
    };

    void planWave(open_wave&, instance_book&, Dispatch::dispatcher&, Common::instant now, capacity_orders&);
    static int downCount(const open_wave&, instance_book&);
    static int emptyingLimit(const open_wave&, Common::instant now);
    static void order(open_wave&, instance_record&, Common::instant now, capacity_orders&);
    void finishIfDone(open_wave&, instance_book&);

    std::map<std::int64_t, open_wave> m_waves;
    std::map<std::int64_t, wave_status> m_restored;
    std::set<std::int64_t> m_changed;
};

}
