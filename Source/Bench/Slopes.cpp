#include "Bench/Slopes.h"

#include "Fleet/FleetCodec.h"
#include "Fleet/Reducer.h"
#include "Fleet/Replica.h"
#include "Limits/PermitCache.h"
#include "Limits/TeamLedger.h"
#include "Membership/ShardPlan.h"
#include "Pool/PoolScheduler.h"

#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>

namespace Bench {

namespace {

    double microsOf(const std::function<void()>& work)
    {
        const auto began = Common::boot_clock::now();
        work();
        return std::chrono::duration<double, std::micro>(Common::boot_clock::now() - began).count();
    }

    double heapMegabytes()
    {
        return static_cast<double>(mallinfo2().uordblks) / (1024.0 * 1024.0);
    }

    void printLine(const char* what, int size, double value, const char* unit)
    {
        std::cout << std::left << std::setw(46) << what << std::right << std::setw(8) << size << std::fixed
                  << std::setprecision(2) << std::setw(14) << value << ' ' << unit << '\n';
    }

    Fleet::envelope recordOf(Fleet::command_body body, const std::string& id, Fleet::operator_role role)
    {
        return { .at = { 1 },
            .by = { "bench" },
            .commands = { { .id = { id }, .author = "ann", .role = role, .why = "bench", .body = std::move(body) } } };
    }

    class state_builder {
    public:
        void addInstances(int count)
        {
            for (int index = 0; index < count; ++index) {
                const std::string name = "instance-" + std::to_string(m_instances++);
                apply(Fleet::place_instance { .instance = { name },
                          .pool = { "pool-" + std::to_string(index % 23) },
                          .dataCentre = { "dc-" + std::to_string(index % 18) },
                          .rack = { "rack-" + std::to_string(index / 4) } },
                    Fleet::operator_role::OperationsLead);
            }
        }

        void addTeams(int count)
        {
            for (int index = 0; index < count; ++index) {
                const std::string name = "team-" + std::to_string(m_teams++);
                apply(Fleet::publish_template { .account = { "account-" + name },
                          .expected = {},
                          .fields = { .teams = { { .team = { name },
                                          .share = Common::share_weight { 10 },
                                          .upperLimit = Common::slot_count { 100 } } } } },
                    Fleet::operator_role::ProductManager);
                apply(Fleet::grant_key { .hash = { std::string(60, 'a') + std::to_string(1000 + index) }, .team = { name } },
                    Fleet::operator_role::OperationsLead);
            }
        }

        const Fleet::fleet_state& state() const { return m_state; }
        Fleet::fleet_state& state() { return m_state; }

    private:
        void apply(Fleet::command_body body, Fleet::operator_role role)
        {
            Fleet::applyRecord(m_state, recordOf(std::move(body), "c" + std::to_string(m_next), role), { m_next });
            ++m_next;
        }

        Fleet::fleet_state m_state;
        std::int64_t m_next { 0 };
        int m_instances { 0 };
        int m_teams { 0 };
    };

