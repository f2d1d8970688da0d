#include "Bench/Latency.h"

#include "Bench/Percentiles.h"
#include "Common/Hashing.h"
#include "Common/JsonFields.h"
#include "Targets/HttpWorkerClient.h"

#include <atomic>
#include <functional>
#include <httplib.h>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <thread>

namespace Bench {

namespace {

    using Common::json;

    constexpr int rounds = 3;
    constexpr int httpOk = 200;
    constexpr Common::millis callTimeout { 10'000 };
    constexpr double microsPerMilli = 1000;

    struct load_result {
        std::vector<double> millis;
        double seconds { 0 };
        int failures { 0 };
    };

    /// Sends one request and waits for its result. False if it failed.
    using request_call = std::function<bool(const std::string& id)>;

    load_result runLoad(const latency_options& options, const std::function<request_call(int)>& makeCaller)
    {
        load_result result;
        std::mutex lock;
        std::vector<std::thread> threads;
        const auto began = Common::boot_clock::now();
        const auto end = began + options.duration;
        for (int number = 0; number < options.threads; ++number) {
            threads.emplace_back([&, number] {
                const request_call call = makeCaller(number);
                std::vector<double> own;
                int failures = 0;
                while (Common::boot_clock::now() < end) {
                    const auto sent = Common::boot_clock::now();
                    if (!call(Common::randomId()))
                        ++failures;
                    const std::chrono::duration<double, std::micro> took = Common::boot_clock::now() - sent;
                    own.push_back(took.count() / microsPerMilli);
                }
                const std::lock_guard guard(lock);
                result.millis.insert(result.millis.end(), own.begin(), own.end());
                result.failures += failures;
            });
        }
        for (auto& thread : threads)
            thread.join();
        result.seconds = std::chrono::duration<double>(Common::boot_clock::now() - began).count();
        return result;
    }

    std::string payloadOf(const latency_options& options)
    {
        return json { { "runMs", options.taskRunTime.count() }, { "answer", std::string(200, 'a') } }.dump();
    }

    request_call daemonCaller(const latency_options& options, int number, bool idempotent)
    {
        const auto& address = options.callers[static_cast<std::size_t>(number) % options.callers.size()];
        const auto client = std::make_shared<httplib::Client>(address.host, address.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        return [client, &options, idempotent](const std::string& id) {
            const json body { { "id", id }, { "queue", options.queue }, { "key", options.key }, { "idempotent", idempotent },
                { "deadlineMs", callTimeout.count() }, { "payload", payloadOf(options) } };
            const auto response = client->Post("/v1/requests", body.dump(), "application/json");
            return response && response->status == httpOk;
        };
    }

    request_call workerCaller(const latency_options& options, int number)
    {
        const auto& address = options.workers[static_cast<std::size_t>(number) % options.workers.size()];
        const auto client = std::make_shared<Targets::http_worker_client>(address, callTimeout);
        const std::string owner = Common::randomId();
        const auto first = client->poll({ .life = {}, .owner = owner });
        const std::string incarnation = first ? first->life : std::string();
        return [client, owner, incarnation, &options](const std::string& id) {
            constexpr std::int64_t farFuture = 1'000'000'000;
            const Targets::task_start start { .task = { owner + id },
                .life = incarnation,
                .payload = payloadOf(options),
                .notAfter = { farFuture },
                .leaseUntil = { farFuture } };
            const auto started = client->start({ start });
            if (!started || started->accepted.empty())
                return false;
            while (true) {
                const auto reply = client->poll({ .life = incarnation, .owner = owner, .wait = Common::millis(1000) });
                if (!reply)
                    return false;
                if (reply->finished.empty())
                    continue;
                client->poll({ .life = incarnation, .owner = owner, .acknowledged = { start.task } });
                return true;
            }
        };
    }

    void print(const char* way, load_result result)
    {
        std::cout << std::left << std::setw(22) << way << std::right << std::fixed << std::setprecision(0) << std::setw(10)
                  << static_cast<double>(result.millis.size()) / result.seconds << std::setprecision(2) << std::setw(10)
                  << percentile(result.millis, 0.5) << std::setw(10) << percentile(result.millis, 0.99) << std::setw(10)
                  << percentile(result.millis, 0.999) << std::setw(10) << result.failures << '\n';
    }

}

void runLatency(const latency_options& options)
{
    std::cout << options.threads << " callers, tasks of " << options.taskRunTime.count() << " ms\n"
              << std::left << std::setw(22) << "way" << std::right << std::setw(10) << "req/s" << std::setw(10) << "p50 ms"
              << std::setw(10) << "p99 ms" << std::setw(10) << "p99.9 ms" << std::setw(10) << "failed" << '\n';
    for (int round = 0; round < rounds; ++round) {
        print("straight", runLoad(options, [&](int number) { return workerCaller(options, number); }));
        print("idempotent", runLoad(options, [&](int number) { return daemonCaller(options, number, true); }));
        print("at most once", runLoad(options, [&](int number) { return daemonCaller(options, number, false); }));
    }
}

}
