#include "DispatcherFixture.h"

#include <catch2/catch.hpp>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Workers of a pool, each on a machine of its own. A worker that starts a task of a crashing job crashes soon after; a
/// new worker comes to its address some seconds later. Other tasks succeed after some time.
struct crashing_pool : dispatcher_fixture {
    static constexpr milliseconds crashDelay { 10 };
    static constexpr milliseconds workTime { 800 };

    struct running_task {
        Dispatch::start_order order;
        Common::instant startedAt;
    };

    struct machine {
        Dispatch::worker_entry worker;
        std::map<Jobs::task_name, running_task> running;
        std::vector<Dispatch::listed_end> ended;
        std::int64_t lastEnd { 0 };
        int lives { 0 };
        std::optional<Common::instant> crashesAt;
        std::optional<Common::instant> backAt;
    };

    explicit crashing_pool(int count, std::int64_t token = 7, std::int64_t runBase = 0,
        std::optional<Common::instant> takenOverAt = std::nullopt)
        : dispatcher_fixture(token, runBase)
    {
        now = takenOverAt.value_or(now);
        machines.resize(static_cast<std::size_t>(count));
        for (auto& current : machines)
            begin(current);
    }

    void begin(machine& current)
    {
        const auto number = std::to_string(&current - machines.data());
        current.worker = worker("w" + number + '-' + std::to_string(current.lives++));
        current.worker.address.port = static_cast<std::uint16_t>(1000 + (&current - machines.data()));
        current.worker.rack.value = "r" + number;
        current.worker.incarnationStartedAt = wall();
        current.backAt.reset();
        current.ended.clear();
        current.lastEnd = 0;
        dispatcher.workerRegistered(current.worker, now, now);
    }

    machine* findMachine(const Common::worker_id& id)
    {
        const auto found = std::find_if(
            machines.begin(), machines.end(), [&id](const auto& current) { return current.worker.id == id; });
        return found == machines.end() || found->backAt ? nullptr : &*found;
    }

    Dispatch::order_reply replyOf(const Common::worker_id& id, Dispatch::order_outcome outcome)
    {
        const auto* current = findMachine(id);
        return { .outcome = outcome, .clock = Dispatch::worker_millis { wall().value }, .incarnationStartedAt = current ? current->worker.incarnationStartedAt : Common::wall_millis() };
    }

    /// Whether another worker has come to the address of this one.
    bool isReplaced(const Dispatch::worker_address& recipient) const
    {
        return std::any_of(machines.begin(), machines.end(), [&recipient](const auto& current) {
            return !current.backAt && current.worker.address == recipient.address && current.worker.id != recipient.id;
        });
    }

    void answer(const Dispatch::start_order& order)
    {
        auto* current = findMachine(order.worker.id);
        if (!current) {
            const auto outcome = isReplaced(order.worker) ? Dispatch::order_outcome::OtherIncarnation
                                                          : Dispatch::order_outcome::NotSent;
            dispatcher.onStart(order, { .outcome = outcome }, now);
            return;
        }
        ++starts[order.task];
        current->running[order.task] = { .order = order, .startedAt = now };
        if (crashing.contains(order.task) && !current->crashesAt)
            current->crashesAt = now + crashDelay;
        dispatcher.onStart(order, replyOf(order.worker.id, Dispatch::order_outcome::Done), now);
    }

    void answer(const Dispatch::poll_order& order)
    {
        auto* current = findMachine(order.worker.id);
        if (!current) {
            const auto outcome = isReplaced(order.worker) ? Dispatch::order_outcome::OtherIncarnation
                                                          : Dispatch::order_outcome::NoAnswer;
            dispatcher.onPollReply(order, { .base = { .outcome = outcome } }, now, now);
            return;
        }
        std::erase_if(current->ended, [&order](const auto& end) { return end.number <= order.acknowledgedEnd; });
        Dispatch::poll_order_reply reply { .base = replyOf(order.worker.id, Dispatch::order_outcome::Done),
            .ended = current->ended };
        for (const auto& [task, run] : current->running)
            reply.running.push_back({ .task = task, .run = run.order.run, .percent = { 100 } });
        dispatcher.onPollReply(order, reply, now, now);
    }

