#include "Jobs/JobCodec.h"

#include "Common/JsonFields.h"
#include "Jobs/JobNames.h"

#include <algorithm>

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

    constexpr Common::wall_millis unknownIncarnation;
    /// Position of a worker in a progress record for a task that isn't placed.
    constexpr std::int64_t noWorker = -1;

    constexpr std::size_t maxTasks = static_cast<std::size_t>(maxStepsPerJob) * maxTasksPerStep;

    /// Writes tasks by step, in their order. Of a step, a number is the index of a task that is done, two numbers are
    /// the first and the last index of a range of them, and a longer row is a task with its state. Workers are written
    /// once, and run numbers as the difference from the lowest one.
    class progress_writer {
    public:
        explicit progress_writer(const job_progress& progress)
            : m_progress(progress)
        {
            for (const auto& task : progress.tasks) {
                if (!task.isDone)
                    m_runBase = m_runBase ? std::min(*m_runBase, task.run) : task.run;
            }
        }

        json write()
        {
            const auto& tasks = m_progress.tasks;
            for (std::size_t first = 0; first < tasks.size();) {
                auto last = first;
                while (last + 1 < tasks.size() && isFollowing(tasks[last], tasks[last + 1]))
                    ++last;
                stepOf(tasks[first]).push_back(row(tasks[first], tasks[last]));
                first = last + 1;
            }
            json out { { "s", static_cast<int>(m_progress.state) } };
            writeOwner(out);
            if (tasks.empty())
                return out;
            out["steps"] = m_steps;
            if (!m_workers.empty()) {
                out["w"] = m_workers;
                writeIncarnations(out);
            }
            if (m_runBase)
                out["r"] = *m_runBase;
            return out;
        }

    private:
        /// The key of the record tells the rest. Readers of earlier versions ignore both fields.
        void writeOwner(json& out) const
        {
            if (usesCallerKey(m_progress) && hasScope(m_progress.job))
                out["k"] = scopeDigestOf(m_progress.job);
            if (m_progress.lanes.size() > 1 || !usesCallerKey(m_progress))
                out["l"] = m_progress.lanes;
        }

        static bool isFollowing(const task_progress& task, const task_progress& next)
        {
            return task.isDone && next.isDone && task.occurrence == next.occurrence && task.step == next.step
                && task.index + 1 == next.index;
        }

        json& stepOf(const task_progress& task)
        {
            const bool isSame = !m_steps.empty() && m_steps.back()[0] == task.occurrence && m_steps.back()[1] == task.step;
            if (!isSame)
                m_steps.push_back(json::array({ task.occurrence, task.step }));
            return m_steps.back();
        }

        /// The lowest one, and the differences of all from it. A worker whose incarnation isn't known has a negative one.
        void writeIncarnations(json& out) const
        {
            std::optional<Common::wall_millis> lowest;
            for (const auto incarnation : m_incarnations) {
                if (incarnation != unknownIncarnation)
                    lowest = lowest ? std::min(*lowest, incarnation) : incarnation;
            }
            if (!lowest)
                return;
            auto differences = json::array({ *lowest });
            for (const auto incarnation : m_incarnations)
                differences.push_back(incarnation == unknownIncarnation ? -1 : incarnation.value - lowest->value);
            out["b"] = std::move(differences);
        }

        json row(const task_progress& task, const task_progress& last)
        {
            if (task.isDone)
                return task.index == last.index ? json(task.index) : json::array({ task.index, last.index });
            auto out = json::array({ task.index, positionOf(task.worker, task.incarnation), task.run - *m_runBase });
            const bool hasCrashes = !task.crashedRuns.empty();
            const bool hasFailures = hasCrashes || !task.failedRuns.empty();
            if (hasFailures || !task.checkpoint.empty())
                out.push_back(task.checkpoint);
            if (hasFailures)
                out.push_back(task.failedRuns);
            if (hasCrashes)
                out.push_back(task.crashedRuns);
            return out;
        }

        std::int64_t positionOf(const Common::worker_id& worker, Common::wall_millis incarnation)
        {
            if (worker.empty())
                return noWorker;
            std::size_t position = 0;
            while (position < m_workers.size()
                && (m_workers[position] != worker || m_incarnations[position] != incarnation))
                ++position;
            if (position == m_workers.size()) {
                m_workers.push_back(worker);
                m_incarnations.push_back(incarnation);
            }
            return static_cast<std::int64_t>(position);
        }

        const job_progress& m_progress;
        json m_steps = json::array();
        /// Each incarnation of a worker once: its id, and when the incarnation started.
        std::vector<Common::worker_id> m_workers;
        std::vector<Common::wall_millis> m_incarnations;
        std::optional<std::int64_t> m_runBase;
    };

    int indexFromJson(const json& number)
    {
        const auto index = number.get<std::int64_t>();
        if (index < 0 || index >= maxTasksPerStep)
            throw json::other_error::create(Common::jsonOtherError, "invalid index of a task", nullptr);
        return static_cast<int>(index);
    }

    /// Damaged ranges mustn't take more memory than the largest job.
    void rangeFromJson(const json& row, task_progress task, std::vector<task_progress>& tasks)
    {
        const int first = indexFromJson(row.at(0));
        const int last = indexFromJson(row.at(1));
        if (last < first || tasks.size() + static_cast<std::size_t>(last - first) >= maxTasks)
            throw json::other_error::create(Common::jsonOtherError, "invalid range of tasks", nullptr);
        for (task.index = first; task.index <= last; ++task.index)
            tasks.push_back(task);
    }

    void readPlacement(const json& record, std::size_t position, task_progress& task)
    {
        task.worker = record.at("w").at(position).get<Common::worker_id>();
        if (!record.contains("b"))
            return;
        const auto& incarnations = record.at("b");
        const auto difference = incarnations.at(position + 1).get<std::int64_t>();
        if (difference >= 0)
            task.incarnation.value = incarnations.at(0).get<std::int64_t>() + difference;
    }

    void rowFromJson(const json& row, const json& record, task_progress task, std::vector<task_progress>& tasks)
    {
        constexpr std::size_t rangeSize = 2;
        task.isDone = row.is_number() || row.size() <= rangeSize;
        if (row.is_array() && task.isDone) {
            rangeFromJson(row, task, tasks);
            return;
        }
        task.index = indexFromJson(task.isDone ? row : row.at(0));
        if (!task.isDone) {
            const auto position = row.at(1).get<std::int64_t>();
            if (position != noWorker)
                readPlacement(record, static_cast<std::size_t>(position), task);
            task.run = record.at("r").get<std::int64_t>() + row.at(2).get<std::int64_t>();
            if (row.size() > 3)
                task.checkpoint = row.at(3).get<std::string>();
            if (row.size() > 4)
                task.failedRuns = row.at(4).get<std::vector<std::int64_t>>();
            if (row.size() > 5)
                task.crashedRuns = row.at(5).get<std::vector<std::int64_t>>();
        }
        tasks.push_back(std::move(task));
    }

    std::vector<task_progress> tasksFromJson(const json& record)
    {
        std::vector<task_progress> tasks;
        if (!record.contains("steps"))
            return tasks;
        for (const auto& step : record.at("steps")) {
            const task_progress task { .occurrence = step.at(0).get<int>(), .step = step.at(1).get<int>() };
            for (std::size_t position = 2; position < step.size(); ++position)
                rowFromJson(step.at(position), record, task, tasks);
        }
        return tasks;
    }

    /// Task in a record of the earlier form. The row of a task that is done has just its three indexes.
    task_progress taskFromEarlierForm(const json& row)
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
    json out { { "id", callerIdOf(job.id) }, { "queue", job.queue }, { "team", job.team }, { "at", job.acceptedAt },
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
        job.queue = in.at("queue").get<Common::queue_id>();
        job.team = in.at("team").get<Common::team_id>();
        job.id = jobIdOf(in.at("id").get<Common::caller_job_id>(), scopeOf(job));
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
    return Common::writeJson(progress_writer(progress).write());
}

std::optional<job_progress> decodeProgress(const Common::job_id& job, std::string_view bytes)
{
    return tryDecode(bytes, [&job](const json& in) {
        job_progress progress;
        progress.job = in.contains("k") ? jobIdOf(callerIdOf(job), in.at("k").get<std::string>()) : job;
        progress.lanes = in.value("l", std::vector<int> { 0 });
        const bool isEarlierForm = in.contains("state");
        progress.state = Common::enumFromJson(in.at(isEarlierForm ? "state" : "s"), lastState);
        if (!isEarlierForm) {
            progress.tasks = tasksFromJson(in);
            return progress;
        }
        for (const auto& row : in.at("tasks"))
            progress.tasks.push_back(taskFromEarlierForm(row));
        return progress;
    });
}

}
