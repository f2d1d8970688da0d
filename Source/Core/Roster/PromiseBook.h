#pragma once

#include "Fleet/FleetState.h"
#include "Roster/Timing.h"

#include <map>
#include <optional>

namespace Roster {

/// A member without the log asks another not to back its removal for a while.
struct promise_request {
    Common::process_id asker;
    Common::membership_version version;
    /// Offset that the asker has applied.
    Common::log_offset applied;
};

/// A member asks another to back a change of the membership.
struct backing_request {
    /// Member to be removed. Empty when a newcomer asks to join.
    Common::process_id target;
    /// Last renewal of the target that the asker knows.
    Common::log_offset renewed;
    Common::membership_version version;
};

/// What one member has promised and backed. Kept in memory only.
///
/// A member that lacks the log goes on while more than half of the members promise it. A removal
/// needs the backing of more than half as well. Both sets share a member, and that member never
/// does both: it backs no removal of a member it holds a live promise to, and it promises nothing
/// to a member whose removal it backed, unless that member renewed after it, which voids the removal.
class promise_book {
public:
    promise_book(Common::process_id self, timing limits)
        : m_self(std::move(self))
        , m_limits(limits)
    {
    }

    /// Grants or refuses a promise. `lacksLog` says whether this member lacks the log itself.
    bool givePromise(const promise_request&, const Fleet::fleet_state&, bool lacksLog, Common::instant now);

    /// Backs or refuses a change. `isLapsed` says whether this member saw the target's lease lapse,
    /// or found nothing listening at its address.
    bool giveBacking(const backing_request&, const Fleet::fleet_state&, bool isLapsed, Common::instant now);

    /// Whether any promise is still alive.
    bool holdsPromises(Common::instant now) const;

private:
    bool hasPromised(const Common::process_id&, Common::instant now) const;

    Common::process_id m_self;
    timing m_limits;
    std::map<Common::process_id, Common::instant> m_promisedUntil;
    std::map<Common::process_id, Common::log_offset> m_backedRemoval;
    /// Newest membership version at which this member backed a newcomer.
    std::optional<Common::membership_version> m_backedJoin;
};

}