    void stateSlopes()
    {
        for (const int instances : { 1000, 6000, 18'000 }) {
            const double before = heapMegabytes();
            state_builder builder;
            builder.addInstances(instances);
            printLine("heap of state, by instances", instances, heapMegabytes() - before, "MB");
            std::string snapshot;
            const double encode = microsOf([&] { snapshot = Fleet::encodeState(builder.state()); });
            printLine("snapshot size, by instances", instances, static_cast<double>(snapshot.size()) / 1e6, "MB");
            printLine("snapshot encode, by instances", instances, encode / 1000, "ms");
            const double decode = microsOf([&] { (void)Fleet::decodeState(snapshot); });
            printLine("snapshot decode, by instances", instances, decode / 1000, "ms");
            const double plan = microsOf([&] { (void)Membership::shardsToClaim(builder.state(), { "x" }); });
            printLine("search for unclaimed shards, by instances", instances, plan, "us");
        }
        for (const int teams : { 50, 200, 520 }) {
            state_builder builder;
            const double publish = microsOf([&] { builder.addTeams(teams); });
            printLine("publish a template and a key, by teams", teams, publish / teams, "us each");
            const double quota = microsOf([&] {
                for (int index = 0; index < 1000; ++index)
                    (void)Fleet::effectiveQuota(builder.state(), { "team-" + std::to_string(teams - 1) });
            });
            printLine("look up quota of a team, by teams", teams, quota / 1000, "us");
        }
    }

    void logSlopes()
    {
        for (const int records : { 1000, 5000, 20'000 }) {
            std::vector<Fleet::stored_record> page;
            for (int index = 0; index < records; ++index) {
                page.push_back({ .offset = { index },
                    .text = Fleet::encodeRecord(recordOf(Fleet::set_zone { .name = "dc" }, "c" + std::to_string(index),
                        Fleet::operator_role::OperationsLead)) });
            }
            Fleet::replica replica;
            const double micros = microsOf([&] { replica.applyRecords({ 0 }, page); });
            printLine("apply a record, by records", records, micros / records, "us each");
        }
    }

    void ledgerSlopes()
    {
        for (const int teams : { 50, 200, 520 }) {
            state_builder builder;
            builder.addTeams(teams);
            builder.state().members[{ "a" }] = {};
            const Common::shard_id shard { "ledger:0" };
            Limits::team_ledger ledger({ .shard = shard, .epoch = { 1 } }, builder.state());
            Limits::permit_report report { .process = { "a" }, .shard = shard, .epoch = { 1 }, .sequence = 0 };
            for (int index = 0; index < teams; ++index) {
                report.needs.push_back({ .team = { "team-" + std::to_string(index) }, .kept = { 1 }, .wanted = { 3 } });
            }
            constexpr int rounds = 20;
            const double micros = microsOf([&] {
                for (int round = 0; round < rounds; ++round) {
                    ++report.sequence;
                    (void)ledger.onReport(report, builder.state(), Common::boot_clock::now());
                }
            });
            printLine("grant for one team in a report, by teams", teams, micros / rounds / teams, "us each");
        }
    }

    class unlimited_permits final : public Pool::permit_source {
    public:
        bool tryAcquire(const Common::team_id&) override { return true; }
        void release(const Common::team_id&) override { }
        void setWaiting(const Common::team_id&, Common::slot_count) override { }
    };

    void schedulerSlopes()
    {
        for (const int workers : { 10, 100, 780 }) {
            unlimited_permits permits;
            Pool::pool_scheduler scheduler({ .pool = { "p" }, .epoch = { 1 }, .taskPrefix = "t", .maxWaitingPerTeam = 100'000 }, permits);
            std::vector<Pool::worker_info> workerInfos;
            for (int index = 0; index < workers; ++index) {
                workerInfos.push_back({ .instance = { "w" + std::to_string(index) },
                    .capacity = { .cores = { 64 } },
                    .slots = { 8 },
                    .open = true });
            }
            scheduler.workers().setWorkers(workerInfos);
            for (const auto& info : workerInfos)
                scheduler.workers().onReport(info.instance, { .cores = { 0 } }, {}, false);
            const auto now = Common::boot_clock::now();
            constexpr int requests = 2000;
            const double micros = microsOf([&] {
                for (int index = 0; index < requests; ++index) {
                    const Requests::work_request request { .identity = { { "q" }, { "t" }, { std::to_string(index) } },
                        .idempotent = true,
                        .remaining = Common::millis(10'000) };
                    scheduler.submit({ .request = request, .waiter = {} }, now);
                    scheduler.schedule(true, now);
                    for (const auto& start : scheduler.takeOrders().starts)
                        scheduler.onFinished(start.task, Requests::done({}), now);
                }
            });
            printLine("one request through a scheduler, by workers", workers, micros / requests, "us");
        }
    }

}

void runSlopes()
{
    std::cout << std::left << std::setw(46) << "what" << std::right << std::setw(8) << "size" << std::setw(14) << "value"
              << '\n';
    stateSlopes();
    logSlopes();
    ledgerSlopes();
    schedulerSlopes();
}

}
