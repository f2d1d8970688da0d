#pragma once

#include "Records/TopicFollower.h"

namespace Records {

/// Followers of several partitions that are looked at together.
class follower_group {
public:
    explicit follower_group(std::vector<std::shared_ptr<topic_follower>>);

    void setGap(Common::millis);
    /// Calls back once all have reached their ends by reads that began no earlier than now, or with false.
    void refresh(Common::millis limit, const std::function<void(bool)>& action);
    bool isFollowing() const;

private:
    std::vector<std::shared_ptr<topic_follower>> m_followers;
};

}
