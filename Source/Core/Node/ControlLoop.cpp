#include "Node/ControlLoop.h"

#include "Common/Logging.h"
#include "Common/TcpProbe.h"
#include "Roster/ShardPlan.h"

#include <algorithm>
#include <mutex>

namespace Node {

namespace {

    constexpr Common::millis tickLength { 50 };
    constexpr Common::millis promiseEvery { 500 };
    constexpr Common::millis probeEvery { 1000 };
    constexpr Common::millis probeTimeout { 300 };
    constexpr Common::millis coolEvery { 500 };
    constexpr Common::millis joinEvery { 300 };
    constexpr Common::millis expireEvery { 400 };
    constexpr Common::millis claimEvery { 500 };
    /// The list lags anyway, and with it goes the largest part of an idle daemon's traffic.
    constexpr Common::millis instancesEvery { 5000 };

}

control_loop::control_loop(parts chosen, std::unique_ptr<Targets::instance_list> instances)
    : m_parts(chosen)
    , m_instances(std::move(instances))
{
}

control_loop::~control_loop()
{
    stop();
}

void control_loop::start()
{
    m_thread = std::thread([this] { runAll(); });
    m_instanceThread = std::thread([this] { watchInstances(); });
}

void control_loop::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
    if (m_instanceThread.joinable())
        m_instanceThread.join();
}

void control_loop::runAll()
{
    while (!m_stopping) {
        tick(Common::boot_clock::now());
        std::this_thread::sleep_for(tickLength);
    }
}

void control_loop::watchInstances()
{
    Common::instant last;
    while (!m_stopping) {
        if (isDue(last, instancesEvery, Common::boot_clock::now())) {
            if (const auto list = m_instances->fetch()) {
                const auto lock = m_parts.hub.hold();
                m_parts.pools.onInstanceList(*list, Common::boot_clock::now());
            }
        }
        std::this_thread::sleep_for(tickLength);
    }
}

bool control_loop::isDue(Common::instant& last, Common::millis every, Common::instant now) const
{
    if (now - last < every)
        return false;
    last = now;
    return true;
}

void control_loop::tick(Common::instant now)
{
    bool isMember = false;
    bool lacksLog = false;
    {
        const auto lock = m_parts.hub.hold();
        isMember = m_parts.hub.keeper().isMember(m_parts.hub.state());
        lacksLog = m_parts.hub.keeper().lacksLog(now);
    }
    if (!isMember) {
        m_hasLeft = m_leaveAsked;
        join(now);
    } else {
        renew(now);
        if (lacksLog)
            askPromises(now);
        else
            expireLapsed(now);
        if (!lacksLog)
            probeNeighbour(now);
        claimAndRelease(now);
    }
    std::vector<std::unique_ptr<worker_session>> ended;
    {
        const auto lock = m_parts.hub.hold();
        m_parts.pools.tick(Common::boot_clock::now());
        if (isDue(m_lastCool, coolEvery, now))
            m_parts.permits.cool();
        ended = m_parts.pools.takeEnded();
        leaveIfDone(now);
    }
}

void control_loop::renew(Common::instant now)
{
    const auto lock = m_parts.hub.hold();
    if (!m_parts.hub.keeper().shouldRenew(now))
        return;
    m_parts.hub.keeper().onRenewalAsked(now);
    // A renewal that still waits would only be doubled.
    if (m_parts.hub.keeper().lacksLog(now) && m_parts.hub.commit().waiting() > 0)
        return;
    m_parts.hub.submit({ .id = {},
        .author = {},
        .role = Fleet::operator_role::System,
        .why = {},
        .body = Fleet::renew_member { m_parts.hub.self() } });
}

void control_loop::join(Common::instant now)
{
    Roster::backing_request request;
    {
        const auto lock = m_parts.hub.hold();
        // Promises that an earlier life at this address gave must be over.
        const bool isSettled = now - m_parts.hub.lifeBegan() >= m_parts.hub.settings().timing.promise;
        const bool canJoin = m_parts.hub.replica().hasState() && !m_parts.hub.keeper().lacksLog(now);
        if (!isSettled || !canJoin || m_isRetiring || !isDue(m_lastJoin, joinEvery, now))
            return;
        if (m_parts.hub.commit().waiting() > 0)
            return;
        request.version = m_parts.hub.state().membershipVersion;
    }
    const vote_result votes = collectBacking(request, now);
    const auto lock = m_parts.hub.hold();
    const auto& settings = m_parts.hub.settings();
    m_parts.hub.submitOwn(Fleet::join_member {
        .info = { .process = m_parts.hub.self(), .peers = settings.peers, .dataCentre = settings.dataCentre },
        .version = request.version,
        .backers = votes.given,
        .gone = votes.gone });
}

