#include "HolderWorld.h"

#include "Jobs/JobCodec.h"

namespace {

const Records::topic_part intakePart { "keyed.intake", 0 };
const Records::topic_part progressPart { "keyed.progress", 0 };
const Records::topic_part workerPart { "keyed.workers", 0 };

constexpr Common::millis stepTime { 50 };
constexpr Common::millis workTime { 700 };
constexpr int troubleShare = 12;

struct no_sink : Records::record_sink {
    void restart() override { }
    void apply(const Records::keyed_record&) override { }
};

struct no_status : Station::operator_format {
    Records::keyed_record waveStatus(std::int64_t, bool) const override { return {}; }
};

}

/// Calls of a node reach nothing, and answers don't reach it, once it is dead.
class simulated_node : public Station::job_listener,
                       public Records::record_store,
                       public Records::timer_service,
                       public Dispatch::worker_gateway,
                       public std::enable_shared_from_this<simulated_node> {
public:
    simulated_node(holder_world& world, int number, int life)
        : m_world(world)
        , m_number(number)
        , m_member("n" + std::to_string(number) + '-' + std::to_string(life))
    {
    }

    void begin()
    {
        const auto follow = [this](const Records::topic_part& where, int gap, Records::record_sink& sink) {
            auto follower = std::make_shared<Records::topic_follower>(
                *this, *this, Records::follower_options { .where = where, .gap = Common::millis(gap) }, sink);
            follower->start();
            return follower;
        };
        m_progress = follow(progressPart, 200, m_progressFeed);
        m_workerList = follow(workerPart, 400, m_nothing);
        m_intake = std::make_unique<Records::follower_group>(
            std::vector { follow(intakePart, static_cast<int>(Station::holder_office::intakeGap.count()), m_intakeFeed) });
        m_office = std::make_unique<Station::holder_office>(Station::office_parts { .store = *this,
                                                                .timers = *this,
                                                                .workers = *this,
                                                                .operatorFormat = m_format,
                                                                .book = m_book,
                                                                .progressFeed = m_progressFeed,
                                                                .progress = *m_progress,
                                                                .workerList = *m_workerList,
                                                                .intake = *m_intake,
                                                                .figures = m_figures },
            Station::office_options { .member = m_member, .progressTopic = progressPart });
        m_office->setRules(m_world.rules());
        for (const auto& entry : m_world.workerEntries())
            m_office->workerListed(entry);
        m_office->start();
    }

    void die() { m_isAlive = false; }
    void retire() { m_office->retire(); }
    void workerListed(const Dispatch::worker_entry& entry) { m_office->workerListed(entry); }
    const Jobs::job_book& book() const { return m_book; }

    void jobAccepted(const Common::job_id& id) override { m_office->jobAccepted(id); }
    void jobCancelled(const Common::job_id& id) override { m_office->jobCancelled(id); }

private:
    void after(Common::millis delay, std::function<void()> action) override
    {
        m_world.timers().after(delay, [self = shared_from_this(), action = std::move(action)] {
            if (self->m_isAlive)
                action();
        });
    }
    Common::instant now() const override { return m_world.timers().now(); }

    template <typename Handler>
    auto whileAlive(Handler handler)
    {
        return [self = shared_from_this(), handler = std::move(handler)](const auto& result) {
            if (self->m_isAlive)
                handler(result);
        };
    }

    bool isAway() const { return m_world.isStoreCut(m_number); }

    void append(const Records::append_request& request, Common::millis timeout,
        std::function<void(Records::append_result)> handler) override
    {
        if (!m_isAlive)
            return;
        if (isAway())
            after(timeout, [handler] { handler({ .outcome = Records::append_outcome::Unknown }); });
        else
            m_world.store().append(request, timeout, whileAlive(std::move(handler)));
    }

    void read(const Records::topic_part& where, Common::log_offset from, Common::millis wait, Common::millis timeout,
        std::function<void(Records::read_result)> handler) override
    {
        if (!m_isAlive)
            return;
        if (isAway())
            after(timeout, [handler] { handler({}); });
        else
            m_world.store().read(where, from, wait, timeout, whileAlive(std::move(handler)));
    }

    void newest(const Records::topic_part& where, const std::string& afterKey, Common::millis timeout,
        std::function<void(Records::newest_result)> handler) override
    {
        if (!m_isAlive)
            return;
        if (isAway())
            after(timeout, [handler] { handler({}); });
        else
            m_world.store().newest(where, afterKey, timeout, whileAlive(std::move(handler)));
    }

    /// Sends an order: it may be lost, carried out late, or its answer lost.
    template <typename Act, typename Handler, typename Result>
    void order(const std::string& id, Common::millis timeout, Act act, Handler handler, Result unanswered)
    {
        if (!m_isAlive)
            return;
        const auto answer = whileAlive(std::move(handler));
        const bool isLost = m_world.isCut(m_number, id) || m_world.draw(60) == 0;
        const bool isLate = !isLost && m_world.draw(40) == 0;
        const bool isUnanswered = isLost || isLate || m_world.draw(40) == 0;
        if (isUnanswered)
            m_world.timers().after(timeout, [answer, unanswered] { answer(unanswered); });
        if (isLost)
            return;
        const Common::millis delay { static_cast<std::int64_t>(isLate ? 2000 + m_world.draw(9000) : 1 + m_world.draw(5)) };
        // An order names the life of the worker that it is meant for; another one refuses it.
        const auto life = m_world.worker(id).life();
        m_world.timers().after(delay, [this, self = shared_from_this(), id, life, act, answer, isUnanswered] {
            auto& target = m_world.worker(id);
            const auto result = target.life() == life ? act() : target.refusal(decltype(act()) {});
            if (!isUnanswered)
                m_world.timers().after(Common::millis(2), [answer, result] { answer(result); });
        });
    }

    void start(const Dispatch::start_order& request, Dispatch::fencing_token token, Common::millis timeout,
        reply_handler handler) override
    {
        const auto id = request.worker.id.value;
        order(
            id, timeout, [this, id, request, token] { return m_world.worker(id).start(request, token); },
            std::move(handler), Dispatch::order_reply {});
    }

    void stop(const Dispatch::stop_order& request, Dispatch::fencing_token token, Common::millis timeout,
        reply_handler handler) override
    {
        const auto id = request.worker.id.value;
        order(
            id, timeout, [this, id, request, token] { return m_world.worker(id).stop(request, token); },
            std::move(handler), Dispatch::order_reply {});
    }

    void pace(const Dispatch::pace_order&, Dispatch::fencing_token, Common::millis, reply_handler) override { }

    void hold(const Dispatch::hold_order& request, Dispatch::fencing_token token, Common::millis timeout,
        std::function<void(Dispatch::hold_reply)> handler) override
    {
        const auto id = request.worker.id.value;
        order(
            id, timeout, [this, id, request, token] { return m_world.worker(id).hold(request, token); },
            std::move(handler), Dispatch::hold_reply {});
    }

    void keepOnly(const std::vector<Common::worker_id>&) override { }

    holder_world& m_world;
    int m_number;
    std::string m_member;
    bool m_isAlive { true };
    no_sink m_nothing;
    no_status m_format;
    Station::counters m_figures;
    Jobs::job_book m_book;
    Station::intake_feed m_intakeFeed { m_book, *this };
    Station::progress_feed m_progressFeed { m_book };
    std::shared_ptr<Records::topic_follower> m_progress;
    std::shared_ptr<Records::topic_follower> m_workerList;
    std::unique_ptr<Records::follower_group> m_intake;
    std::unique_ptr<Station::holder_office> m_office;
};

