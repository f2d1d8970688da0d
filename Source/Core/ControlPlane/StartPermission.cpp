#include "ControlPlane/StartPermission.h"

#include "Common/Logging.h"

namespace ControlPlane {

namespace {

    const char* toText(start_permission permission)
    {
        switch (permission) {
        case start_permission::Granted:
            return "granted";
        case start_permission::GrantedWithoutStore:
            return "granted_without_store";
        case start_permission::LoopBehind:
            return "loop_behind";
        case start_permission::ViewsOld:
            break;
        }
        return "views_old";
    }

    std::string ageText(const view_monitor& views, view_kind kind)
    {
        const auto age = views.age(kind);
        return age ? std::to_string(age->count()) : "never_read";
    }

}

bool isGranted(start_permission permission)
{
    return permission == start_permission::Granted || permission == start_permission::GrantedWithoutStore;
}

void report(start_permission permission, const view_monitor& views)
{
    Common::writeEvent(Common::log_level::Info, Common::log_category::Dispatch, "start_permission",
        { { "state", toText(permission) }, { "registrations_age_ms", ageText(views, view_kind::Registrations) },
            { "intake_age_ms", ageText(views, view_kind::Intake) },
            { "rules_age_ms", ageText(views, view_kind::Rules) } });
}

}
