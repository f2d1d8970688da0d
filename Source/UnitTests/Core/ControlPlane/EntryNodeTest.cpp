#include "ControlPlane/EntryNode.h"
#include "../EventLoop/RawConnection.h"

#include <catch2/catch.hpp>

namespace {

/// An empty store that answers reads, but never stores anything.
struct unwritable_store : Records::record_store {
    explicit unwritable_store(EventLoop::event_loop& owner)
        : loop(owner)
    {
    }

    void append(const Records::append_request&, Common::millis timeout,
        std::function<void(Records::append_result)> handler) override
    {
        loop.after(timeout, [handler] { handler({ .outcome = Records::append_outcome::Unknown }); });
    }
    void read(const Records::read_request& request, Common::millis,
        std::function<void(Records::read_result)> handler) override
    {
        loop.after(request.wait, [handler, from = request.from] {
            handler({ .outcome = Records::read_outcome::Read, .end = from, .next = from });
        });
    }
    void newest(const Records::topic_partition& partition, const std::string&, Common::millis,
        std::function<void(Records::newest_result)> handler) override
    {
        loop.after(Common::millis(1), [this, partition, handler] {
            listed.insert(partition);
            handler({ .isRead = true });
        });
    }

    EventLoop::event_loop& loop;
    std::set<Records::topic_partition> listed;
};

struct no_workers : Dispatch::worker_gateway {
    void start(const Dispatch::start_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { }
    void stop(const Dispatch::stop_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { }
    void pace(const Dispatch::pace_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { }
    void poll(const Dispatch::poll_order&, Dispatch::fencing_token, Common::millis,
        std::function<void(Dispatch::poll_order_reply)>) override
    {
    }
    void keepOnly(const std::vector<Common::worker_id>&) override { }
};

struct plain_formats : ControlPlane::job_api_format, ControlPlane::operator_format {
    std::optional<Jobs::job_spec> readSpec(std::string_view body) const override
    {
        return Jobs::job_spec { .payload = std::string(body), .steps = { {} } };
    }
    std::string writeState(Jobs::job_state state) const override { return std::to_string(static_cast<int>(state)); }
    std::string writeWaiting(int count) const override { return std::to_string(count); }
    Records::keyed_record waveStatus(std::int64_t, bool) const override { return {}; }
};

struct null_sink : Records::record_sink {
    void reset() override { }
    void apply(const Records::keyed_record&) override { }
};

/// An entry instance on a real event loop and real sockets.
struct entry_node_fixture {
    explicit entry_node_fixture(Common::millis stopGrace)
    {
        ControlPlane::entry_node_settings settings;
        settings.node = "n";
        settings.callers = { "127.0.0.1", 0 };
        settings.readiness = { "127.0.0.1", 0 };
        settings.stopGrace = stopGrace;
        settings.balancerRemovalTime = Common::millis(0);
        node = std::make_unique<ControlPlane::entry_node>(settings,
            ControlPlane::entry_node_parts { .loop = loop,
                .traffic = traffic,
                .store = store,
                .workers = workers,
                .jobApiFormat = formats,
                .operatorFormat = formats,
                .topics = { .operators = { "keyed.op", 0 },
                    .workers = { "keyed.workers", 0 },
                    .status = { "keyed.status", 0 },
                    .intake = { "keyed.intake", 0 },
                    .progress = { "keyed.progress", 0 },
                    .handovers = { "keyed.handover", 0 },
                    .states = { "keyed.states", 0 } },
                .readinessPath = "/ready" });
        REQUIRE(node->start(sink, sink));
        Rules::fleet_rules rules;
        rules.queues = { { .id = { "q" }, .host = "h", .pathPrefix = "/q/", .pool = { "p" }, .isPublic = true } };
        node->rulesChanged(rules);
        while (!store.listed.contains({ "keyed.op", 0 }))
            runFor(Common::millis(10));
    }

    void runFor(Common::millis time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
        loop.restart();
    }

    /// Stops the instance as its process does, and returns what its caller has received by then.
    std::string stop(int handle)
    {
        node->beginShutdown();
        loop.run();
        node.reset();
        return receivedBytes(handle);
    }

    EventLoop::event_loop loop;
    EventLoop::traffic_meter traffic;
    unwritable_store store { loop };
    no_workers workers;
    plain_formats formats;
    null_sink sink;
    std::unique_ptr<ControlPlane::entry_node> node;
};

}

TEST_CASE("A request that is still open at the end of the grace period is answered as unknown", "[station]")
{
    entry_node_fixture fixture(Common::millis(1200));
    const int handle = openAndSend(fixture.node->callerPort(),
        "POST /q/0123456789abcdef HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
    fixture.runFor(Common::millis(50));
    const auto answer = fixture.stop(handle);
    CHECK(answer.starts_with("HTTP/1.1 504 "));
    CHECK(answer.find("Connection: close") != std::string::npos);
    ::close(handle);
}

TEST_CASE("An instance that stops answers a request that is still being received", "[station]")
{
    entry_node_fixture fixture(Common::millis(6000));
    const int handle = openAndSend(fixture.node->callerPort(), "GET /q/ HT");
    fixture.runFor(Common::millis(50));
    fixture.loop.after(Common::millis(100), [handle] { sendBytes(handle, "TP/1.1\r\nHost: h\r\n\r\n"); });
    CHECK(fixture.stop(handle).starts_with("HTTP/1.1 200 "));
    ::close(handle);
}