holder_world::holder_world(const world_options& options)
    : m_options(options)
    , m_random(options.seed)
{
    m_rules.version = 1;
    m_rules.pools = { { .id = { "pool" }, .checksCapacity = true } };
    m_rules.queues
        = { { .id = { "queue" }, .host = "h", .pathPrefix = "/q/", .pool = { "pool" }, .maxAttempts = 1000 } };
    for (int index = 0; index < options.workers; ++index) {
        const auto id = 'w' + std::to_string(index);
        m_workers[id] = std::make_unique<simulated_worker>(id, m_timers, *this, workTime);
    }
    for (int node = 0; node < options.nodes; ++node)
        restart(node);
}

holder_world::~holder_world()
{
    for (const auto& [number, node] : m_nodes)
        node->die();
}

std::vector<Dispatch::worker_entry> holder_world::workerEntries() const
{
    std::vector<Dispatch::worker_entry> entries;
    for (const auto& [id, worker] : m_workers)
        entries.push_back(worker->entry());
    return entries;
}

void holder_world::restart(int node)
{
    if (m_nodes.contains(node))
        m_nodes[node]->die();
    m_nodes[node] = std::make_shared<simulated_node>(*this, node, ++m_lives);
    m_nodes[node]->begin();
}

void holder_world::submit()
{
    const Common::job_id id { 'j' + std::to_string(m_submitted.size()) };
    const Jobs::step_spec first { .count = static_cast<int>(1 + draw(3)),
        .request = { .processor = { 1000 }, .memory = { 10 } },
        .estimate = workTime };
    auto second = first;
    second.count = 2;
    second.dependsOn = { 0 };
    const auto record = Station::jobRecord(
        { .id = id, .queue = { "queue" }, .team = {}, .spec = { .payload = "p", .steps = { first, second } } });
    m_submitted.push_back(id);
    m_store.put(intakePart, record.key, record.value);
    if (draw(10) == 0)
        m_store.put(intakePart, record.key, record.value);
}

