#pragma once

#include "ClusterSimulation.h"

inline const Records::topic_partition intakePartition { "keyed.intake", 0 };
inline const Records::topic_partition progressPartition { "keyed.progress", 0 };
inline const Records::topic_partition statePartition { "keyed.states", 0 };
inline const Records::topic_partition handoverPartition { "keyed.handover", 0 };
inline const Records::topic_partition workerPartition { "keyed.workers", 0 };

/// Time from the execution of an order to its answer.
constexpr Common::millis answerTime { 2 };

struct null_sink : Records::record_sink {
    void reset() override { }
    void apply(const Records::keyed_record&) override { }
};

struct null_operator_format : ControlPlane::operator_format {
    Records::keyed_record waveStatus(std::int64_t, bool) const override { return {}; }
};

/// One node: the real leadership manager and dispatcher over simulated calls. Once it is killed, its calls have no
/// effect and it receives no answers.
class simulated_node : public ControlPlane::job_listener,
                       public Records::record_store,
                       public Records::timer_service,
                       public Dispatch::worker_gateway,
                       public Capacity::instance_gateway,
                       public std::enable_shared_from_this<simulated_node> {
public:
    simulated_node(cluster_simulation& simulation, int number, int incarnationNumber)
        : m_simulation(simulation)
        , m_number(number)
        , m_member("n" + std::to_string(number) + '-' + std::to_string(incarnationNumber))
    {
    }

    void begin()
    {
        const auto startReader = [this](const Records::topic_partition& source, int pollMillis, Records::record_sink& sink) {
            auto reader = std::make_shared<Records::partition_reader>(
                *this, *this,
                Records::partition_reader_options { .partition = source, .interval = Common::millis(pollMillis) }, sink);
            reader->start();
            return reader;
        };
        m_progress = startReader(progressPartition, 200, m_progressFeed);
        m_states = startReader(statePartition, 200, m_stateFeed);
        m_handovers = startReader(handoverPartition, 200, m_handoverFeed);
        m_workerList = startReader(workerPartition, 400, m_nullSink);
        m_intake = std::make_unique<Records::partition_reader_group>(
            std::vector { startReader(intakePartition, static_cast<int>(ControlPlane::leadership_manager::standbyIntakeInterval.count()), m_intakeFeed) });
        m_views.add(ControlPlane::view_kind::Registrations, m_workerList);
        m_views.add(ControlPlane::view_kind::Intake, m_intake->readers().front());
        m_leadership = std::make_unique<ControlPlane::leadership_manager>(ControlPlane::leadership_parts { .store = *this,
                                                                              .timers = *this,
                                                                              .workers = *this,
                                                                              .instances = m_simulation.instances() ? this : nullptr,
                                                                              .operatorFormat = m_format,
                                                                              .jobRegistry = m_jobs,
                                                                              .progressFeed = m_progressFeed,
                                                                              .handoverFeed = m_handoverFeed,
                                                                              .stateFeed = m_stateFeed,
                                                                              .progress = *m_progress,
                                                                              .workerList = *m_workerList,
                                                                              .intake = *m_intake,
                                                                              .eventCounters = m_eventCounters,
                                                                              .health = m_health },
            ControlPlane::leadership_options { .member = m_member,
                .capacity = m_simulation.capacityOf(m_number),
                .progressTopic = progressPartition,
                .handoverTopic = handoverPartition,
                .stateTopic = statePartition });
        m_leadership->setRules(m_simulation.rules());
        for (const auto& entry : m_simulation.workerEntries())
            m_leadership->workerRegistered(entry);
        m_leadership->start();
    }

    void kill() { m_isAlive = false; }
    bool isConfirmedLeader() const { return m_isAlive && m_leadership->isConfirmedLeader(); }
    void handOver() { m_leadership->stepDown(); }
    void workerRegistered(const Dispatch::worker_entry& entry) { m_leadership->workerRegistered(entry); }
    void workerUnregistered(const std::string& id) { m_leadership->workerUnregistered({ id }); }
    const Jobs::job_registry& jobs() const { return m_jobs; }

    void jobAccepted(const Common::job_id& id) override { m_leadership->jobAccepted(id); }
    void jobCancelled(const Common::job_id& id) override { m_leadership->jobCancelled(id); }

private:
    void after(Common::millis delay, std::function<void()> action) override
    {
        m_simulation.timers().after(delay, [self = shared_from_this(), action = std::move(action)] {
            if (self->m_isAlive)
                action();
        });
    }
    Common::instant now() const override { return m_simulation.timers().now(); }

    template <typename Handler>
    auto whileAlive(Handler handler)
    {
        return [self = shared_from_this(), handler = std::move(handler)](const auto& result) {
            if (self->m_isAlive)
                handler(result);
        };
    }

    bool isStoreUnreachable() const { return m_simulation.isStoreUnreachable(m_number); }

    void append(const Records::append_request& request, Common::millis timeout,
        std::function<void(Records::append_result)> handler) override
    {
        if (!m_isAlive)
            return;
        if (isStoreUnreachable())
            after(timeout, [handler] { handler({ .outcome = Records::append_outcome::Unknown }); });
        else
            m_simulation.store().append(request, timeout, whileAlive(std::move(handler)));
    }

    void read(const Records::read_request& request, Common::millis timeout,
        std::function<void(Records::read_result)> handler) override
    {
        if (!m_isAlive)
            return;
        if (isStoreUnreachable())
            after(timeout, [handler] { handler({}); });
        else
            m_simulation.store().read(request, timeout, whileAlive(std::move(handler)));
    }

    void newest(const Records::topic_partition& source, const std::string& afterKey, Common::millis timeout,
        std::function<void(Records::newest_result)> handler) override
    {
        if (!m_isAlive)
            return;
        if (isStoreUnreachable())
            after(timeout, [handler] { handler({}); });
        else
            m_simulation.store().newest(source, afterKey, timeout, whileAlive(std::move(handler)));
    }

    static Dispatch::order_reply failure(const Dispatch::order_reply&, Dispatch::order_outcome outcome)
    {
        return { .outcome = outcome };
    }
    static Dispatch::poll_order_reply failure(const Dispatch::poll_order_reply&, Dispatch::order_outcome outcome)
    {
        return { .base = { .outcome = outcome } };
    }

    /// Sends an order. It may be lost or executed late, and its answer may be lost.
    template <typename Act, typename Handler, typename Result>
    void sendOrder(const std::string& id, Common::millis timeout, Act execute, Handler handler, Result noAnswer)
    {
        if (!m_isAlive)
            return;
        const auto answer = whileAlive(std::move(handler));
        const bool isLost = m_simulation.isDisconnected(m_number, id) || m_simulation.draw(60) == 0;
        const bool isDelayed = !isLost && m_simulation.draw(40) == 0;
        const bool isUnanswered = isLost || isDelayed || m_simulation.draw(40) == 0;
        if (isUnanswered)
            m_simulation.timers().after(timeout, [answer, noAnswer] { answer(noAnswer); });
        if (isLost)
            return;
        const Common::millis delay { static_cast<std::int64_t>(isDelayed ? 2000 + m_simulation.draw(9000) : 1 + m_simulation.draw(5)) };
        // An order names an incarnation of the worker; another incarnation refuses it.
        const auto expectedIncarnation = m_simulation.worker(id).currentIncarnation();
        const auto deadline = m_simulation.timers().now() + timeout;
        const auto sender = m_simulation.senderOf(m_number);
        m_simulation.timers().after(delay, [this, self = shared_from_this(), id, expectedIncarnation, execute, answer, noAnswer, isUnanswered, deadline, sender] {
            auto& target = m_simulation.worker(id);
            std::optional<Result> result;
            if (target.isUp()) {
                m_simulation.setSender(sender);
                result = target.currentIncarnation() == expectedIncarnation ? execute() : target.refusal(noAnswer);
            } else if (target.refusesConnections()) {
                result = failure(noAnswer, Dispatch::order_outcome::NotSent);
            }
            if (!isUnanswered)
                sendAnswer(id, result, answer, noAnswer, deadline);
        });
    }

    /// The answer is lost if the worker crashes before it is sent. `result` is empty if there is none.
    template <typename Result, typename Handler>
    void sendAnswer(const std::string& id, const std::optional<Result>& result, Handler answer, Result noAnswer,
        Common::instant deadline)
    {
        const auto incarnation = m_simulation.worker(id).currentIncarnation();
        const bool wasUp = m_simulation.worker(id).isUp();
        m_simulation.timers().after(answerTime, [this, self = shared_from_this(), id, incarnation, wasUp, result, answer, noAnswer, deadline] {
            const auto& target = m_simulation.worker(id);
            const bool isGone = wasUp && (!target.isUp() || target.losesAnswers() || target.currentIncarnation() != incarnation);
            if (result && !isGone)
                answer(*result);
            else
                m_simulation.timers().after(Common::elapsed(m_simulation.timers().now(), deadline), [answer, noAnswer] { answer(noAnswer); });
        });
    }

    void start(const Dispatch::start_order& request, Dispatch::fencing_token token, Common::millis timeout,
        reply_handler handler) override
    {
        const auto id = request.worker.id.value;
        sendOrder(
            id, timeout, [this, id, request, token] { return m_simulation.worker(id).start(request, token); },
            std::move(handler), Dispatch::order_reply {});
    }

    void stop(const Dispatch::stop_order& request, Dispatch::fencing_token token, Common::millis timeout,
        reply_handler handler) override
    {
        const auto id = request.worker.id.value;
        sendOrder(
            id, timeout, [this, id, request, token] { return m_simulation.worker(id).stop(request, token); },
            std::move(handler), Dispatch::order_reply {});
    }

    void pace(const Dispatch::pace_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { }

    void poll(const Dispatch::poll_order& request, Dispatch::fencing_token token, Common::millis timeout,
        std::function<void(Dispatch::poll_order_reply)> handler) override
    {
        const auto id = request.worker.id.value;
        sendOrder(
            id, timeout, [this, id, request, token] { return m_simulation.worker(id).answerPoll(request, token); },
            std::move(handler), Dispatch::poll_order_reply {});
    }

    void keepOnly(const std::vector<Common::worker_id>&) override { }

    void list(Common::millis timeout,
        std::function<void(std::optional<std::vector<Capacity::instance_entry>>)> handler) override
    {
        const bool isAnswered = !isStoreUnreachable();
        after(isAnswered ? answerTime : timeout, [this, isAnswered, handler = std::move(handler)] {
            handler(isAnswered ? m_simulation.instances() : std::nullopt);
        });
    }
    void move(const Capacity::move_order&, Dispatch::fencing_token, Common::millis, outcome_handler handler) override
    {
        after(answerTime, [handler = std::move(handler)] { handler(Capacity::instance_outcome::Refused); });
    }
    void startMaintenance(
        const Capacity::maintenance_order&, Dispatch::fencing_token, Common::millis, outcome_handler handler) override
    {
        after(answerTime, [handler = std::move(handler)] { handler(Capacity::instance_outcome::Refused); });
    }

    cluster_simulation& m_simulation;
    int m_number;
    std::string m_member;
    bool m_isAlive { true };
    null_sink m_nullSink;
    null_operator_format m_format;
    ControlPlane::counters m_eventCounters;
    ControlPlane::load_monitor m_load;
    ControlPlane::view_monitor m_views { *this };
    ControlPlane::leader_health m_health { .load = m_load, .views = m_views };
    Jobs::job_registry m_jobs;
    ControlPlane::intake_feed m_intakeFeed { m_jobs, *this };
    ControlPlane::progress_feed m_progressFeed { m_jobs };
    ControlPlane::handover_feed m_handoverFeed;
    ControlPlane::state_feed m_stateFeed { m_jobs, m_progressFeed };
    std::shared_ptr<Records::partition_reader> m_progress;
    std::shared_ptr<Records::partition_reader> m_handovers;
    std::shared_ptr<Records::partition_reader> m_states;
    std::shared_ptr<Records::partition_reader> m_workerList;
    std::unique_ptr<Records::partition_reader_group> m_intake;
    std::unique_ptr<ControlPlane::leadership_manager> m_leadership;
};
