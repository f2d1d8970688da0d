#include "Records/FollowerGroup.h"

#include <algorithm>

namespace Records {

follower_group::follower_group(std::vector<std::shared_ptr<topic_follower>> followers)
    : m_followers(std::move(followers))
{
}

void follower_group::setGap(Common::millis gap)
{
    for (const auto& follower : m_followers)
        follower->setGap(gap);
}

void follower_group::refresh(Common::millis limit, const std::function<void(bool)>& action)
{
    struct round {
        std::size_t open;
        bool isRead { true };
    };
    const auto state = std::make_shared<round>(round { .open = m_followers.size() });
    for (const auto& follower : m_followers) {
        follower->refresh(limit, [state, action](bool isRead) {
            state->isRead = state->isRead && isRead;
            if (--state->open == 0)
                action(state->isRead);
        });
    }
}

bool follower_group::isFollowing() const
{
    return std::all_of(
        m_followers.begin(), m_followers.end(), [](const auto& follower) { return follower->isFollowing(); });
}

}
