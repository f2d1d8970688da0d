#include "Bench/JobMemory.h"

#include "Dispatch/Dispatcher.h"
#include "Jobs/HeldBytes.h"
#include "Jobs/JobRegistry.h"

#include <cstdio>
#include <malloc.h>
#include <string>

namespace Bench {

namespace {

    struct job_shape {
        const char* name { nullptr };
        int jobs { 0 };
        std::size_t steps { 1 };
        int tasks { 1 };
        std::size_t payload { 10 };
        int repetitions { 0 };
    };

    constexpr int tasksPerWorker = 100;

    struct no_observer : Dispatch::dispatch_observer {
        void observe(const Dispatch::dispatch_event&) override { }
    };

    std::size_t heapBytes()
    {
        const auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    Jobs::job_record recordOf(const job_shape& shape, int number)
    {
        Jobs::job_record record { .queue = { "queue-of-the-bench" }, .team = { "team-of-the-bench" } };
        auto text = std::to_string(number);
        record.id = Jobs::jobIdOf({ std::string(16 - text.size(), '0') + text }, Jobs::scopeOf(record));
        record.spec.payload = std::string(shape.payload, 'x');
        record.spec.repetitions = shape.repetitions;
        record.spec.steps = std::vector(
            shape.steps, Jobs::step_spec { .count = shape.tasks, .request = { .processor = { 100 } }, .image = "image-of-the-step" });
        return record;
    }

    void measure(const job_shape& shape, Common::instant now)
    {
        no_observer observer;
        Rules::fleet_rules rules;
        rules.pools = { { .id = { "pool" }, .checksCapacity = true } };
        rules.queues = { { .id = { "queue-of-the-bench" }, .host = "h", .pathPrefix = "/", .pool = { "pool" } } };
        Jobs::job_registry registry;
        auto dispatcher = std::make_unique<Dispatch::dispatcher>(Dispatch::dispatcher_options { .token = { 1 } }, now, observer);
        dispatcher->setRules(rules);
        const auto began = heapBytes();
        std::size_t estimate = 0;
        for (int number = 0; number < shape.jobs; ++number) {
            auto record = recordOf(shape, number);
            estimate += Jobs::heldBytes(record);
            registry.accept(std::move(record));
        }
        const auto registered = heapBytes();
        for (const auto& id : registry.openJobs())
            dispatcher->addJob(*registry.find(id), { .job = id }, now);
        dispatcher->plan(now, { 1 }, { .isHeld = true, .confirmedUntil = now + std::chrono::seconds(1) });
        const auto opened = heapBytes();
        const auto each = [&shape](std::size_t bytes) { return bytes / static_cast<std::size_t>(shape.jobs); };
        std::printf("%-44s registry %8zu B a job, dispatcher %8zu, estimate %8zu\n", shape.name, each(registered - began),
            each(opened - registered), each(estimate));
    }

    /// Memory of tasks that run, on workers without a limit that matters.
    void measureRuns(int tasks, Common::instant now)
    {
        no_observer observer;
        Rules::fleet_rules rules;
        rules.pools = { { .id = { "pool" }, .checksCapacity = true } };
        rules.queues = { { .id = { "queue-of-the-bench" }, .host = "h", .pathPrefix = "/", .pool = { "pool" } } };
        Dispatch::dispatcher dispatcher({ .token = { 1 } }, now, observer);
        dispatcher.setRules(rules);
        dispatcher.setLogComplete();
        for (int number = 0; number < tasks / tasksPerWorker; ++number) {
            const Common::worker_id id { "i-worker" + std::to_string(number) };
            dispatcher.workerRegistered({ .id = id,
                                            .pool = { "pool" },
                                            .capacity = { .processor = { 100 * tasksPerWorker }, .memory = { 1000 } },
                                            .incarnationStartedAt = { 1 } },
                now, now);
            Dispatch::poll_order_reply reply { .base = { .outcome = Dispatch::order_outcome::Done,
                                                   .clock = Dispatch::worker_millis { 1000 },
                                                   .incarnationStartedAt = Common::wall_millis { 1 } } };
            dispatcher.onPollReply({ .worker = { .id = id, .incarnationStartedAt = { 1 } } }, reply, now, now);
        }
        const auto record = recordOf({ .steps = 64, .tasks = tasks / 64 }, 0);
        dispatcher.addJob(record, { .job = record.id }, now);
        const auto began = heapBytes();
        const Dispatch::leadership_status status { .isHeld = true, .confirmedUntil = now + std::chrono::seconds(100) };
        std::size_t started = 0;
        for (int pass = 0; pass < 100; ++pass) {
            started += dispatcher.plan(now, { 1 }, status).starts.size();
            dispatcher.onCommitted(dispatcher.takeCommit(), now);
        }
        std::printf("%zu tasks that run: %zu B each in the dispatcher\n", started, started > 0 ? (heapBytes() - began) / started : 0);
    }

}

void runJobMemory()
{
    const Common::instant now { std::chrono::seconds(1000) };
    constexpr std::size_t longPayload = 4000;
    constexpr std::size_t mostSteps = Jobs::maxStepsPerJob;
    for (const job_shape& shape : { job_shape { .name = "1 step of 1 task", .jobs = 20'000 },
             job_shape { .name = "1 step, text of 4,000 bytes", .jobs = 5'000, .payload = longPayload },
             job_shape { .name = "2 steps of 6 tasks", .jobs = 20'000, .steps = 2, .tasks = 6 },
             job_shape { .name = "64 steps of 1 task", .jobs = 1'000, .steps = mostSteps },
             job_shape { .name = "64 steps of 4,000 tasks", .jobs = 1'000, .steps = mostSteps, .tasks = Jobs::maxTasksPerStep },
             job_shape { .name = "1 step of 1 task, 256,000 times", .jobs = 50, .repetitions = 256'000 },
             job_shape { .name = "64 steps of 1 task, 4,000 times", .jobs = 50, .steps = mostSteps, .repetitions = 4'000 } })
        measure(shape, now);
    for (const int tasks : { 6'400, 25'600, 64'000 })
        measureRuns(tasks, now);
}

}
