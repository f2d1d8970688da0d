#include "Case.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>

namespace Standin {

namespace {

    /// A port that was free a moment ago.
    int freePort()
    {
        static std::set<int> used;
        while (true) {
            const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            socklen_t size = sizeof address;
            ::bind(handle, reinterpret_cast<sockaddr*>(&address), size);
            ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
            ::close(handle);
            if (used.insert(ntohs(address.sin_port)).second)
                return ntohs(address.sin_port);
        }
    }

    httplib::Client local(int port)
    {
        httplib::Client client("127.0.0.1", port);
        client.set_connection_timeout(1);
        client.set_read_timeout(5);
        return client;
    }

    std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }

}

void pause(int millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

bool await(int millis, const std::function<bool()>& check)
{
    const auto until = steadyMs() + millis;
    while (!check()) {
        if (steadyMs() >= until)
            return false;
        pause(20);
    }
    return true;
}

deployment::deployment(const arguments& given, int instances, const std::vector<std::string>& services)
    : m_given(given)
    , m_record(given.at("record"))
    , m_folder(given.at("folder"))
{
    m_manager = freePort();
    for (int number = 0; number < instances; ++number)
        m_instances.push_back({ .front = freePort(), .ready = freePort(), .control = freePort(), .metrics = freePort(), .store = freePort() });
    for (const auto& service : services)
        m_workers.push_back({ .port = freePort(), .service = service });
}

deployment::~deployment()
{
    std::vector<pid_t> all { m_platform };
    for (const auto& worker : m_workers)
        all.push_back(worker.id);
    for (const auto& instance : m_instances)
        all.push_back(instance.id);
    for (const auto id : all) {
        if (id <= 0)
            continue;
        ::kill(id, SIGKILL);
        ::waitpid(id, nullptr, 0);
    }
}

pid_t deployment::spawn(const std::vector<std::string>& words, const std::string& output, const std::string& settings) const
{
    const pid_t id = ::fork();
    if (id != 0)
        return id;
    const auto file = m_folder + '/' + output;
    const int handle = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(handle, 1);
    ::dup2(handle, 2);
    if (!settings.empty())
        ::setenv("DRAGONFLYLOFT_NODE_FILE", settings.c_str(), 1);
    std::vector<char*> list;
    for (const auto& word : words)
        list.push_back(const_cast<char*>(word.c_str()));
    list.push_back(nullptr);
    ::execv(list[0], list.data());
    ::_exit(127);
}

void deployment::startInstance(int number)
{
    auto& instance = m_instances[static_cast<std::size_t>(number)];
    const auto name = "front-" + std::to_string(number + 1);
    const auto path = m_folder + '/' + name + ".toml";
    std::ofstream out(path);
    out << "node = \"" << name << "\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]\n"
        << "ip = \"127.0.0.1\"\nzone = \"z" << number + 1 << "\"\nregion = \"r\"\n"
        << "internalPortRange = [" << instance.metrics << ',' << instance.metrics << "]\n"
        << "seeds = []\nbootstrap = true\ninTolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
        << "heartbeatMs = 1500\norders = \"rpc\"\n"
        << "[listen]\nfront = \"" << at(instance.front) << "\"\nready = \"" << at(instance.ready) << "\"\ncontrol = \""
        << at(instance.control) << "\"\n"
        << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
        << "[bounds]\ncontactMs = 3000\ndrainMs = 2000\ngraceS = 6\nholdMaxMs = " << holdMaxMs << "\nstopMs = " << stopMs
        << "\ngangMs = " << gangMs << "\ncancel_ms = 3000\nvisible_ms = 3000\nleaseMs = 3000\n"
        << "[platform]\naddress = \"" << at(instance.store)
        << "\"\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\nparts = 16\nappendMs = 3.0\nrecordBytes = 262144\n"
        << "callBytes = 2097152\nkeep_s = 300\npartMb = 200\nttlMinMs = 1000\n"
        << "[cloud]\naddress = \"" << at(m_manager) << "\"\nratePerS = 64.0\nduties = []\ndutyPerS = 64.0\n";
    out.close();
    instance.id = spawn({ m_given.at("daemon"), "--platform" }, name + ".log", path);
}

void deployment::put(const std::string& key, const json& value) const
{
    local(m_instances[0].store).Post("/stand-in/put?topic=keyed.op&key=" + key, value.dump(), "application/json");
}

void deployment::startWorker(int worker)
{
    auto& started = m_workers[static_cast<std::size_t>(worker)];
    const auto number = std::to_string(worker);
    started.id = spawn({ m_given.at("self"), "worker", "record=" + m_record, "port=" + std::to_string(started.port),
                           "store=" + std::to_string(m_instances[0].store), "id=" + workerId(worker), "machine=m-" + number,
                           "service=" + started.service, "zone=z" + std::to_string(worker % 3 + 1), "rack=r" + number, "cpu=1000" },
        "worker-" + number + ".log");
}

void deployment::setHoldsStart(int worker, bool holds) const
{
    local(m_workers[static_cast<std::size_t>(worker)].port)
        .Post(std::string("/stand-in/hold-start?on=") + (holds ? "1" : "0"), "", "text/plain");
}

std::string deployment::heldStart(int worker) const
{
    const auto reply = local(m_workers[static_cast<std::size_t>(worker)].port).Get("/stand-in/held");
    return reply ? reply->body : std::string();
}

void deployment::deliverStart(int worker, const std::string& order) const
{
    say("the start that had no answer is carried out by worker " + workerId(worker));
    const httplib::Headers headers { { "X-Dragonflyloft-Expect-Instance", workerId(worker) } };
    local(m_workers[static_cast<std::size_t>(worker)].port).Post("/api/run-start", headers, order, "application/json");
}

void deployment::crashWorker(int worker)
{
    auto& crashed = m_workers[static_cast<std::size_t>(worker)];
    say("worker " + workerId(worker) + " crashes");
    ::kill(crashed.id, SIGKILL);
    ::waitpid(crashed.id, nullptr, 0);
    crashed.id = 0;
    const json down { { "machine", "m-" + std::to_string(worker) }, { "pool", m_workers[static_cast<std::size_t>(worker)].service }, { "state", "down" },
        { "zone", "z1" }, { "labels", json::array() }, { "capacity", json::object() } };
    local(m_instances[0].store).Post("/stand-in/machine", down.dump(), "application/json");
}

bool deployment::start()
{
    std::vector<std::string> words { m_given.at("self"), "platform", "manager=" + std::to_string(m_manager) };
    for (std::size_t number = 0; number < m_instances.size(); ++number)
        words.push_back("store" + std::to_string(number) + '=' + std::to_string(m_instances[number].store));
    m_platform = spawn(words, "platform.log");
    const bool hasStore = await(5000, [this] {
        const auto reply = local(m_instances[0].store).Get("/api/log-newest?topic=keyed.op&part=0");
        return reply && reply->status == 200;
    });
    if (!hasStore)
        return false;
    const auto route = [](const char* name, const char* prefix, const char* service) {
        return json { { "name", name }, { "host", "loft.example" }, { "pathPrefix", prefix }, { "kind", "non_idempotent" },
            { "timeoutMs", 3000 }, { "targetLatencyMs", 600 }, { "priority", 1 }, { "service", service }, { "maxAttempts", 3 },
            { "stretch", 1.6 }, { "public", false } };
    };
    const auto service = [](const char* name) {
        return json { { "name", name }, { "healthPath", "/health" }, { "maxConns", 64 }, { "protocol", "h1" },
            { "admissionCheck", true }, { "spare", false } };
    };
    const std::map<std::string, std::pair<const char*, const char*>> queues { { "kitting", { "kit-rel", "/kit/" } },
        { "routing", { "route-chk", "/route/" } }, { "cutting", { "cut-plan", "/cut/" } } };
    auto routes = json::array();
    auto services = json::array();
    for (const auto& [name, queue] : queues) {
        const bool isUsed = std::any_of(
            m_workers.begin(), m_workers.end(), [&name = name](const auto& worker) { return worker.service == name; });
        if (!isUsed)
            continue;
        routes.push_back(route(queue.first, queue.second, name.c_str()));
        services.push_back(service(name.c_str()));
    }
    auto tenants = json::array();
    for (const std::string number : { "1", "2" })
        tenants.push_back({ { "name", "tenant-" + number }, { "apiKeys", { "key-" + number } }, { "weight", 1 },
            { "maxCount", { { "cpu", 0 }, { "memMb", 0 }, { "gpu", 0 } } } });
    put("config",
        { { "version", 1 }, { "routes", routes }, { "services", services },
            { "limits", json::object() },
            { "tenants", tenants } });
    for (int worker = 0; worker < workers(); ++worker)
        startWorker(worker);
    pause(500);
    for (int number = 0; number < static_cast<int>(m_instances.size()); ++number)
        startInstance(number);
    const bool isReady = await(15000, [this] {
        return std::all_of(m_instances.begin(), m_instances.end(), [](const auto& instance) {
            const auto reply = local(instance.ready).Get("/api/ready");
            return reply && reply->status == 200;
        });
    });
    return isReady && await(10000, [this] { return leader().has_value(); });
}

std::optional<int> deployment::otherLeader(int instance) const
{
    std::optional<int> found;
    for (std::size_t number = 0; number < m_instances.size(); ++number) {
        if (static_cast<int>(number) == instance)
            continue;
        const auto reply = local(m_instances[number].metrics).Get("/metrics");
        if (!reply || reply->body.find("loft_leading 1") == std::string::npos)
            continue;
        if (found)
            return std::nullopt;
        found = static_cast<int>(number);
    }
    return found;
}

void deployment::setStoreCut(int instance, bool isCut) const
{
    say("the store is " + std::string(isCut ? "out of reach of" : "in reach of") + " instance " + std::to_string(instance + 1));
    local(m_manager).Post("/stand-in/cut?store=" + std::to_string(instance) + "&cut=" + (isCut ? "1" : "0"), "", "text/plain");
}

void deployment::setReachableFor(int worker, std::int64_t leastToken, std::int64_t mostToken) const
{
    say("worker " + workerId(worker) + " is in reach of the instances with tokens " + std::to_string(leastToken) + " to "
        + std::to_string(mostToken));
    local(m_workers[static_cast<std::size_t>(worker)].port)
        .Post("/stand-in/reach?least=" + std::to_string(leastToken) + "&most=" + std::to_string(mostToken), "", "text/plain");
}

std::int64_t deployment::tokenAt(int worker) const
{
    const auto reply = local(m_workers[static_cast<std::size_t>(worker)].port).Get("/stand-in/token");
    return reply && reply->status == 200 ? std::stoll(reply->body) : -1;
}

httplib::Client deployment::front(int instance, const std::string& key) const
{
    auto client = local(m_instances[static_cast<std::size_t>(instance)].front);
    client.set_default_headers({ { "Host", "loft.example" }, { "Authorization", "Bearer " + key } });
    return client;
}

int deployment::submit(
    const std::string& id, const json& job, int instance, const std::string& queue, const std::string& key) const
{
    const auto reply = front(instance, key).Post(queue + id, job.dump(), "application/json");
    const int status = reply ? reply->status : 0;
    say(key + ": POST " + queue + id + ' ' + job.dump() + " -> " + std::to_string(status));
    return status;
}

int deployment::cancel(const std::string& id, int instance) const
{
    const auto reply = front(instance, "key-1").Delete("/kit/" + id);
    const int status = reply ? reply->status : 0;
    say("DELETE " + id + " -> " + std::to_string(status));
    return status;
}

std::string deployment::state(const std::string& id, int instance, const std::string& key) const
{
    const auto reply = front(instance, key).Get("/kit/" + id);
    auto text = reply ? std::to_string(reply->status) : std::string("none");
    if (reply && reply->status == 200)
        text = json::parse(reply->body).value("state", text);
    return text;
}

std::vector<std::string> deployment::lines(const std::vector<std::string>& words) const
{
    std::vector<std::string> found;
    std::ifstream in(m_record);
    for (std::string line; std::getline(in, line);) {
        const bool hasAll = std::all_of(
            words.begin(), words.end(), [&line](const auto& word) { return line.find(word) != std::string::npos; });
        if (hasAll)
            found.push_back(line);
    }
    return found;
}

}
