#pragma once

#include "Common/Endpoint.h"
#include "Common/Ids.h"
#include "Requests/WorkRequest.h"

#include <optional>
#include <vector>

namespace Targets {

/// Instance in the platform's list. The list may be out of date.
struct listed_instance {
    Common::instance_id instance;
    Common::endpoint address;
    Common::data_centre_id dataCentre;
    Common::rack_id rack;
    Requests::resources capacity;
    Common::slot_count slots;
    bool leaving { false };
};

enum class list_failure {
    None,
    NoAnswer
};

/// The platform's list of live and leaving instances.
class instance_list {
public:
    virtual ~instance_list() = default;
    virtual std::optional<std::vector<listed_instance>> fetch() = 0;
    virtual list_failure lastReason() const = 0;
};

}
