#include "Node/WaiterTable.h"

namespace Node {

waiter_table::registration::registration(
    waiter_table& table, Pool::waiter_id id, std::future<Requests::outcome> outcome)
    : m_table(table)
    , m_id(id)
    , m_outcome(std::move(outcome))
{
}

waiter_table::registration::~registration()
{
    m_table.m_waiters.erase(m_id.value);
}

std::optional<Requests::outcome> waiter_table::registration::wait(Common::millis timeout)
{
    if (m_outcome.wait_for(timeout) != std::future_status::ready)
        return std::nullopt;
    return m_outcome.get();
}

std::unique_ptr<waiter_table::registration> waiter_table::add()
{
    const Pool::waiter_id id { m_nextId++ };
    auto promise = std::make_shared<std::promise<Requests::outcome>>();
    auto future = promise->get_future();
    m_waiters.insert({ id.value, std::move(promise) });
    return std::make_unique<registration>(*this, id, std::move(future));
}

void waiter_table::complete(Pool::waiter_id id, const Requests::outcome& result)
{
    shared_promise promise;
    {
        decltype(m_waiters)::accessor found;
        if (!m_waiters.find(found, id.value))
            return;
        promise = found->second;
        m_waiters.erase(found);
    }
    promise->set_value(result);
}

}