    void crash(machine& current)
    {
        for (const auto& [task, run] : current.running)
            ++crashes[task];
        current.running.clear();
        current.crashesAt.reset();
        current.backAt = now + downTime;
        ++crashCount;
    }

    void endTasks(machine& current)
    {
        std::erase_if(current.running, [this, &current](const auto& entry) {
            const auto& [task, run] = entry;
            if (now - run.startedAt < workTime || lasting.contains(task.job))
                return false;
            current.ended.push_back({ .number = { ++current.lastEnd }, .task = task, .run = run.order.run });
            ++done[task.job];
            return true;
        });
    }

    void advance(milliseconds time)
    {
        for (const auto until = now + time; now < until;) {
            for (auto& current : machines) {
                if (current.crashesAt && now >= *current.crashesAt)
                    crash(current);
                if (current.backAt && now >= *current.backAt)
                    begin(current);
                endTasks(current);
            }
            const auto orders = plan();
            for (const auto& order : orders.stops)
                dispatcher.onStop(order, replyOf(order.worker.id, Dispatch::order_outcome::Done), now);
            for (const auto& order : orders.polls)
                answer(order);
            for (const auto& order : orders.starts)
                answer(order);
        }
    }

    void addCrashing(const std::string& id, int tasks = 1)
    {
        add(job(id, { step(tasks) }));
        crashing.insert({ .job = { id } });
    }

    bool isFailed(const std::string& id) const
    {
        return std::any_of(events.begin(), events.end(), [&id](const auto& event) {
            return event.kind == Dispatch::dispatch_event_kind::JobFinished && event.task.job.value == id
                && event.state == Jobs::job_state::Failed;
        });
    }

    std::vector<machine> machines;
    milliseconds downTime { 3000 };
    /// Tasks that crash their workers, and jobs whose tasks don't end.
    std::set<Jobs::task_name> crashing;
    std::set<Common::job_id> lasting;
    std::map<Jobs::task_name, int> starts;
    /// Workers that crashed while they ran the task.
    std::map<Jobs::task_name, int> crashes;
    std::map<Common::job_id, int> done;
    int crashCount { 0 };
};

const Jobs::task_name firstTask { .job = { "bad" } };

}

