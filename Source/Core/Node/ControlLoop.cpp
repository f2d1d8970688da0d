#include "Node/ControlLoop.h"

#include "Common/Logging.h"
#include "Common/TcpProbe.h"
#include "Membership/ShardPlan.h"

#include <algorithm>
#include <mutex>

namespace Node {

namespace {

    constexpr Common::millis tickInterval { 50 };
    constexpr Common::millis promiseInterval { 500 };
    constexpr Common::millis probeInterval { 1000 };
    constexpr Common::millis probeTimeout { 300 };
    constexpr Common::millis decayInterval { 500 };
    constexpr Common::millis joinInterval { 300 };
    constexpr Common::millis expireInterval { 400 };
    constexpr Common::millis claimInterval { 500 };
    /// The list lags behind the platform anyway, and fetching it is most of an idle daemon's traffic.
    constexpr Common::millis instancesInterval { 5000 };

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
        std::this_thread::sleep_for(tickInterval);
    }
}

void control_loop::watchInstances()
{
    Common::instant last;
    while (!m_stopping) {
        if (isDue(last, instancesInterval, Common::boot_clock::now())) {
            if (const auto list = m_instances->fetch()) {
                const auto lock = m_parts.context.lock();
                m_parts.pools.onInstanceList(*list, Common::boot_clock::now());
            }
        }
        std::this_thread::sleep_for(tickInterval);
    }
}

bool control_loop::isDue(Common::instant& last, Common::millis interval, Common::instant now) const
{
    if (now - last < interval)
        return false;
    last = now;
    return true;
}

void control_loop::tick(Common::instant now)
{
    bool isMember = false;
    bool isLogUnavailable = false;
    {
        const auto lock = m_parts.context.lock();
        isMember = m_parts.context.leases().isMember(m_parts.context.state());
        isLogUnavailable = m_parts.context.leases().isLogUnavailable(now);
    }
    if (!isMember) {
        m_hasLeft = m_leaveSubmitted;
        join(now);
    } else {
        renew(now);
        if (isLogUnavailable)
            requestPromises(now);
        else
            expireMembers(now);
        if (!isLogUnavailable)
            probeNeighbour(now);
        claimAndRelease(now);
    }
    std::vector<std::unique_ptr<worker_session>> ended;
    {
        const auto lock = m_parts.context.lock();
        m_parts.pools.tick(Common::boot_clock::now());
        if (isDue(m_lastDecay, decayInterval, now))
            m_parts.permits.decayPermits();
        ended = m_parts.pools.takeEndedSessions();
        leaveIfDone(now);
    }
}

void control_loop::renew(Common::instant now)
{
    const auto lock = m_parts.context.lock();
    if (!m_parts.context.leases().shouldRenew(now))
        return;
    m_parts.context.leases().onRenewalSent(now);
    // A renewal that still waits in the queue would only be duplicated.
    if (m_parts.context.leases().isLogUnavailable(now) && m_parts.context.commit().waiting() > 0)
        return;
    m_parts.context.submit({ .id = {},
        .author = {},
        .role = Fleet::operator_role::System,
        .why = {},
        .body = Fleet::renew_member { m_parts.context.self() } });
}

void control_loop::join(Common::instant now)
{
    Membership::vote_request request;
    {
        const auto lock = m_parts.context.lock();
        // Promises granted by an earlier incarnation at this address must have expired.
        const bool arePromisesExpired
            = now - m_parts.context.incarnationBegan() >= m_parts.context.settings().timing.promise;
        const bool canJoin = m_parts.context.replica().hasState() && !m_parts.context.leases().isLogUnavailable(now);
        if (!arePromisesExpired || !canJoin || m_isRetiring || !isDue(m_lastJoin, joinInterval, now))
            return;
        if (m_parts.context.commit().waiting() > 0)
            return;
        request.version = m_parts.context.state().membershipVersion;
    }
    const vote_result votes = collectVotes(request, now);
    const auto lock = m_parts.context.lock();
    const auto& settings = m_parts.context.settings();
    m_parts.context.submitOwn(Fleet::join_member {
        .info = { .process = m_parts.context.self(), .peers = settings.peers, .dataCentre = settings.dataCentre },
        .version = request.version,
        .backers = votes.granted,
        .gone = votes.gone });
}

