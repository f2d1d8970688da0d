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
/// Members that lack the log go on while more than half of the members, as of one membership version,
/// promise it to each other. Each change of the membership needs the backing of more than half of the
/// members of the version that it changes. Both sets share a member, and no member is in both: it backs
/// nothing while a promise of it lives, its promises to itself included, and it promises nothing under
/// a version at which it backed a change, unless that change has become void.
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
    struct backed_removal {
        Common::log_offset renewed;
        Common::membership_version version;
    };

    /// Whether a change of the standing membership that was backed here may still take effect.
    bool mayChange(const Fleet::fleet_state&) const;

    Common::process_id m_self;
    timing m_limits;
    std::map<Common::process_id, Common::instant> m_promisedUntil;
    std::map<Common::process_id, backed_removal> m_backedRemovals;
    /// Newest membership version at which this member backed a newcomer.
    std::optional<Common::membership_version> m_backedJoin;
};

}
