#include "Bench/Calls.h"

#include "Common/Logging.h"
#include "EventLoop/EventLoop.h"
#include "EventLoop/HttpListener.h"
#include "EventLoop/TrafficMeter.h"
#include "platform/Names.h"
#include "platform/WorkerClient.h"

#include <ctime>
#include <iomanip>
#include <iostream>
#include <thread>

namespace Bench {

namespace {

    constexpr int workerCount = 16;
    constexpr int runningTasks = 10;
    constexpr int warmUpExchanges = 1000;
    constexpr std::size_t payloadBytes = 200;
    constexpr Common::millis callTimeout { 2000 };
    /// Lines are written in bursts that fit into the log's buffer.
    constexpr int linesPerBurst = 1000;
    constexpr Common::millis burstPause { 20 };
    constexpr Dispatch::fencing_token token { 7 };

    double toMicros(const timespec& time)
    {
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
    }

    double threadMicros()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return toMicros(time);
    }

    double processMicros()
    {
        timespec time {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return toMicros(time);
    }

    Jobs::task_name taskNumber(int number)
    {
        return { .job = { "5c0e7a21d94b36f8" }, .occurrence = 0, .step = 1, .index = number };
    }

    std::string pollReply()
    {
        std::string rows;
        for (int index = 0; index < runningTasks; ++index) {
            rows += rows.empty() ? "" : ",";
            rows += R"(["5c0e7a21d94b36f8.0.1.)" + std::to_string(index) + R"(",1001,"",41,740])";
        }
        return R"({"clockMs":81723,"born":1796400000000,"running":[)" + rows + R"(],"finished":[]})";
    }

    /// Answers starts and polls on a thread of its own.
    class stand_in_worker {
    public:
        stand_in_worker()
            : m_listener(m_loop, { "127.0.0.1", 0 }, {},
                [reply = pollReply()](const EventLoop::http_request& request, const EventLoop::responder& respond) {
                    const bool isPoll = request.target == Platform::Names::workerPollPath;
                    respond({ .status = 200, .body = isPoll ? reply : R"({"clockMs":81723,"born":1796400000000})" });
                })
        {
            if (!m_listener.start())
                std::cerr << "loft-bench: no listener\n";
            m_port = m_listener.port();
            m_thread = std::thread([this] { m_loop.run(); });
        }
        ~stand_in_worker()
        {
            m_loop.stop();
            m_thread.join();
        }
        stand_in_worker(const stand_in_worker&) = delete;
        stand_in_worker& operator=(const stand_in_worker&) = delete;

        Dispatch::worker_address worker(int number) const
        {
            return { .id = { "worker-" + std::to_string(number) }, .address = { "127.0.0.1", m_port } };
        }

    private:
        EventLoop::event_loop m_loop;
        EventLoop::http_listener m_listener;
        std::uint16_t m_port { 0 };
        std::thread m_thread;
    };

    /// Keeps one exchange with each worker in flight.
    class exchange_load {
    public:
        exchange_load(const stand_in_worker& server, bool usesPolls)
            : m_client(m_loop, m_traffic)
            , m_server(server)
            , m_usesPolls(usesPolls)
            , m_payload(payloadBytes, 'p')
        {
        }

        void run(int exchanges)
        {
            m_toSend = exchanges;
            m_toFinish = exchanges;
            for (int number = 0; number < workerCount; ++number)
                sendNext(number);
            m_loop.run();
            m_loop.restart();
        }

        int failures() const { return m_failures; }

    private:
        void sendNext(int number)
        {
            if (m_toSend == 0)
                return;
            --m_toSend;
            if (m_usesPolls)
                sendPoll(number);
            else
                sendStart(number);
        }

        void sendStart(int number)
        {
            m_client.start({ .worker = m_server.worker(number),
                               .task = taskNumber(m_toSend),
                               .run = { 1001 },
                               .payload = m_payload,
                               .deadline = { 90'000 } },
                token, callTimeout, [this, number](const Dispatch::order_reply& reply) {
                    finish(number, reply.outcome == Dispatch::order_outcome::Done);
                });
        }

        void sendPoll(int number)
        {
            m_client.poll({ .worker = m_server.worker(number),
                              .deadline = Dispatch::worker_millis { 90'000 },
                              .acknowledgedEnd = { 58 },
                              .wait = Common::millis(400) },
                token, callTimeout, [this, number](const Dispatch::poll_order_reply& reply) {
                    finish(number,
                        reply.base.outcome == Dispatch::order_outcome::Done
                            && reply.running.size() == static_cast<std::size_t>(runningTasks));
                });
        }

        void finish(int number, bool isRight)
        {
            m_failures += isRight ? 0 : 1;
            if (--m_toFinish == 0)
                m_loop.stop();
            else
                sendNext(number);
        }

        EventLoop::event_loop m_loop;
        EventLoop::traffic_meter m_traffic;
        Platform::worker_client m_client;
        const stand_in_worker& m_server;
        bool m_usesPolls;
        std::string m_payload;
        int m_toSend { 0 };
        int m_toFinish { 0 };
        int m_failures { 0 };
    };

    void print(const char* what, int count, double ownMicros, double allMicros, int failures)
    {
        std::cout << std::left << std::setw(12) << what << std::right << std::setw(10) << count << std::fixed
                  << std::setprecision(2) << std::setw(14) << ownMicros / count << std::setw(14) << allMicros / count
                  << std::setw(10) << failures << '\n';
    }

    void measureExchanges(const char* what, bool usesPolls, int exchanges)
    {
        const stand_in_worker server;
        exchange_load load(server, usesPolls);
        load.run(warmUpExchanges);
        const double ownBefore = threadMicros();
        const double allBefore = processMicros();
        load.run(exchanges);
        print(what, exchanges, threadMicros() - ownBefore, processMicros() - allBefore, load.failures());
    }

    void writeLine(int number)
    {
        Common::writeEvent(Common::log_level::Info, Common::log_category::Dispatch, "task_started",
            { { "job", "5c0e7a21d94b36f8" }, { "task", "5c0e7a21d94b36f8.0.1." + std::to_string(number) },
                { "worker", "worker-17" }, { "run", std::to_string(number) }, { "detail", "" } });
    }

    void measureLines(int lines)
    {
        Common::startLogging(Common::log_level::Info, "instance-1");
        const double ownBefore = threadMicros();
        const double allBefore = processMicros();
        for (int number = 0; number < lines; ++number) {
            writeLine(number);
            if (number % linesPerBurst == 0)
                std::this_thread::sleep_for(burstPause);
        }
        Common::stopLogging();
        print("log line", lines, threadMicros() - ownBefore, processMicros() - allBefore, 0);
    }

}

void runCalls(const calls_options& options)
{
    std::cout << std::left << std::setw(12) << "what" << std::right << std::setw(10) << "count" << std::setw(14)
              << "thread us" << std::setw(14) << "process us" << std::setw(10) << "failed" << '\n';
    if (options.exchanges > 0) {
        measureExchanges("start", false, options.exchanges);
        measureExchanges("poll", true, options.exchanges);
    }
    if (options.lines > 0)
        measureLines(options.lines);
}

}