TEST_CASE("A task that crashes the workers that start it is given up after two crashes", "[crash]")
{
    crashing_pool f(8);
    f.addCrashing("bad");

    SECTION("while nothing else runs")
    {
        f.advance(seconds(30));
        CHECK(f.isFailed("bad"));
        CHECK(f.crashCount == 2);
        CHECK(f.starts[firstTask] == 2);
    }
    SECTION("and the tasks that ran beside it succeed")
    {
        for (int number = 0; number < 12; ++number)
            f.add(dispatcher_fixture::job("good" + std::to_string(number), { dispatcher_fixture::step(4) }));
        f.advance(seconds(30));
        CHECK(f.isFailed("bad"));
        CHECK(f.crashCount <= 3);
        for (int number = 0; number < 12; ++number)
            CHECK(f.done[{ "good" + std::to_string(number) }] >= 4);
        for (int number = 0; number < 12; ++number)
            CHECK_FALSE(f.isFailed("good" + std::to_string(number)));
    }
    SECTION("also when its job has other tasks, and other jobs come all the time")
    {
        f.addCrashing("worse", 6);
        for (int number = 0; number < 60; ++number) {
            f.add(dispatcher_fixture::job("good" + std::to_string(number), { dispatcher_fixture::step(3) }));
            f.advance(milliseconds(200));
        }
        f.advance(seconds(20));
        CHECK(f.isFailed("bad"));
        CHECK(f.isFailed("worse"));
        CHECK(f.crashes[firstTask] <= 3);
        CHECK(f.crashes[{ .job = { "worse" } }] <= 3);
        for (int number = 0; number < 60; ++number) {
            CHECK_FALSE(f.isFailed("good" + std::to_string(number)));
            CHECK(f.done[{ "good" + std::to_string(number) }] >= 3);
        }
    }
    SECTION("also when its workers stay away for long")
    {
        f.downTime = seconds(8);
        f.advance(seconds(60));
        CHECK(f.isFailed("bad"));
        CHECK(f.starts[firstTask] <= 3);
    }
    SECTION("also when its workers are to be moved after they have crashed")
    {
        while (!f.isFailed("bad") && f.crashCount < 10) {
            const auto crashes = f.crashCount;
            while (f.crashCount == crashes && !f.isFailed("bad"))
                f.advance(milliseconds(10));
            f.advance(milliseconds(50));
            for (auto& current : f.machines) {
                if (current.backAt)
                    f.dispatcher.setCordoned(current.worker.id, true);
            }
        }
        CHECK(f.isFailed("bad"));
        CHECK(f.crashCount == 2);
    }
    SECTION("also when it is to run until its job is cancelled")
    {
        auto spec = dispatcher_fixture::step(2);
        spec.isLongRunning = true;
        f.add(dispatcher_fixture::job("lasting", { spec }));
        f.lasting.insert({ "lasting" });
        f.crashing.insert({ .job = { "lasting" }, .index = 1 });
        f.advance(seconds(60));
        CHECK(f.isFailed("lasting"));
        CHECK((f.starts[{ .job = { "lasting" }, .index = 1 }]) <= 3);
    }
}

TEST_CASE("The next leader knows how many workers have crashed under a task", "[crash]")
{
    crashing_pool f(6);
    f.addCrashing("bad");
    f.advance(seconds(4));
    REQUIRE(f.crashes[firstTask] >= 1);
    const auto known = f.stored.progress;
    const auto progress = std::find_if(
        known.rbegin(), known.rend(), [](const auto& stored) { return stored.job.value == "bad"; });
    REQUIRE(progress != known.rend());

    crashing_pool next(6, 8, 1000, f.now);
    next.crashing.insert(firstTask);
    next.add(dispatcher_fixture::job("bad", { dispatcher_fixture::step(1) }), *progress);
    next.advance(seconds(40));
    CHECK(next.isFailed("bad"));
    // The rule allows fewer than three more starts after three crashes.
    CHECK(f.starts[firstTask] + next.starts[firstTask] <= 5);
}

TEST_CASE("Workers that are cut off for some time don't make their tasks suspects for good", "[crash]")
{
    crashing_pool f(4);
    f.add(dispatcher_fixture::job("good", { dispatcher_fixture::step(8) }));
    f.advance(milliseconds(100));
    REQUIRE(f.starts.size() == 8);
    // They don't answer until their leases have expired, and go on as the same incarnation.
    for (auto& current : f.machines) {
        current.running.clear();
        current.backAt = Common::instant::max();
    }
    f.advance(seconds(5));
    for (auto& current : f.machines)
        current.backAt.reset();
    f.advance(seconds(10));
    CHECK(f.done[{ "good" }] == 8);
    CHECK_FALSE(f.isFailed("good"));
}

TEST_CASE("A long-running task isn't evicted while another one of its step is on a worker that doesn't answer", "[crash]")
{
    crashing_pool f(2);
    auto spec = dispatcher_fixture::step(2, 8000);
    spec.isLongRunning = true;
    spec.disruptionBudget = 1;
    f.add(dispatcher_fixture::job("lasting", { spec }));
    f.lasting.insert({ "lasting" });
    f.advance(seconds(1));
    REQUIRE(f.starts.size() == 2);
    // Its process has ended, and its lease hasn't expired yet.
    f.machines[1].backAt = Common::instant::max();
    f.advance(milliseconds(600));
    f.dispatcher.evictLongRunning(f.machines[0].worker.id);
    CHECK(f.turn().stops.empty());
}
