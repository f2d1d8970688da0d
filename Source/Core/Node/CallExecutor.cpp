#include "Node/CallExecutor.h"

namespace Node {

call_executor::call_executor(int threads)
    : m_control(tbb::global_control::max_allowed_parallelism, static_cast<std::size_t>(threads))
    , m_arena(threads)
{
}

call_executor::~call_executor()
{
    m_arena.execute([this] { m_group.wait(); });
}

void call_executor::run(std::function<void()> call)
{
    m_arena.enqueue(m_group.defer(std::move(call)));
}

void call_executor::runAll(std::size_t count, const std::function<void(std::size_t)>& call)
{
    m_arena.execute([count, &call] {
        tbb::task_group calls;
        for (std::size_t index = 0; index < count; ++index)
            calls.run([index, &call] { call(index); });
        calls.wait();
    });
}

}
