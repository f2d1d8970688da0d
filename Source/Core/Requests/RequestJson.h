#pragma once

#include "Common/JsonFields.h"
#include "Requests/Outcome.h"
#include "Requests/WorkRequest.h"

/// JSON encoding of requests and outcomes, used between daemons, to workers and in the log.
namespace Requests {

using Common::json;

void to_json(json&, const resources&);
void from_json(const json&, resources&);
void to_json(json&, const work_identity&);
void from_json(const json&, work_identity&);
void to_json(json&, const work_request&);
void from_json(const json&, work_request&);
void to_json(json&, const outcome&);
void from_json(const json&, outcome&);

}
