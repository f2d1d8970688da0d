#include "Sessions/Deployment.h"

#include "Common/Hashing.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Sessions {

namespace {

    using Common::json;

    constexpr const char* loopback = "127.0.0.1";
    constexpr Common::millis pollInterval { 20 };
    constexpr time_t callTimeoutSeconds = 60;
    /// Timeout of a load balancer's probe.
    constexpr time_t probeTimeoutSeconds = 2;
    constexpr int dataCentres = 3;
    constexpr int workersPerRack = 4;
    constexpr int httpOk = 200;

    /// Ports for daemons. They lie below the system's ephemeral ports, or an outgoing connection could take
    /// a port before the daemon binds it.
    constexpr int firstPort = 11'000;
    constexpr int portRange = 20'000;
    constexpr int portsPerProcess = 97;

    bool canBind(int port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool isFree = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(descriptor);
        return isFree;
    }

    std::uint16_t freePort()
    {
        static int next = getpid() * portsPerProcess;
        while (true) {
            const int port = firstPort + next++ % portRange;
            if (canBind(port))
                return static_cast<std::uint16_t>(port);
        }
    }

    std::string dataCentreOf(int worker)
    {
        return "dc" + std::to_string(worker % dataCentres + 1);
    }

    std::string programFrom(const char* variable)
    {
        const char* const path = std::getenv(variable);
        REQUIRE(path != nullptr);
        return path;
    }

    call_result post(std::uint16_t port, const std::string& path, const std::string& body, const std::string& key)
    {
        httplib::Client client(loopback, port);
        client.set_connection_timeout(probeTimeoutSeconds);
        client.set_read_timeout(callTimeoutSeconds);
        const auto response = client.Post(path.c_str(), { { "X-Loft-Key", key } }, body, "application/json");
        if (!response)
            return {};
        return { .status = response->status, .body = response->body };
    }

    call_result get(std::uint16_t port, const std::string& path, const std::string& key)
    {
        httplib::Client client(loopback, port);
        client.set_connection_timeout(probeTimeoutSeconds);
        client.set_read_timeout(probeTimeoutSeconds);
        const auto response = client.Get(path.c_str(), { { "X-Loft-Key", key } });
        if (!response)
            return {};
        return { .status = response->status, .body = response->body };
    }

    constexpr const char* operationsLeadKey = "lead-key";
    constexpr const char* productManagerKey = "manager-key";

}

