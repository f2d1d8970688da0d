#include "Jobs/JobCodec.h"
#include "LeadershipFixture.h"

#include <catch2/catch.hpp>

/// Guards against jobs that are lost or mixed because callers of different queues or teams chose the same identifier.
namespace {

Jobs::job_record jobOf(const std::string& queue, const std::string& team = "team", std::int64_t acceptedAt = 1)
{
    Jobs::job_record job { .queue = { queue },
        .team = { team },
        .acceptedAt = { acceptedAt },
        .spec = { .payload = queue, .steps = { { .count = 2, .request = { .processor = { 1000 } } } } } };
    job.id = Jobs::jobIdOf({ "0123456789abcdef" }, Jobs::scopeOf(job));
    return job;
}

/// A job as an earlier version stores it.
Records::keyed_record earlierRecord(const Jobs::job_record& job)
{
    return { .key = Jobs::callerIdOf(job.id).value, .value = Jobs::encodeJob(job) };
}

struct log_reader : ControlPlane::job_listener {
    void jobAccepted(const Common::job_id&) override { }
    void jobCancelled(const Common::job_id& id) override { cancelled.push_back(id); }

    Jobs::job_registry jobs;
    std::vector<Common::job_id> cancelled;
    ControlPlane::intake_feed intake { jobs, *this };
    ControlPlane::progress_feed progress { jobs };
    ControlPlane::state_feed states { jobs, progress };
};

struct two_queues_fixture : leadership_fixture {
    two_queues_fixture()
    {
        gateway.finishesTasks = true;
        gateway.workTime = Common::millis(2000);
        add("first");
        timers.advance(Common::millis(2000));
    }

    void add(const std::string& member)
    {
        instances.push_back(std::make_unique<instance>(
            *this, ControlPlane::leadership_options { .member = member, .progressTopic = progress() }));
        auto twoQueues = rules();
        twoQueues.queues.push_back(twoQueues.queues.front());
        twoQueues.queues.back().id = { "r" };
        twoQueues.queues.back().pathPrefix = "/r/";
        instances.back()->manager->setRules(twoQueues);
    }

    void submit(const Jobs::job_record& job)
    {
        const auto record = ControlPlane::jobRecord(job);
        store.put({ "keyed.intake", 0 }, record.key, record.value);
    }

    std::vector<std::unique_ptr<instance>> instances;
};

}

TEST_CASE("Two jobs with one identifier are both kept by the store and by each reader", "[same-id]")
{
    const auto first = jobOf("q");
    const auto second = GENERATE(jobOf("r"), jobOf("q", "other"));
    log_reader log;
    CHECK(ControlPlane::jobRecord(first).key != ControlPlane::jobRecord(second).key);
    log.intake.apply(ControlPlane::jobRecord(second));
    log.intake.apply(ControlPlane::jobRecord(first));
    CHECK(log.jobs.openJobs().size() == 2);

    SECTION("each caller sees its own")
    {
        const Common::caller_job_id id { "0123456789abcdef" };
        CHECK(log.jobs.find(id, Jobs::scopeOf(first))->queue == first.queue);
        CHECK(log.jobs.find(id, Jobs::scopeOf(second))->team == second.team);
        CHECK_FALSE(log.jobs.find(id, { .queue = { "third" }, .team = { "team" } }));
    }
    SECTION("progress and states of one don't count for the other")
    {
        log.progress.apply(ControlPlane::progressRecord({ .job = first.id,
            .state = Jobs::job_state::Running,
            .lanes = { 0 },
            .tasks = { { .isDone = true }, { .index = 1, .isDone = true } } }));
        CHECK(log.jobs.progressOf(first.id).tasks.size() == 2);
        CHECK(log.jobs.progressOf(second.id).tasks.empty());
        log.progress.apply(ControlPlane::progressRecord(
            { .job = second.id, .state = Jobs::job_state::Completed, .lanes = { 1 } }));
        CHECK(log.jobs.stateOf(first.id) == Jobs::job_state::Running);
        CHECK(log.jobs.stateOf(second.id) == Jobs::job_state::Completed);
        CHECK(log.jobs.highestLaneOfOthers(first.id) == 1);
        CHECK(log.jobs.highestLaneOfOthers(second.id) == 0);
    }
    SECTION("published states are kept apart, whatever is read first, and their copies for earlier versions count for none")
    {
        const std::vector<Records::keyed_record> published { ControlPlane::stateRecord(
                                                                 first.id, Jobs::job_state::Completed),
            ControlPlane::stateRecord({ Jobs::callerIdOf(first.id).value }, Jobs::job_state::Completed) };
        const bool isCopyFirst = GENERATE(false, true);
        log.states.apply(published[isCopyFirst ? 1 : 0]);
        log.states.apply(published[isCopyFirst ? 0 : 1]);
        CHECK(log.jobs.stateOf(first.id) == Jobs::job_state::Completed);
        CHECK(log.jobs.stateOf(second.id) == Jobs::job_state::Pending);
    }
    SECTION("a cancellation of a third one is kept for it")
    {
        auto third = jobOf("q", "third");
        log.intake.apply(ControlPlane::cancelRecord(Jobs::callerIdOf(third.id), Jobs::scopeOf(third)));
        log.intake.apply(ControlPlane::jobRecord(jobOf("s")));
        log.intake.apply(ControlPlane::jobRecord(third));
        CHECK(log.jobs.cancelledJobs() == std::vector { third.id });
    }
    SECTION("a cancellation cancels one of them")
    {
        log.intake.apply(ControlPlane::cancelRecord(Jobs::callerIdOf(second.id), Jobs::scopeOf(second)));
        CHECK(log.cancelled == std::vector { second.id });
        CHECK(log.jobs.stateOf(first.id) == Jobs::job_state::Pending);
        CHECK(log.jobs.cancelledJobs() == std::vector { second.id });
    }
}

