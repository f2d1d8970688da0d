#include "Bench/PolicySimulation.h"

#include "Bench/Percentiles.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <set>

namespace Bench {

namespace {

    using Common::instant;
    using Common::millis;

    const instant start = instant(std::chrono::hours(1));
    constexpr millis step { 5 };
    constexpr millis window { 30'000 };
    constexpr millis windowMargin { 2500 };
    constexpr millis outageRecoveryTime { window / 3 };
    constexpr millis exchangeInterval { 5 };
    constexpr millis decayInterval { 500 };
    constexpr double burstFactor = 5;
    constexpr double quietFactor = 0.05;
    constexpr int dataCentres = 3;
    constexpr double percentWhole = 100;

    /// One request of the generated load, the same for each policy.
    struct load_item {
        millis at;
        int pool { 0 };
        int team { 0 };
        millis run;
        int instance { 0 };
    };

    std::vector<load_item> makeLoad(const policy_options& options)
    {
        std::mt19937_64 random(options.seed);
        const double slotsPerPool = options.workersPerPool * options.slots;
        // On average a queue keeps half of its pool busy; during its burst it asks for far more than the pool has.
        const double meanRate = slotsPerPool / static_cast<double>(options.meanRun.count()) / 2;
        std::exponential_distribution<double> runTime(1.0 / static_cast<double>(options.meanRun.count()));
        std::uniform_int_distribution<int> anyInstance(0, options.instances - 1);
        std::vector<load_item> items;
        for (millis now { 0 }; now < options.length; now += step) {
            const auto busyPool = static_cast<int>(now / options.burstLength) % options.pools;
            for (int pool = 0; pool < options.pools; ++pool) {
                const double factor = pool == busyPool ? burstFactor : quietFactor;
                const double expected = meanRate * factor * static_cast<double>(step.count());
                for (int team = 0; team < static_cast<int>(options.teams.size()); ++team) {
                    std::poisson_distribution<int> arrivals(expected / static_cast<double>(options.teams.size()));
                    for (int count = arrivals(random); count > 0; --count) {
                        const auto run = millis(static_cast<std::int64_t>(runTime(random)) + 1);
                        items.push_back({ .at = now, .pool = pool, .team = team, .run = run, .instance = anyInstance(random) });
                    }
                }
            }
        }
        return items;
    }

    /// Collects the slots that each team used in each pool, the waiting times and the outcome of the requests.
    class policy_statistics {
    public:
        explicit policy_statistics(const policy_options& options)
            : m_options(options)
            , m_running(static_cast<std::size_t>(options.pools), std::vector<int>(options.teams.size()))
            , m_runningInWindow(m_running)
        {
            for (auto& pool : m_runningInWindow)
                std::ranges::fill(pool, 0);
        }

        void onStart(int pool, int team) { ++runningOf(pool, team); }
        void onEnd(int pool, int team) { --runningOf(pool, team); }
        void onWait(double waitMillis) { m_waits.push_back(waitMillis); }
        void onAnswered(bool inTime) { inTime ? ++m_inTime : ++m_late; }

        /// `full`: whether all teams wait in a pool, one entry per pool. `capacityPart`: part of the slots in service.
        void onStep(millis now, const std::vector<bool>& full, double capacityPart);

        policy_result result();

    private:
        int& runningOf(int pool, int team)
        {
            return m_running[static_cast<std::size_t>(pool)][static_cast<std::size_t>(team)];
        }
        void closeWindow(std::size_t pool);

        const policy_options& m_options;
        std::vector<std::vector<int>> m_running;
        std::vector<std::vector<int>> m_runningInWindow;
        std::map<std::size_t, int> m_fullSteps;
        std::vector<double> m_errors;
        std::vector<double> m_waits;
        std::int64_t m_inTime { 0 };
        std::int64_t m_late { 0 };
        double m_outageSlotsUsed { 0 };
        double m_outageSlotsLeft { 0 };
        int m_violations { 0 };
    };

    void policy_statistics::onStep(millis now, const std::vector<bool>& full, double capacityPart)
    {
        const double slotsPerPool = m_options.workersPerPool * m_options.slots;
        for (std::size_t team = 0; team < m_options.teams.size(); ++team) {
            int running = 0;
            for (const auto& pool : m_running)
                running += pool[team];
            m_violations += running > m_options.teams[team].upperLimit ? 1 : 0;
        }
        for (std::size_t pool = 0; pool < m_running.size(); ++pool) {
            const bool isOut = now >= m_options.outageStart && now < m_options.outageEnd + outageRecoveryTime;
            int used = 0;
            for (const int running : m_running[pool])
                used += running;
            if (isOut && full[pool] && m_options.outageStart < m_options.outageEnd) {
                m_outageSlotsUsed += used;
                m_outageSlotsLeft += slotsPerPool * capacityPart;
            }
            if (!full[pool] || capacityPart < 1) {
                m_fullSteps[pool] = 0;
                std::ranges::fill(m_runningInWindow[pool], 0);
                continue;
            }
            for (std::size_t team = 0; team < m_options.teams.size(); ++team)
                m_runningInWindow[pool][team] += m_running[pool][team];
            if (++m_fullSteps[pool] * step >= window - windowMargin)
                closeWindow(pool);
        }
    }

    void policy_statistics::closeWindow(std::size_t pool)
    {
        const double slotsPerPool = m_options.workersPerPool * m_options.slots;
        double shares = 0;
        for (const auto& team : m_options.teams)
            shares += team.share;
        for (std::size_t team = 0; team < m_options.teams.size(); ++team) {
            const double had = m_runningInWindow[pool][team] / static_cast<double>(m_fullSteps[pool]) / slotsPerPool;
            m_errors.push_back(std::abs(had - m_options.teams[team].share / shares) * percentWhole);
        }
        m_fullSteps[pool] = 0;
        std::ranges::fill(m_runningInWindow[pool], 0);
    }

    policy_result policy_statistics::result()
    {
        policy_result result { .limitViolations = m_violations };
        double sum = 0;
        for (const double error : m_errors) {
            result.worstShareError = std::max(result.worstShareError, error);
            sum += error;
        }
        result.meanShareError = m_errors.empty() ? 0 : sum / static_cast<double>(m_errors.size());
        result.answeredInTime = percentWhole * static_cast<double>(m_inTime) / std::max(1.0, static_cast<double>(m_inTime + m_late));
        result.outageThroughput = m_outageSlotsLeft > 0 ? percentWhole * m_outageSlotsUsed / m_outageSlotsLeft : 0;
        result.p99WaitMillis = percentile(m_waits, 0.99);
        return result;
    }

    struct task_end {
        instant at;
        int pool { 0 };
        int team { 0 };
        Common::task_id task;

        friend bool operator>(const task_end& left, const task_end& right) { return left.at > right.at; }
    };
    using task_ends = std::priority_queue<task_end, std::vector<task_end>, std::greater<>>;

    /// Permits of one holder, from its permit cache.
    class permit_cache_source final : public Pool::permit_source {
    public:
        explicit permit_cache_source(Limits::permit_cache& cache)
            : m_cache(cache)
        {
        }
        bool tryAcquire(const Common::team_id& team) override { return m_cache.tryAcquire(team); }
        void release(const Common::team_id& team) override { m_cache.release(team); }
        void setWaiting(const Common::team_id& team, Common::slot_count waiting) override
        {
            m_cache.addWaiting(team, waiting - m_waiting[team]);
            m_waiting[team] = waiting;
        }

    private:
        Limits::permit_cache& m_cache;
        std::map<Common::team_id, Common::slot_count> m_waiting;
    };

    /// Simulates the project's policy with the real schedulers, permit caches and ledgers. Tasks end on time.
    class ledger_simulation {
    public:
        explicit ledger_simulation(const policy_options& options)
            : m_options(options)
            , m_statistics(options)
        {
            makeState();
            makePools();
        }

        policy_result run();

    private:
        struct holder {
            std::unique_ptr<Limits::permit_cache> cache;
            std::unique_ptr<permit_cache_source> permits;
            std::unique_ptr<Pool::pool_scheduler> scheduler;
            std::vector<Pool::worker_info> workerInfos;
        };
        struct waiting_item {
            load_item item;
            instant submittedAt;
        };

        void makeState();
        void makePools();
        void setDataCentreOut(bool out);
        void exchangePermits(instant now);
        void runScheduler(int pool, instant now);
        void submitItem(const load_item&, instant now);
        std::vector<bool> fullPools(instant now);

        const policy_options& m_options;
        policy_statistics m_statistics;
        Fleet::fleet_state m_state;
        std::vector<holder> m_holders;
        std::map<Common::shard_id, Limits::team_ledger> m_ledgers;
        std::map<std::string, waiting_item> m_items;
        task_ends m_taskEnds;
        std::int64_t m_next { 0 };
    };

    void ledger_simulation::makeState()
    {
        Fleet::template_fields fields;
        for (const auto& team : m_options.teams) {
            fields.teams.push_back({ .team = { team.name },
                .share = Common::share_weight { team.share },
                .upperLimit = Common::slot_count { team.upperLimit } });
        }
        Fleet::envelope record { .by = { "bench" } };
        record.commands.push_back({ .id = { "t" },
            .author = "pia",
            .role = Fleet::operator_role::ProductManager,
            .why = "bench",
            .body = Fleet::publish_template { .account = { "a" }, .expected = {}, .fields = fields } });
        for (int pool = 0; pool < m_options.pools; ++pool) {
            const Fleet::member_info info { .process = { "h" + std::to_string(pool) },
                .peers = { "127.0.0.1", static_cast<std::uint16_t>(pool) },
                .dataCentre = { "dc1" } };
            std::vector<Common::process_id> backers;
            for (int earlier = 0; earlier < pool; ++earlier)
                backers.push_back({ "h" + std::to_string(earlier) });
            record.commands.push_back({ .id = { info.process.value },
                .body = Fleet::join_member { .info = info, .version = { pool }, .backers = backers, .gone = {} } });
        }
        Fleet::applyRecord(m_state, record, { 0 });
    }

    void ledger_simulation::makePools()
    {
        for (int pool = 0; pool < m_options.pools; ++pool) {
            holder added;
            added.cache = std::make_unique<Limits::permit_cache>(Common::process_id { "h" + std::to_string(pool) });
            added.permits = std::make_unique<permit_cache_source>(*added.cache);
            added.scheduler = std::make_unique<Pool::pool_scheduler>(
                Pool::pool_scheduler::options { .pool = { std::to_string(pool) },
                    .epoch = { 1 },
                    .taskPrefix = std::to_string(pool),
                    .maxWaitingPerTeam = 1'000'000 },
                *added.permits);
            for (int worker = 0; worker < m_options.workersPerPool; ++worker) {
                const Pool::worker_info info { .instance = { std::to_string(pool) + "-" + std::to_string(worker) },
                    .capacity = { .cores = { 64 }, .memory = { 262'144 } },
                    .slots = { m_options.slots },
                    .open = true };
                added.workerInfos.push_back(info);
            }
            added.scheduler->workers().setWorkers(added.workerInfos);
            for (const auto& info : added.workerInfos)
                added.scheduler->workers().onReport(info.instance, { .cores = { 0 } }, {}, false);
            for (const auto& team : m_options.teams)
                added.scheduler->setShare({ team.name }, { team.share });
            m_holders.push_back(std::move(added));
        }
        for (const auto& team : m_options.teams) {
            const auto shard = Fleet::ledgerShard({ team.name });
            m_ledgers.try_emplace(shard, Limits::team_ledger({ .shard = shard, .epoch = { 1 } }, m_state));
        }
    }

    void ledger_simulation::setDataCentreOut(bool out)
    {
        for (holder& entry : m_holders) {
            for (std::size_t worker = 0; worker < entry.workerInfos.size(); worker += dataCentres)
                entry.workerInfos[worker].open = !out;
            entry.scheduler->workers().setWorkers(entry.workerInfos);
        }
    }

    void ledger_simulation::exchangePermits(instant now)
    {
        for (holder& entry : m_holders) {
            for (auto& [shard, ledger] : m_ledgers) {
                if (!entry.cache->needsReport(shard, { 1 }))
                    continue;
                if (const auto grant = ledger.onReport(entry.cache->makeReport(shard, { 1 }), m_state, now))
                    entry.cache->onGrant(*grant);
            }
        }
    }

    void ledger_simulation::submitItem(const load_item& item, instant now)
    {
        const std::string id = std::to_string(m_next++);
        m_items[id] = { .item = item, .submittedAt = now };
        Requests::work_request request { .identity = { { "q" }, { m_options.teams[static_cast<std::size_t>(item.team)].name }, { id } },
            .idempotent = true,
            .remaining = m_options.deadline };
        const auto refused = m_holders[static_cast<std::size_t>(item.pool)].scheduler->submit({ .request = request, .waiter = {} }, now);
        if (refused) {
            m_statistics.onAnswered(false);
            m_items.erase(id);
        }
    }

    void ledger_simulation::runScheduler(int pool, instant now)
    {
        Pool::pool_scheduler& scheduler = *m_holders[static_cast<std::size_t>(pool)].scheduler;
        scheduler.schedule(true, now);
        const auto orders = scheduler.takeOrders();
        for (const auto& order : orders.starts) {
            const auto& entry = m_items.at(order.identity.request.value);
            scheduler.onStart(order.task, Pool::start_result::Accepted, now);
            m_statistics.onStart(pool, entry.item.team);
            m_statistics.onWait(static_cast<double>(Common::elapsed(entry.submittedAt, now).count()));
            m_taskEnds.push({ .at = now + entry.item.run, .pool = pool, .team = entry.item.team, .task = order.task });
        }
        for (const auto& answer : orders.completions) {
            m_statistics.onAnswered(answer.result.kind == Requests::outcome_kind::Done);
            m_items.erase(answer.identity.request.value);
        }
    }

    std::vector<bool> ledger_simulation::fullPools(instant)
    {
        std::vector<bool> full;
        for (const holder& entry : m_holders) {
            full.push_back(std::ranges::all_of(
                m_options.teams, [&entry](const bench_team& team) { return entry.scheduler->waiting({ team.name }) > 0; }));
        }
        return full;
    }

    policy_result ledger_simulation::run()
    {
        const auto load = makeLoad(m_options);
        std::size_t nextItem = 0;
        bool isOut = false;
        for (millis now { 0 }; now < m_options.length; now += step) {
            const bool shouldBeOut = now >= m_options.outageStart && now < m_options.outageEnd;
            if (shouldBeOut != isOut)
                setDataCentreOut(shouldBeOut);
            isOut = shouldBeOut;
            while (!m_taskEnds.empty() && m_taskEnds.top().at <= start + now) {
                const task_end ended = m_taskEnds.top();
                m_taskEnds.pop();
                m_holders[static_cast<std::size_t>(ended.pool)].scheduler->onFinished(ended.task, Requests::done({}), start + now);
                m_statistics.onEnd(ended.pool, ended.team);
            }
            while (nextItem < load.size() && load[nextItem].at <= now)
                submitItem(load[nextItem++], start + now);
            if (now % exchangeInterval == millis(0))
                exchangePermits(start + now);
            if (now % decayInterval == millis(0)) {
                for (holder& entry : m_holders)
                    entry.cache->decayPeaks();
            }
            for (int pool = 0; pool < m_options.pools; ++pool)
                runScheduler(pool, start + now);
            m_statistics.onStep(now, fullPools(start + now), isOut ? 1 - 4.0 / m_options.workersPerPool : 1);
        }
        return m_statistics.result();
    }

    /// Simulates a FIFO queue per instance and pool; each instance has an even part of each limit.
    class even_split_simulation {
    public:
        explicit even_split_simulation(const policy_options& options)
            : m_options(options)
            , m_statistics(options)
            , m_queues(static_cast<std::size_t>(options.instances * options.pools))
            , m_running(static_cast<std::size_t>(options.instances) * options.teams.size())
            , m_used(static_cast<std::size_t>(options.pools))
        {
        }

        policy_result run();

    private:
        struct queued {
            load_item item;
            millis submittedAt;
        };

        std::size_t permitIndex(int instance, int team) const
        {
            return static_cast<std::size_t>(instance) * m_options.teams.size() + static_cast<std::size_t>(team);
        }
        int permitsOf(int instance, int team) const
        {
            const int limit = m_options.teams[static_cast<std::size_t>(team)].upperLimit;
            return limit / m_options.instances + (instance < limit % m_options.instances ? 1 : 0);
        }
        void startTasks(int instance, int pool, millis now, int capacity);

        const policy_options& m_options;
        policy_statistics m_statistics;
        std::vector<std::deque<queued>> m_queues;
        std::vector<int> m_running;
        std::vector<int> m_used;
        task_ends m_taskEnds;
        std::map<std::string, int> m_instanceOf;
        std::int64_t m_next { 0 };
    };

    void even_split_simulation::startTasks(int instance, int pool, millis now, int capacity)
    {
        auto& queue = m_queues[static_cast<std::size_t>(instance * m_options.pools + pool)];
        while (!queue.empty()) {
            const queued first = queue.front();
            if (now >= first.submittedAt + m_options.deadline) {
                m_statistics.onAnswered(false);
                queue.pop_front();
                continue;
            }
            int& running = m_running[permitIndex(instance, first.item.team)];
            int& used = m_used[static_cast<std::size_t>(pool)];
            if (used >= capacity || running >= permitsOf(instance, first.item.team))
                return;
            ++running;
            ++used;
            const Common::task_id task { std::to_string(m_next++) };
            m_instanceOf[task.value] = instance;
            m_statistics.onStart(pool, first.item.team);
            m_statistics.onWait(static_cast<double>((now - first.submittedAt).count()));
            m_taskEnds.push({ .at = start + now + first.item.run, .pool = pool, .team = first.item.team, .task = task });
            queue.pop_front();
        }
    }

    policy_result even_split_simulation::run()
    {
        const auto load = makeLoad(m_options);
        const int slotsPerPool = m_options.workersPerPool * m_options.slots;
        std::size_t nextItem = 0;
        for (millis now { 0 }; now < m_options.length; now += step) {
            const bool isOut = now >= m_options.outageStart && now < m_options.outageEnd;
            const int capacity = isOut ? slotsPerPool - 4 * m_options.slots : slotsPerPool;
            while (!m_taskEnds.empty() && m_taskEnds.top().at <= start + now) {
                const task_end ended = m_taskEnds.top();
                m_taskEnds.pop();
                --m_used[static_cast<std::size_t>(ended.pool)];
                --m_running[permitIndex(m_instanceOf[ended.task.value], ended.team)];
                m_instanceOf.erase(ended.task.value);
                m_statistics.onEnd(ended.pool, ended.team);
                m_statistics.onAnswered(true);
            }
            while (nextItem < load.size() && load[nextItem].at <= now) {
                const load_item& item = load[nextItem++];
                m_queues[static_cast<std::size_t>(item.instance * m_options.pools + item.pool)].push_back(
                    { .item = item, .submittedAt = now });
            }
            std::vector<bool> full(static_cast<std::size_t>(m_options.pools));
            for (int pool = 0; pool < m_options.pools; ++pool) {
                std::set<int> waitingTeams;
                for (int instance = 0; instance < m_options.instances; ++instance) {
                    startTasks(instance, pool, now, capacity);
                    for (const queued& entry : m_queues[static_cast<std::size_t>(instance * m_options.pools + pool)])
                        waitingTeams.insert(entry.item.team);
                }
                full[static_cast<std::size_t>(pool)] = waitingTeams.size() == m_options.teams.size();
            }
            m_statistics.onStep(now, full, static_cast<double>(capacity) / slotsPerPool);
        }
        return m_statistics.result();
    }

}

policy_result runLedgerPolicy(const policy_options& options) { return ledger_simulation(options).run(); }

policy_result runEvenSplit(const policy_options& options) { return even_split_simulation(options).run(); }

}