std::string call_result::field(const char* name) const
{
    const auto parsed = Common::parseJson(body);
    if (!parsed || !parsed->is_object() || !parsed->contains(name))
        return {};
    const json& value = parsed->at(name);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string workerName(int index)
{
    return dataCentreOf(index) + "-w" + std::to_string(index);
}

void waitUntil(const std::string& what, const std::function<bool()>& condition, Common::millis timeout)
{
    const auto deadline = Common::boot_clock::now() + timeout;
    while (!condition()) {
        if (Common::boot_clock::now() > deadline)
            FAIL("timed out waiting until " + what);
        std::this_thread::sleep_for(pollInterval);
    }
}

deployment::deployment(const deployment_options& options)
    : m_options(options)
    , m_directory(std::filesystem::temp_directory_path() / ("loft-" + Common::randomId()))
    , m_log({ loopback, 0 })
    , m_list({ loopback, 0 })
{
    std::filesystem::create_directory(m_directory);
    REQUIRE(m_log.start());
    REQUIRE(m_list.start());
    const Standins::worker_size size { .slots = options.slots };
    for (int index = 0; index < options.workers; ++index) {
        m_workers.push_back(std::make_unique<Standins::worker_standin>(Common::endpoint { loopback, 0 }, size));
        m_workers.back()->observe(m_audit, workerName(index));
        REQUIRE(m_workers.back()->start());
    }
    publishInstances();
    m_daemons.resize(static_cast<std::size_t>(options.daemons));
    for (int index = 0; index < options.daemons; ++index)
        writeSettings(m_daemons[static_cast<std::size_t>(index)], index);
}

deployment::~deployment()
{
    m_daemons.clear();
    if (std::getenv("LOFT_KEEP_LOGS"))
        return;
    std::filesystem::remove_all(m_directory);
}

void deployment::publishInstances()
{
    json list = json::array();
    for (int index = 0; index < workers(); ++index) {
        list.push_back({ { "id", workerName(index) },
            { "address", std::string(loopback) + ":" + std::to_string(worker(index).port()) },
            { "dataCentre", dataCentreOf(index) },
            { "rack", dataCentreOf(index) + "/r" + std::to_string(index / workersPerRack) }, { "cores", 16 },
            { "memoryMb", 65536 }, { "accelerators", 0 }, { "slots", m_options.slots }, { "leaving", false } });
    }
    m_list.setInstances(std::move(list));
}

void deployment::writeSettings(daemon_entry& entry, int index) const
{
    const std::string name = "e" + std::to_string(index);
    entry.settingsFile = m_directory + "/" + name + ".toml";
    entry.outputFile = m_directory + "/" + name + ".log";
    entry.callers = freePort();
    entry.peers = freePort();
    entry.operators = freePort();
    const auto address = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    std::ofstream file(entry.settingsFile);
    file << "[instance]\nid = \"" << name << "\"\ndata_centre = \"" << dataCentreOf(index) << "\"\n"
         << "[listen]\ncallers = " << address(entry.callers) << "peers = " << address(entry.peers)
         << "operators = " << address(entry.operators) << "[platform]\nlog = " << address(m_log.port())
         << "instance_list = " << address(m_list.port())
         << "[[operator]]\nname = \"olga\"\nrole = \"operations_lead\"\nkey_hash = \""
         << Common::hashKey(operationsLeadKey).value << "\"\n[[operator]]\nname = \"pia\"\nrole = \"product_manager\"\nkey_hash = \""
         << Common::hashKey(productManagerKey).value << "\"\n"
         << m_options.extraSettings;
}

void deployment::startDaemon(int index)
{
    daemon_entry& entry = m_daemons.at(static_cast<std::size_t>(index));
    entry.process = std::make_unique<child_process>(
        std::vector<std::string> { programFrom("LOFT_DAEMON"), "--settings=" + entry.settingsFile }, entry.outputFile);
}

void deployment::startAll()
{
    for (int index = 0; index < m_options.daemons; ++index)
        startDaemon(index);
    for (int index = 0; index < m_options.daemons; ++index)
        waitReady(index);
}

bool deployment::isReady(int index)
{
    return get(m_daemons.at(static_cast<std::size_t>(index)).callers, "/ready", {}).status == httpOk;
}

void deployment::waitReady(int index)
{
    waitUntil("daemon " + std::to_string(index) + " is ready", [&] { return isReady(index); });
}

call_result deployment::callers(int index, const std::string& path, const std::string& body) const
{
    return post(m_daemons.at(static_cast<std::size_t>(index)).callers, path, body, {});
}

call_result deployment::operators(int index, const std::string& path, const std::string& body) const
{
    return post(m_daemons.at(static_cast<std::size_t>(index)).operators, path, body, operationsLeadKey);
}

call_result deployment::state(int index, const std::string& view) const
{
    return get(m_daemons.at(static_cast<std::size_t>(index)).operators, "/v1/state/" + view, operationsLeadKey);
}

json deployment::stateList(int index, const std::string& view) const
{
    auto parsed = Common::parseJson(state(index, view).body);
    return parsed && parsed->is_array() ? std::move(*parsed) : json::array();
}

call_result deployment::change(int index, const std::string& verb, const std::string& body, const std::string& id,
    bool asProductManager) const
{
    const json message { { "verb", verb }, { "id", id.empty() ? Common::randomId() : id }, { "why", "test" },
        { "body", Common::parseJson(body).value_or(json::object()) } };
    return post(m_daemons.at(static_cast<std::size_t>(index)).operators, "/v1/changes", message.dump(),
        asProductManager ? productManagerKey : operationsLeadKey);
}

std::string deployment::client(int index, const std::vector<std::string>& words, int* exitCode) const
{
    const daemon_entry& entry = m_daemons.at(static_cast<std::size_t>(index));
    const std::string output = m_directory + "/client-" + Common::randomId();
    std::vector<std::string> all { programFrom("LOFT_CLIENT"),
        "--operators=127.0.0.1:" + std::to_string(entry.operators),
        "--callers=127.0.0.1:" + std::to_string(entry.callers) };
    all.insert(all.end(), words.begin(), words.end());
    child_process process(all, output, { std::string("LOFT_KEY=") + operationsLeadKey });
    const int code = process.wait();
    if (exitCode)
        *exitCode = code;
    return readFile(output);
}

void deployment::addTeam(const std::string& team, int share, int upperLimit)
{
    const json fields { { "teams", { { { "team", team }, { "share", share }, { "upperLimit", upperLimit } } } },
        { "minAvailable", nullptr }, { "maxInMaintenance", nullptr } };
    const json body { { "account", "account-" + team }, { "expected", 0 }, { "fields", fields } };
    waitUntil("team " + team + " is published",
        [&] { return change(0, "template", body.dump(), "publish-" + team, true).status == httpOk; });
    const json grant { { "hash", Common::hashKey("key-" + team).value }, { "team", team } };
    waitUntil("the key of team " + team + " is granted",
        [&] { return change(0, "grant-key", grant.dump(), "grant-" + team).status == httpOk; });
}

void deployment::setUpShifts(const std::string& team, int upperLimit)
{
    addTeam(team, 4000, upperLimit);
    REQUIRE(change(0, "queue", R"({"queue":"routing","pool":"shifts"})").status == httpOk);
    for (int index = 0; index < workers(); ++index) {
        const json place { { "instance", workerName(index) }, { "pool", "shifts" },
            { "dataCentre", dataCentreOf(index) }, { "rack", dataCentreOf(index) + "/r1" } };
        REQUIRE(change(0, "place", place.dump()).status == httpOk);
    }
    waitUntil("the pool has a holder", [&] { return holderOf("shifts") >= 0; });
}

int deployment::holderOf(const std::string& pool)
{
    for (int index = 0; index < m_options.daemons; ++index) {
        const json pools = stateList(index, "pools");
        for (const json& entry : pools) {
            const std::string holder = entry.value("holder", std::string());
            if (entry.value("pool", std::string()) == pool && holder.size() > 1)
                return std::stoi(holder.substr(1));
        }
    }
    return -1;
}

std::string deployment::daemonLog(int index) const
{
    return readFile(m_daemons.at(static_cast<std::size_t>(index)).outputFile);
}

}
