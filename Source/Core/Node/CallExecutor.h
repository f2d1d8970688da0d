#pragma once

#include <functional>
#include <tbb/global_control.h>
#include <tbb/task_arena.h>
#include <tbb/task_group.h>

namespace Node {

/// Runs short calls to peers and workers on a shared thread pool.
class call_executor {
public:
    explicit call_executor(int threads);
    ~call_executor();
    call_executor(const call_executor&) = delete;
    call_executor& operator=(const call_executor&) = delete;

    /// Runs the call asynchronously.
    void run(std::function<void()>);

    /// Runs the call concurrently for each index below `count` and waits for all.
    void runAll(std::size_t count, const std::function<void(std::size_t)>&);

private:
    // Calls block while waiting for answers, so there are more threads than cores.
    tbb::global_control m_control;
    tbb::task_arena m_arena;
    tbb::task_group m_group;
};

}