TEST_CASE("During an upgrade, versions that know the caller's identifier alone lose nothing", "[same-id]")
{
    const auto job = jobOf("q");
    const auto callerKey = Jobs::callerIdOf(job.id).value;
    const Jobs::job_progress started { .job = job.id,
        .state = Jobs::job_state::Running,
        .lanes = { 0 },
        .tasks = { { .isDone = true }, { .index = 1, .worker = { "w" }, .run = 7 } } };
    log_reader log;

    SECTION("what they stored counts for the job, also if it was submitted again since")
    {
        log.progress.apply({ .key = callerKey, .value = R"({"s":1,"steps":[[0,0,0,[1,0,0]]],"w":["w"],"r":7})" });
        log.intake.apply(earlierRecord(job));
        log.intake.apply(ControlPlane::jobRecord(job));
        CHECK(log.jobs.openJobs() == std::vector { job.id });
        CHECK(log.jobs.progressOf(job.id) == started);
    }
    SECTION("they read the progress of the first job with an identifier")
    {
        CHECK(ControlPlane::progressRecord(started).key == callerKey);
        auto later = started;
        later.part = 3;
        CHECK(ControlPlane::progressRecord(later).key == callerKey + "#3");
        CHECK(ControlPlane::progressRecord({ .job = job.id, .lanes = { 1 } }).key == job.id.value);
    }
    SECTION("after a leader of theirs between two of the present version, its progress is the newest")
    {
        log.intake.apply(ControlPlane::jobRecord(job));
        log.progress.apply(ControlPlane::progressRecord(started));
        log.progress.apply({ .key = callerKey, .value = R"({"s":2})" });
        CHECK(log.jobs.stateOf(job.id) == Jobs::job_state::Completed);
    }
    SECTION("of two jobs with one identifier, theirs is the one that was accepted first")
    {
        const auto later = jobOf("r", "team", 2);
        log.intake.apply(earlierRecord(later));
        log.progress.apply({ .key = callerKey, .value = R"({"s":1,"steps":[[0,0,0,[1,0,0]]],"w":["w"],"r":7})" });
        log.intake.apply(earlierRecord(job));
        CHECK(log.jobs.progressOf(job.id).tasks == started.tasks);
        CHECK(log.jobs.progressOf(later.id).tasks.empty());
        CHECK(log.jobs.highestLaneOfOthers(later.id) == 0);
        CHECK(log.jobs.highestLaneOfOthers(job.id) == -1);
    }
    SECTION("their cancellations and states count")
    {
        log.intake.apply(ControlPlane::jobRecord(job));
        log.states.apply({ .key = callerKey, .value = "1" });
        CHECK(log.jobs.stateOf(job.id) == Jobs::job_state::Running);
        log.intake.apply({ .key = "~" + callerKey, .value = "1" });
        CHECK(log.cancelled == std::vector { job.id });
        CHECK(log.jobs.stateOf(job.id) == Jobs::job_state::Cancelled);
    }
}

TEST_CASE("Two jobs with one identifier complete on their own tasks, whoever leads", "[same-id]")
{
    two_queues_fixture s;
    const auto first = jobOf("q");
    const auto second = jobOf("r");
    const auto& jobs = [&s]() -> const Jobs::job_registry& { return s.instances.back()->jobRegistry; };
    const auto areCompleted = [&] {
        return jobs().stateOf(first.id) == Jobs::job_state::Completed
            && jobs().stateOf(second.id) == Jobs::job_state::Completed;
    };
    s.submit(first);
    s.timers.advance(Common::millis(1000));
    REQUIRE(jobs().stateOf(first.id) == Jobs::job_state::Running);
    s.submit(second);
    s.timers.advance(Common::millis(500));

    SECTION("the leader stays")
    {
        CHECK(jobs().stateOf(second.id) == Jobs::job_state::Pending);
        s.timers.advance(Common::millis(8000));
    }
    SECTION("the leader is replaced while the first one runs, by one that read the second one first")
    {
        s.instances.back()->kill();
        s.store.compact({ "keyed.intake", 0 });
        s.store.compact(leadership_fixture::progress());
        s.add("second");
        s.timers.advance(Common::millis(12000));
    }
    CHECK(areCompleted());
    CHECK(s.gateway.mixedStarts == 0);
    // One worker, so the second one has waited for the first one's tasks; each task ran once.
    std::map<std::string, int> runs;
    for (const auto& [task, starts] : s.gateway.starts)
        runs[task.job.value] += starts;
    CHECK(runs == std::map<std::string, int> { { first.id.value, 2 }, { second.id.value, 2 } });
}