control_loop::vote_result control_loop::collectBacking(const Roster::backing_request& request, Common::instant now)
{
    std::vector<Fleet::member> members;
    Common::process_id self;
    {
        const auto lock = m_parts.hub.hold();
        self = m_parts.hub.self();
        for (const auto& [process, entry] : m_parts.hub.state().members) {
            if (process != self && process != request.target)
                members.push_back(entry);
        }
    }
    vote_result result;
    std::mutex resultLock;
    m_parts.runner.runAll(members.size(), [&](std::size_t index) {
        const auto& info = members[index].info;
        const auto reply = m_parts.peers.askBacking(info.peers, request);
        const std::lock_guard guard(resultLock);
        // Another life answers at the address, so the member itself is dead.
        const bool isReplaced = reply && reply->process != info.process;
        if (reply && !isReplaced)
            m_refusedSince.erase(info.process);
        if (reply && !isReplaced && reply->given)
            result.given.push_back(info.process);
        if (isReplaced)
            m_refusedSince.try_emplace(info.process, now);
    });
    for (const Fleet::member& member : members) {
        if (isGone(member, now))
            result.gone.push_back(member.info.process);
    }
    return result;
}

bool control_loop::isGone(const Fleet::member& member, Common::instant now)
{
    const bool refused = Common::probeTcp(member.info.peers, probeTimeout) == Common::probe_result::Refused;
    if (refused)
        m_refusedSince.try_emplace(member.info.process, now);
    const auto since = m_refusedSince.find(member.info.process);
    const auto lock = m_parts.hub.hold();
    // Promises that the member gave before it went must be over.
    return since != m_refusedSince.end() && now - since->second >= m_parts.hub.settings().timing.promise;
}

void control_loop::askPromises(Common::instant now)
{
    if (!isDue(m_lastPromises, promiseEvery, now))
        return;
    Roster::promise_request request;
    std::vector<Fleet::member> members;
    {
        const auto lock = m_parts.hub.hold();
        const auto& state = m_parts.hub.state();
        m_parts.hub.keeper().beginPromiseRound(state, now);
        request = { .asker = m_parts.hub.self(), .version = state.membershipVersion, .applied = state.applied };
        if (m_parts.hub.promises().givePromise(request, state, m_parts.hub.keeper().lacksLog(now), now))
            m_parts.hub.keeper().onPromiseGiven(m_parts.hub.self(), state);
        for (const auto& [process, entry] : state.members) {
            if (process != m_parts.hub.self())
                members.push_back(entry);
        }
    }
    m_parts.runner.runAll(members.size(), [&](std::size_t index) {
        const auto& info = members[index].info;
        const auto reply = m_parts.peers.askPromise(info.peers, request);
        if (!reply || !reply->given || reply->process != info.process)
            return;
        const auto lock = m_parts.hub.hold();
        m_parts.hub.keeper().onPromiseGiven(info.process, m_parts.hub.state());
    });
}

void control_loop::expireLapsed(Common::instant now)
{
    std::vector<Fleet::member> due;
    {
        const auto lock = m_parts.hub.hold();
        const auto& state = m_parts.hub.state();
        if (!m_parts.hub.mayAct(now))
            return;
        for (const auto& process : m_parts.hub.keeper().lapsedMembers(state, now))
            due.push_back(state.members.at(process));
    }
    if (due.empty() || !isDue(m_lastExpire, expireEvery, now))
        return;
    for (const Fleet::member& member : due)
        expire(member, now);
}