void holder_world::healLater(std::uint64_t longest, std::function<void()> heal)
{
    m_timers.after(Common::millis(static_cast<std::int64_t>(200 + draw(longest))), std::move(heal));
}

void holder_world::disturb()
{
    const int node = static_cast<int>(draw(static_cast<std::uint64_t>(m_options.nodes)));
    const auto workerId = 'w' + std::to_string(draw(static_cast<std::uint64_t>(m_options.workers)));
    switch (draw(7)) {
    case 0:
        m_nodes[node]->die();
        healLater(2000, [this, node] { restart(node); });
        return;
    case 1:
        m_nodes[node]->retire();
        healLater(2500, [this, node] { restart(node); });
        return;
    case 2:
        m_storeCuts.insert(node);
        healLater(5000, [this, node] { m_storeCuts.erase(node); });
        return;
    case 3:
        m_cuts.insert({ node, workerId });
        healLater(9000, [this, node, workerId] { m_cuts.erase({ node, workerId }); });
        return;
    case 4:
        worker(workerId).crash();
        for (const auto& [number, other] : m_nodes)
            other->workerListed(worker(workerId).entry());
        return;
    case 5:
        m_store.state = draw(2) == 0 ? fake_store::trouble::Silent : fake_store::trouble::AnswerLost;
        healLater(3000, [this] { m_store.state = fake_store::trouble::None; });
        return;
    default:
        for (int other = 0; other < m_options.nodes; ++other)
            m_cuts.insert({ other, workerId });
        healLater(6000, [this, workerId] { std::erase_if(m_cuts, [&](const auto& cut) { return cut.second == workerId; }); });
        return;
    }
}

void holder_world::heal()
{
    m_cuts.clear();
    m_storeCuts.clear();
    m_store.state = fake_store::trouble::None;
    for (int node = 0; node < m_options.nodes; ++node)
        restart(node);
}

void holder_world::tickWorkers()
{
    for (const auto& [id, worker] : m_workers)
        worker->tick();
}

std::string holder_world::play()
{
    const auto step = [this] {
        m_timers.advance(stepTime);
        tickWorkers();
        ++m_steps;
    };
    const auto until = m_timers.now() + m_options.troubledTime;
    while (m_timers.now() < until && m_broken.empty()) {
        if (draw(8) == 0)
            submit();
        if (draw(troubleShare) == 0)
            disturb();
        step();
    }
    // Troubles that are still open end by themselves.
    const auto quiet = m_timers.now() + Common::millis(10000);
    while (m_timers.now() < quiet && m_broken.empty())
        step();
    heal();
    const auto end = m_timers.now() + m_options.calmTime;
    while (m_timers.now() < end && m_broken.empty())
        step();
    return m_broken.empty() ? checkEnds() : m_broken;
}

std::string holder_world::checkEnds()
{
    for (const auto& id : m_submitted) {
        const auto state = m_nodes.begin()->second->book().stateOf(id);
        if (state != Jobs::job_state::Completed)
            return "job " + id.value + " isn't completed";
    }
    return {};
}

int holder_world::takeovers() const
{
    const auto part = m_store.parts.find(progressPart);
    if (part == m_store.parts.end())
        return 0;
    return static_cast<int>(std::count_if(part->second.records.begin(), part->second.records.end(),
        [](const auto& record) { return record.key == "@holder"; }));
}

void holder_world::began(const std::string& worker, const Jobs::task_name& task, Dispatch::run_number run)
{
    const auto text = task.job.value + '.' + std::to_string(task.step) + '.' + std::to_string(task.index) + " run "
        + std::to_string(run.value) + " on " + worker;
    // What ended by now elsewhere isn't at work.
    tickWorkers();
    auto& places = m_running[task];
    places.insert(worker);
    if (places.size() > 1 && m_broken.empty())
        m_broken = text + " while it runs elsewhere";
    const auto& newest = m_store.parts[progressPart].newest;
    const auto noted = newest.find(task.job.value);
    if (noted == newest.end())
        return;
    const auto progress = Jobs::decodeProgress(task.job, noted->second.value);
    const bool isDone = Jobs::isFinal(progress->state)
        || std::any_of(progress->tasks.begin(), progress->tasks.end(), [&task](const auto& known) {
               return known.isDone && known.step == task.step && known.index == task.index;
           });
    if (isDone && m_broken.empty())
        m_broken = text + " after its noted end";
}

void holder_world::finished(const std::string& worker, const Jobs::task_name& task, Dispatch::end_kind)
{
    m_running[task].erase(worker);
}