control_loop::vote_result control_loop::collectVotes(const Membership::vote_request& request, Common::instant now)
{
    std::vector<Fleet::member> members;
    Common::process_id self;
    {
        const auto lock = m_parts.context.lock();
        self = m_parts.context.self();
        for (const auto& [process, entry] : m_parts.context.state().members) {
            if (process != self && process != request.target)
                members.push_back(entry);
        }
    }
    vote_result result;
    std::mutex resultLock;
    m_parts.executor.runAll(members.size(), [&](std::size_t index) {
        const auto& info = members[index].info;
        const auto reply = m_parts.peers.requestVote(info.peers, request);
        const std::lock_guard guard(resultLock);
        // Another incarnation answers at the address, so the member itself is dead.
        const bool isReplaced = reply && reply->process != info.process;
        if (reply && !isReplaced)
            m_refusedSince.erase(info.process);
        if (reply && !isReplaced && reply->given)
            result.granted.push_back(info.process);
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
    const auto lock = m_parts.context.lock();
    // Promises that the member granted before it died must have expired.
    return since != m_refusedSince.end() && now - since->second >= m_parts.context.settings().timing.promise;
}

void control_loop::requestPromises(Common::instant now)
{
    if (!isDue(m_lastPromiseRequest, promiseInterval, now))
        return;
    Membership::promise_request request;
    std::vector<Fleet::member> members;
    {
        const auto lock = m_parts.context.lock();
        const auto& state = m_parts.context.state();
        m_parts.context.leases().beginPromiseRound(state, now);
        request = { .asker = m_parts.context.self(), .version = state.membershipVersion, .applied = state.applied };
        if (m_parts.context.voter().grantPromise(request, state, m_parts.context.leases().isLogUnavailable(now), now))
            m_parts.context.leases().onPromiseGranted(m_parts.context.self(), state);
        for (const auto& [process, entry] : state.members) {
            if (process != m_parts.context.self())
                members.push_back(entry);
        }
    }
    m_parts.executor.runAll(members.size(), [&](std::size_t index) {
        const auto& info = members[index].info;
        const auto reply = m_parts.peers.requestPromise(info.peers, request);
        if (!reply || !reply->given || reply->process != info.process)
            return;
        const auto lock = m_parts.context.lock();
        m_parts.context.leases().onPromiseGranted(info.process, m_parts.context.state());
    });
}

void control_loop::expireMembers(Common::instant now)
{
    std::vector<Fleet::member> due;
    {
        const auto lock = m_parts.context.lock();
        const auto& state = m_parts.context.state();
        if (!m_parts.context.mayAct(now))
            return;
        for (const auto& process : m_parts.context.leases().expiredMembers(state, now))
            due.push_back(state.members.at(process));
    }
    if (due.empty() || !isDue(m_lastExpire, expireInterval, now))
        return;
    for (const Fleet::member& member : due)
        expire(member, now);
}

void control_loop::probeNeighbour(Common::instant now)
{
    if (!isDue(m_lastProbe, probeInterval, now))
        return;
    std::optional<Fleet::member> neighbour;
    {
        const auto lock = m_parts.context.lock();
        const auto& members = m_parts.context.state().members;
        auto next = members.upper_bound(m_parts.context.self());
        if (next == members.end())
            next = members.begin();
        if (next != members.end() && next->first != m_parts.context.self())
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
    Membership::vote_request request { .target = target.info.process, .renewed = target.renewed };
    bool voted = false;
    {
        const auto lock = m_parts.context.lock();
        request.version = m_parts.context.state().membershipVersion;
        const bool isExpired = m_parts.context.leases().hasExpired(target.info.process, now);
        const bool isRefused = m_refusedSince.contains(target.info.process);
        voted = m_parts.context.voter().grantVote(request, m_parts.context.state(), isExpired || isRefused, now);
    }
    if (!voted)
        return;
    vote_result votes = collectVotes(request, now);
    const auto lock = m_parts.context.lock();
    votes.granted.push_back(m_parts.context.self());
    m_parts.context.submitOwn(Fleet::expire_member {
        .process = request.target, .renewed = request.renewed, .backers = votes.granted, .gone = votes.gone });
    Common::writeLog(Common::log_level::Warning, Common::log_category::Membership,
        "asks to remove member " + request.target.value);
}

void control_loop::claimAndRelease(Common::instant now)
{
    const auto lock = m_parts.context.lock();
    // Without the log, commands would only queue up.
    if (!m_parts.context.mayAct(now) || m_parts.context.leases().isLogUnavailable(now))
        return;
    const auto& state = m_parts.context.state();
    if (m_isRetiring && !m_retireSubmitted) {
        m_retireSubmitted = true;
        m_parts.context.submitOwn(Fleet::retire_member { m_parts.context.self() });
    }
    if (!isDue(m_lastClaim, claimInterval, now))
        return;
    if (!m_isRetiring) {
        for (const auto& shard : Membership::shardsToClaim(state, m_parts.context.self()))
            m_parts.context.submitOwn(Fleet::claim_shard { .shard = shard, .process = m_parts.context.self() });
    }
    const auto& timing = m_parts.context.settings().timing;
    auto releases = Membership::shardsToRelease(state, m_parts.context.self(), m_parts.context.leases(), timing, now);
    // A closed scheduler accepts no requests, so its pool is released even if the shard plan has assigned it
    // to this daemon again.
    for (const auto& pool : m_parts.pools.closingPools()) {
        if (std::ranges::find(releases, Fleet::poolShard(pool)) == releases.end())
            releases.push_back(Fleet::poolShard(pool));
    }
    for (const auto& shard : releases)
        release(shard);
}

void control_loop::release(const Common::shard_id& shard)
{
    const auto epoch = m_parts.context.state().shards.at(shard).epoch;
    const auto pool = Fleet::poolOfShard(shard);
    if (pool && !m_parts.pools.closePool(*pool))
        return;
    if (!pool)
        m_parts.permits.closeLedger(shard, epoch);
    m_parts.context.submitOwn(
        Fleet::release_shard { .shard = shard, .process = m_parts.context.self(), .epoch = epoch });
}

void control_loop::leaveIfDone(Common::instant now)
{
    if (!m_isRetiring || !m_mayLeave || m_leaveSubmitted)
        return;
    const auto& state = m_parts.context.state();
    const bool holdsShards = std::ranges::any_of(
        state.shards, [this](const auto& entry) { return entry.second.holder == m_parts.context.self(); });
    const bool holdsNothing = !holdsShards && m_parts.pools.isIdle() && m_parts.permits.runningTotal().value == 0;
    if (!holdsNothing || m_parts.context.voter().hasActivePromises(now))
        return;
    if (!m_parts.context.leases().isMember(state)) {
        m_leaveSubmitted = true;
        m_hasLeft = true;
        return;
    }
    m_leaveSubmitted = true;
    m_parts.context.submitOwn(Fleet::leave_member { m_parts.context.self() });
}

}