void control_loop::probeNeighbour(Common::instant now)
{
    if (!isDue(m_lastProbe, probeEvery, now))
        return;
    std::optional<Fleet::member> neighbour;
    {
        const auto lock = m_parts.hub.hold();
        const auto& members = m_parts.hub.state().members;
        auto next = members.upper_bound(m_parts.hub.self());
        if (next == members.end())
            next = members.begin();
        if (next != members.end() && next->first != m_parts.hub.self())
            neighbour = next->second;
    }
    if (!neighbour)
        return;
    if (Common::probeTcp(neighbour->info.peers, probeTimeout) != Common::probe_result::Refused)
        return;
    m_refusedSince.try_emplace(neighbour->info.process, now);
    expire(*neighbour, now);
}

void control_loop::expire(const Fleet::member& target, Common::instant now)
{
    Roster::backing_request request { .target = target.info.process, .renewed = target.renewed };
    bool backed = false;
    {
        const auto lock = m_parts.hub.hold();
        request.version = m_parts.hub.state().membershipVersion;
        const bool isLapsed = m_parts.hub.keeper().hasLapsed(target.info.process, now);
        const bool isRefused = m_refusedSince.contains(target.info.process);
        backed = m_parts.hub.promises().giveBacking(request, m_parts.hub.state(), isLapsed || isRefused, now);
    }
    if (!backed)
        return;
    vote_result votes = collectBacking(request, now);
    const auto lock = m_parts.hub.hold();
    votes.given.push_back(m_parts.hub.self());
    m_parts.hub.submitOwn(Fleet::expire_member {
        .process = request.target, .renewed = request.renewed, .backers = votes.given, .gone = votes.gone });
    Common::writeLog(Common::log_level::Warning, Common::log_category::Roster,
        "asks to remove member " + request.target.value);
}

void control_loop::claimAndRelease(Common::instant now)
{
    const auto lock = m_parts.hub.hold();
    // Without the log, commands would only pile up.
    if (!m_parts.hub.mayAct(now) || m_parts.hub.keeper().lacksLog(now))
        return;
    const auto& state = m_parts.hub.state();
    if (m_isRetiring && !m_retireAsked) {
        m_retireAsked = true;
        m_parts.hub.submitOwn(Fleet::retire_member { m_parts.hub.self() });
    }
    if (!isDue(m_lastClaim, claimEvery, now))
        return;
    if (!m_isRetiring) {
        for (const auto& shard : Roster::shardsToClaim(state, m_parts.hub.self()))
            m_parts.hub.submitOwn(Fleet::claim_shard { .shard = shard, .process = m_parts.hub.self() });
    }
    const auto& timing = m_parts.hub.settings().timing;
    auto releases = Roster::shardsToRelease(state, m_parts.hub.self(), m_parts.hub.keeper(), timing, now);
    // A closed desk serves nobody, so its pool is released even if it should stay here after all.
    for (const auto& pool : m_parts.pools.closingPools()) {
        if (std::ranges::find(releases, Fleet::poolShard(pool)) == releases.end())
            releases.push_back(Fleet::poolShard(pool));
    }
    for (const auto& shard : releases)
        release(shard);
}

void control_loop::release(const Common::shard_id& shard)
{
    const auto epoch = m_parts.hub.state().shards.at(shard).epoch;
    const auto pool = Fleet::poolOfShard(shard);
    if (pool && !m_parts.pools.closeDesk(*pool))
        return;
    if (!pool)
        m_parts.permits.closeLedger(shard, epoch);
    m_parts.hub.submitOwn(Fleet::release_shard { .shard = shard, .process = m_parts.hub.self(), .epoch = epoch });
}

void control_loop::leaveIfDone(Common::instant now)
{
    if (!m_isRetiring || !m_mayLeave || m_leaveAsked)
        return;
    const auto& state = m_parts.hub.state();
    const bool holdsShards = std::ranges::any_of(
        state.shards, [this](const auto& entry) { return entry.second.holder == m_parts.hub.self(); });
    const bool isFree = !holdsShards && m_parts.pools.isIdle() && m_parts.permits.runningTotal().value == 0;
    if (!isFree || m_parts.hub.promises().holdsPromises(now))
        return;
    if (!m_parts.hub.keeper().isMember(state)) {
        m_leaveAsked = true;
        m_hasLeft = true;
        return;
    }
    m_leaveAsked = true;
    m_parts.hub.submitOwn(Fleet::leave_member { m_parts.hub.self() });
}

}
