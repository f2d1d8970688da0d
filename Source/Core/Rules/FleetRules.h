#pragma once

#include "Common/Clock.h"
#include "Jobs/Resources.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The operators' configuration, independent of its format on the platform.
namespace Rules {

/// Timing of the advice service, which decides which workers may run a step.
struct advice_policy {
    /// Duration of one answer: a fixed part and a part for each worker asked about.
    Common::millis base { 0 };
    Common::millis perWorker { 0 };
    /// How long a ticket is valid.
    Common::millis validity { 0 };
};

struct queue_rule {
    Common::queue_id id;
    std::string host;
    std::string pathPrefix;
    Common::pool_id pool;
    /// 0 is the highest priority.
    int priority { 0 };
    int maxAttempts { 1 };
    /// A job's deadline is this multiple of its critical path, plus `latencyTarget`, after its acceptance.
    double stretch { 1 };
    Common::millis latencyTarget { 0 };
    bool isPublic { false };
    std::optional<advice_policy> advice;
};

struct pool_rule {
    Common::pool_id id;
    /// Its workers reject tasks that don't fit.
    bool checksCapacity { false };
    /// Its instances are switched off and cost nothing.
    bool isSpare { false };
};

struct team_rule {
    Common::team_id id;
    std::vector<std::string> keys;
    /// Its part of a pool that is full, against that of other teams. Empty when the operators don't state it.
    std::optional<double> weight;
    /// Maximum resources of the team over all pools; 0 for no limit.
    Jobs::resources limit;
};

/// A complete configuration. Versions increase, but not always by one.
struct fleet_rules {
    std::int64_t version { 0 };
    std::vector<queue_rule> queues;
    std::vector<pool_rule> pools;
    std::vector<team_rule> teams;
    std::uint32_t headerBytes { 16384 };
    std::uint64_t bodyBytes { 262144 };
    Common::millis requestTimeout { 3000 };
    Common::millis idleTimeout { 15000 };

    const queue_rule* findQueue(const Common::queue_id&) const;
    /// The host's queue with the longest prefix of `path`. Null when there is none.
    const queue_rule* matchQueue(std::string_view host, std::string_view path) const;
    const team_rule* findTeam(const Common::team_id&) const;
    /// Team that owns the key. Null when no team does.
    const team_rule* teamOfKey(std::string_view key) const;
    const pool_rule* findPool(const Common::pool_id&) const;
    /// Whether the operators state how a pool that is full is shared.
    bool hasWeights() const;
};

/// An operator's request to maintain some instances.
struct maintenance_wave {
    std::int64_t number { 0 };
    std::vector<Common::instance_id> instances;
    /// Time for the wave, counted from the request.
    Common::millis duration { 0 };
    /// Maximum number of the wave's instances that may be down at once.
    int maxConcurrent { 1 };
};

}
