#include "Standins/WorkerStandin.h"

#include "Common/Hashing.h"
#include "Requests/RequestJson.h"

#include <algorithm>
#include <set>

namespace Standins {

namespace {

    using Common::json;

    constexpr std::size_t threads = 64;
    constexpr Common::millis lostAnswerDelay { 3000 };
    constexpr Common::millis maxTimerStep { 20 };

}

worker_standin::worker_standin(const Common::endpoint& address, worker_size size)
    : m_server(address, threads)
    , m_size(size)
    , m_incarnation(Common::randomId())
    , m_startedAt(Common::boot_clock::now())
{
    auto& routes = m_server.routes();
    routes.Post("/tasks/start", [this](const httplib::Request& in, httplib::Response& out) { onStart(in, out); });
    routes.Post("/tasks/poll", [this](const httplib::Request& in, httplib::Response& out) { onPoll(in, out); });
    routes.Post("/tasks/stop", [this](const httplib::Request& in, httplib::Response& out) { onStop(in, out); });
    routes.Get("/journal", [this](const httplib::Request&, httplib::Response& out) { onJournal(out); });
    m_timerThread = std::thread([this] { runTimer(); });
}

worker_standin::~worker_standin()
{
    {
        const std::lock_guard lock(m_lock);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_timerThread.join();
    m_server.stop();
}

std::int64_t worker_standin::toWorkerClock(Common::instant when) const
{
    return std::chrono::duration_cast<Common::millis>(when - m_startedAt).count();
}

Common::instant worker_standin::fromWorkerClock(std::int64_t value) const
{
    return m_startedAt + Common::millis(value);
}

std::int64_t worker_standin::running() const
{
    return std::ranges::count_if(m_tasks, [](const auto& entry) { return !entry.second.ended; });
}

std::int64_t worker_standin::runningNow()
{
    const std::lock_guard lock(m_lock);
    return running();
}

std::int64_t worker_standin::maxRunning()
{
    const std::lock_guard lock(m_lock);
    return m_maxRunning;
}

std::vector<worker_standin::started_task> worker_standin::startedTasks()
{
    const std::lock_guard lock(m_lock);
    return m_journal;
}

bool worker_standin::tryStart(const json& in, Common::instant now)
{
    const std::string name = in.at("task").get<std::string>();
    const bool isLate = toWorkerClock(now) > in.at("notAfter").get<std::int64_t>();
    const bool isOtherIncarnation = in.at("life").get<std::string>() != m_incarnation;
    const bool isFull = running() >= m_size.slots;
    if (isLate || isOtherIncarnation || isFull || m_tasks.contains(name) || faults().isOn("leaving"))
        return false;
    task added { .needs = in.at("needs").get<Requests::resources>(), .payload = in.at("payload").get<std::string>() };
    added.leaseUntil = fromWorkerClock(in.at("leaseUntil").get<std::int64_t>());
    std::int64_t runMillis = 0;
    added.answer = "ran:" + added.payload;
    if (const auto plan = Common::parseJson(added.payload); plan && plan->is_object()) {
        runMillis = plan->value("runMs", std::int64_t { 0 });
        added.answer = plan->value("answer", added.answer);
    }
    runMillis += runMillis * faults().value("slowdown") / 100;
    added.expectedEnd = now + Common::millis(runMillis);
    added.succeeded = !faults().isOn("failAll");
    m_journal.push_back({ .task = name, .payload = added.payload, .at = now });
    if (m_observer)
        m_observer->onStarted(m_name, added.payload);
    m_tasks[name] = std::move(added);
    m_maxRunning = std::max(m_maxRunning, running());
    return true;
}

void worker_standin::onStart(const httplib::Request& request, httplib::Response& response)
{
    json accepted = json::array();
    const json body = json::parse(request.body);
    {
        const std::lock_guard lock(m_lock);
        const auto now = Common::boot_clock::now();
        for (const json& entry : body.at("tasks")) {
            if (tryStart(entry, now))
                accepted.push_back(entry.at("task"));
        }
        endDueTasks(now);
        ++m_changes;
    }
    m_changed.notify_all();
    if (faults().consume("loseStarts"))
        std::this_thread::sleep_for(lostAnswerDelay);
    const json answer { { "life", m_incarnation }, { "clock", toWorkerClock(Common::boot_clock::now()) }, { "accepted", accepted } };
    response.set_content(answer.dump(), "application/json");
}

json worker_standin::describeFinished(const json& request)
{
    const std::string owner = request.at("owner").get<std::string>();
    const auto adopted = request.at("adopted").get<std::set<std::string>>();
    json finished = json::array();
    for (const auto& [name, entry] : m_tasks) {
        if (!entry.ended || !(name.starts_with(owner) || adopted.contains(name)))
            continue;
        std::string answer = entry.answer;
        if (faults().consume("cutAnswers"))
            answer.resize(answer.size() / 2);
        finished.push_back({ { "task", name }, { "succeeded", entry.succeeded }, { "length", entry.answer.size() },
            { "digest", Common::contentDigest(entry.answer) }, { "answer", answer } });
    }
    return finished;
}

void worker_standin::onPoll(const httplib::Request& request, httplib::Response& response)
{
    const json body = json::parse(request.body);
    const auto wait = Common::millis(body.at("waitMs").get<std::int64_t>());
    std::unique_lock lock(m_lock);
    for (const auto& name : body.at("acknowledged").get<std::vector<std::string>>()) {
        const auto found = m_tasks.find(name);
        if (found != m_tasks.end() && found->second.ended)
            m_tasks.erase(found);
    }
    if (body.at("life").get<std::string>() == m_incarnation) {
        for (const auto& name : body.at("renewed").get<std::vector<std::string>>()) {
            const auto found = m_tasks.find(name);
            if (found != m_tasks.end())
                found->second.leaseUntil = fromWorkerClock(body.at("leaseUntil").get<std::int64_t>());
        }
    }
    json finished = describeFinished(body);
    const auto seen = m_changes;
    if (finished.empty()) {
        m_changed.wait_for(lock, wait, [&] { return m_stopping || m_changes != seen; });
        finished = describeFinished(body);
    }
    json runningTasks = json::array();
    for (const auto& [name, entry] : m_tasks) {
        if (!entry.ended)
            runningTasks.push_back({ { "task", name }, { "needs", entry.needs } });
    }
    const json answer { { "life", m_incarnation }, { "clock", toWorkerClock(Common::boot_clock::now()) },
        { "leaving", faults().isOn("leaving") }, { "running", runningTasks }, { "finished", finished } };
    response.set_content(answer.dump(), "application/json");
}

void worker_standin::onStop(const httplib::Request& request, httplib::Response&)
{
    const json body = json::parse(request.body);
    {
        const std::lock_guard lock(m_lock);
        for (const auto& name : body.at("tasks").get<std::vector<std::string>>()) {
            const auto found = m_tasks.find(name);
            if (found == m_tasks.end() || found->second.ended)
                continue;
            end(found->second, false);
        }
        ++m_changes;
    }
    m_changed.notify_all();
}

void worker_standin::onJournal(httplib::Response& response)
{
    json lines = json::array();
    const std::lock_guard lock(m_lock);
    for (const started_task& entry : m_journal)
        lines.push_back({ { "task", entry.task }, { "payload", entry.payload }, { "atMs", toWorkerClock(entry.at) } });
    response.set_content(json { { "started", lines }, { "running", running() }, { "mostRunning", m_maxRunning } }.dump(),
        "application/json");
}

void worker_standin::observe(task_observer& observer, std::string name)
{
    m_observer = &observer;
    m_name = std::move(name);
}

void worker_standin::end(task& entry, bool succeeded)
{
    entry.ended = true;
    entry.succeeded = succeeded;
    if (m_observer)
        m_observer->onEnded(m_name, entry.payload);
}

void worker_standin::endDueTasks(Common::instant now)
{
    for (auto& [name, entry] : m_tasks) {
        if (entry.ended)
            continue;
        const bool isLeaseExpired = now >= entry.leaseUntil;
        if (!isLeaseExpired && now < entry.expectedEnd)
            continue;
        end(entry, entry.succeeded && !isLeaseExpired);
        ++m_changes;
    }
}

void worker_standin::runTimer()
{
    std::unique_lock lock(m_lock);
    while (!m_stopping) {
        const auto before = m_changes;
        const auto now = Common::boot_clock::now();
        endDueTasks(now);
        if (m_changes != before)
            m_changed.notify_all();
        auto next = now + maxTimerStep;
        for (const auto& [name, entry] : m_tasks) {
            if (!entry.ended)
                next = std::min({ next, entry.expectedEnd, entry.leaseUntil });
        }
        m_changed.wait_for(lock, next - now);
    }
}

}
