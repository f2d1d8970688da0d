#include "Node/TaskRunner.h"

namespace Node {

task_runner::task_runner(int threads)
    : m_control(tbb::global_control::max_allowed_parallelism, static_cast<std::size_t>(threads))
    , m_arena(threads)
{
}

task_runner::~task_runner()
{
    m_arena.execute([this] { m_group.wait(); });
}

void task_runner::run(std::function<void()> call)
{
    m_arena.enqueue(m_group.defer(std::move(call)));
}

void task_runner::runAll(std::size_t count, const std::function<void(std::size_t)>& call)
{
    m_arena.execute([count, &call] {
        tbb::task_group calls;
        for (std::size_t index = 0; index < count; ++index)
            calls.run([index, &call] { call(index); });
        calls.wait();
    });
}

}
