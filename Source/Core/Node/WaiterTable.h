#pragma once

#include "Common/Clock.h"
#include "Pool/PoolDesk.h"
#include "Requests/Outcome.h"

#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <tbb/concurrent_hash_map.h>

namespace Node {

/// Callers at this daemon that wait for an outcome. Safe for concurrent use without other locks.
class waiter_table {
public:
    /// One registration; it ends with the object.
    class registration {
    public:
        registration(waiter_table&, Pool::waiter_ticket, std::future<Requests::outcome>);
        ~registration();
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

        Pool::waiter_ticket ticket() const { return m_ticket; }
        /// Waits for the outcome. Empty when the deadline comes first.
        std::optional<Requests::outcome> wait(Common::millis longest);

    private:
        waiter_table& m_table;
        Pool::waiter_ticket m_ticket;
        std::future<Requests::outcome> m_outcome;
    };

    std::unique_ptr<registration> add();
    /// Tells one waiter. Does nothing when it has gone.
    void tell(Pool::waiter_ticket, const Requests::outcome&);

private:
    // The table and a thread that just tells an outcome both need the promise for a moment.
    using shared_promise = std::shared_ptr<std::promise<Requests::outcome>>;

    tbb::concurrent_hash_map<std::int64_t, shared_promise> m_waiters;
    std::atomic<std::int64_t> m_next { 1 };
};

}
