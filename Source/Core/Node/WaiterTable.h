#pragma once

#include "Common/Clock.h"
#include "Pool/PoolScheduler.h"
#include "Requests/Outcome.h"

#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <tbb/concurrent_hash_map.h>

namespace Node {

/// Callers at this daemon that wait for an outcome. Thread-safe.
class waiter_table {
public:
    /// Registration of one waiter; removed by the destructor.
    class registration {
    public:
        registration(waiter_table&, Pool::waiter_id, std::future<Requests::outcome>);
        ~registration();
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

        Pool::waiter_id id() const { return m_id; }
        /// Waits for the outcome. Empty on timeout.
        std::optional<Requests::outcome> wait(Common::millis timeout);

    private:
        waiter_table& m_table;
        Pool::waiter_id m_id;
        std::future<Requests::outcome> m_outcome;
    };

    std::unique_ptr<registration> add();
    /// Completes one waiter. Does nothing if it isn't registered any more.
    void complete(Pool::waiter_id, const Requests::outcome&);

private:
    // Shared because a waiter may be removed while another thread sets its outcome.
    using shared_promise = std::shared_ptr<std::promise<Requests::outcome>>;

    tbb::concurrent_hash_map<std::int64_t, shared_promise> m_waiters;
    std::atomic<std::int64_t> m_nextId { 1 };
};

}
