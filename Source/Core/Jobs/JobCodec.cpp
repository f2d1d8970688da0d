#include "Jobs/JobCodec.h"

#include "Common/JsonFields.h"

namespace Jobs {

using Common::json;

namespace {

    /// Highest valid state, for checking input.
    constexpr auto lastState = job_state::Cancelled;

    json stepToJson(const step_spec& step)
    {
        json out { { "n", step.count },
            { "cpu", step.request.processor },
            { "mem", step.request.memory },
            { "acc", step.request.accelerators },
            { "est", step.estimate.count() } };
        const auto addIf = [&out](bool isSet, const char* name, const json& value) {
            if (isSet)
                out[name] = value;
        };
        addIf(!step.dependsOn.empty(), "deps", step.dependsOn);
        addIf(step.savesCheckpoints, "saves", true);
        addIf(step.isGang, "gang", true);
        addIf(step.isRackSensitive, "tight", true);
        addIf(!step.requiredLabel.empty(), "label", step.requiredLabel);
        addIf(!step.dataRack.empty(), "rack", step.dataRack);
        addIf(step.maxPerWorker > 0, "spread", step.maxPerWorker);
        addIf(step.allowsDuplicates, "dup", true);
        addIf(step.isLongRunning, "lasts", true);
        addIf(!step.image.empty(), "image", step.image);
        addIf(step.latencyTarget.count() > 0, "tail", step.latencyTarget.count());
        addIf(step.isBestEffort, "fill", true);
        addIf(step.disruptionBudget > 0, "budget", step.disruptionBudget);
        return out;
    }

    step_spec stepFromJson(const json& in)
    {
        step_spec step;
        step.count = in.at("n").get<int>();
        step.request.processor = in.at("cpu").get<Common::millicores>();
        step.request.memory = in.at("mem").get<Common::megabytes>();
        step.request.accelerators = in.at("acc").get<Common::accelerator_count>();
        step.estimate = Common::millis(in.at("est").get<std::int64_t>());
        step.dependsOn = in.value("deps", std::vector<int> {});
        step.savesCheckpoints = in.value("saves", false);
        step.isGang = in.value("gang", false);
        step.isRackSensitive = in.value("tight", false);
        step.requiredLabel = in.value("label", std::string());
        step.dataRack.value = in.value("rack", std::string());
        step.maxPerWorker = in.value("spread", 0);
        step.allowsDuplicates = in.value("dup", false);
        step.isLongRunning = in.value("lasts", false);
        step.image = in.value("image", std::string());
        step.latencyTarget = Common::millis(in.value("tail", std::int64_t { 0 }));
        step.isBestEffort = in.value("fill", false);
        step.disruptionBudget = in.value("budget", 0);
        return step;
    }

    /// The row of a task that is done has just its three indexes; other rows also have the task's state.
    task_progress taskFromJson(const json& row)
    {
        constexpr std::size_t doneSize = 3;
        task_progress task { .occurrence = row.at(0).get<int>(),
            .step = row.at(1).get<int>(),
            .index = row.at(2).get<int>(),
            .isDone = row.size() == doneSize };
        if (task.isDone)
            return task;
        task.failedRuns = row.at(3).get<std::vector<std::int64_t>>();
        task.checkpoint = row.at(4).get<std::string>();
        task.worker = row.at(5).get<Common::worker_id>();
        task.run = row.at(6).get<std::int64_t>();
        return task;
    }

    template <typename Read>
    auto tryDecode(std::string_view bytes, Read read) -> std::optional<decltype(read(json()))>
    {
        const auto parsed = Common::parseJson(bytes);
        if (!parsed)
            return std::nullopt;
        try {
            return read(*parsed);
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

}

std::string encodeJob(const job_record& job)
{
    json steps = json::array();
    for (const auto& step : job.spec.steps)
        steps.push_back(stepToJson(step));
    json out { { "id", job.id }, { "queue", job.queue }, { "team", job.team }, { "at", job.acceptedAt },
        { "payload", job.spec.payload }, { "steps", steps } };
    if (job.spec.repetitions > 0) {
        out["times"] = job.spec.repetitions;
        out["first"] = job.spec.firstStart;
        out["every"] = job.spec.interval.count();
    }
    return Common::writeJson(out);
}

std::optional<job_record> decodeJob(std::string_view bytes)
{
    return tryDecode(bytes, [](const json& in) {
        job_record job;
        job.id = in.at("id").get<Common::job_id>();
        job.queue = in.at("queue").get<Common::queue_id>();
        job.team = in.at("team").get<Common::team_id>();
        job.acceptedAt = in.at("at").get<Common::wall_millis>();
        job.spec.payload = in.at("payload").get<std::string>();
        for (const auto& step : in.at("steps"))
            job.spec.steps.push_back(stepFromJson(step));
        job.spec.repetitions = in.value("times", 0);
        job.spec.firstStart.value = in.value("first", std::int64_t { 0 });
        job.spec.interval = Common::millis(in.value("every", std::int64_t { 0 }));
        return job;
    });
}

std::string encodeProgress(const job_progress& progress)
{
    json tasks = json::array();
    for (const auto& task : progress.tasks) {
        json row = json::array({ task.occurrence, task.step, task.index });
        if (!task.isDone) {
            row.push_back(task.failedRuns);
            row.push_back(task.checkpoint);
            row.push_back(task.worker);
            row.push_back(task.run);
        }
        tasks.push_back(std::move(row));
    }
    return Common::writeJson({ { "state", static_cast<int>(progress.state) }, { "tasks", tasks } });
}

std::optional<job_progress> decodeProgress(const Common::job_id& job, std::string_view bytes)
{
    return tryDecode(bytes, [&job](const json& in) {
        job_progress progress;
        progress.job = job;
        progress.state = Common::enumFromJson(in.at("state"), lastState);
        for (const auto& row : in.at("tasks"))
            progress.tasks.push_back(taskFromJson(row));
        return progress;
    });
}

}
