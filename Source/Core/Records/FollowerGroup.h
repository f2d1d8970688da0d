#pragma once

#include "Records/TopicFollower.h"

namespace Records {

/// Readers of several partitions that are refreshed together.
class follower_group {
public:
    explicit follower_group(std::vector<std::shared_ptr<topic_follower>>);

    void setGap(Common::millis);
    /// Calls back once all have reached the end by reads that began no earlier than this call, or with false.
    void refresh(Common::millis limit, const std::function<void(bool)>& action);
    bool isLoaded() const;

private:
    std::vector<std::shared_ptr<topic_follower>> m_readers;
};

}
