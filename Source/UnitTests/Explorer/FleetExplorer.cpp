#include "Explorer/FleetExplorer.h"

#include "Common/Hashing.h"
#include "Fleet/FleetCodec.h"
#include "Membership/ShardPlan.h"

#include <algorithm>
#include <array>

namespace Explorer {

namespace {

    using Common::instant;
    using Common::millis;

    const std::array<Common::team_id, 2> teams { Common::team_id { "day" }, Common::team_id { "evening" } };
    constexpr std::int64_t upperLimit = 5;
    constexpr std::size_t maxTraceEvents = 80;
    /// Time within which the fleet must recover once all failures have ended.
    constexpr millis recoveryTime { 40'000 };
    constexpr millis joinInterval { 300 };
    constexpr millis claimInterval { 500 };
    constexpr millis promiseInterval { 500 };
    constexpr millis expiryInterval { 400 };
    constexpr millis peakDecayInterval { 500 };

    struct promise_message {
        Membership::promise_request request;
    };
    struct promise_reply {
        instant roundStart;
        bool granted { false };
    };
    struct vote_message {
        Membership::vote_request request;
        std::int64_t round { 0 };
        bool targetRefuses { false };
    };
    struct vote_reply {
        std::int64_t round { 0 };
        bool granted { false };
    };
    struct report_message {
        Limits::permit_report report;
    };
    struct grant_message {
        Limits::permit_grant grant;
    };
    using message_body
        = std::variant<promise_message, promise_reply, vote_message, vote_reply, report_message, grant_message>;

    struct message {
        std::size_t from { 0 };
        Common::process_id fromProcess;
        std::size_t to { 0 };
        message_body body;
    };

    struct vote_round {
        std::int64_t number { 0 };
        Membership::vote_request request;
        std::vector<Common::process_id> voters;
        instant closesAt;
    };

    struct sim_task {
        Common::team_id team;
        Common::process_id owner;
        instant leaseUntil;
        bool ended { false };
    };

    struct sim_daemon {
        std::size_t index { 0 };
        int incarnationNumber { 0 };
        Common::process_id self;
        std::unique_ptr<Fleet::replica> replica;
        std::unique_ptr<Membership::lease_tracker> leases;
        std::unique_ptr<Membership::membership_voter> voter;
        std::unique_ptr<Limits::permit_cache> permits;
        std::unique_ptr<PlatformLog::group_commit> commit;
        std::map<Common::shard_id, Limits::team_ledger> ledgers;
        /// Shards no longer served whose release isn't in the log yet, with the epoch that ended.
        std::map<Common::shard_id, Common::shard_epoch> closedShards;
        std::set<Common::process_id> knownMembers;
        std::map<Common::process_id, instant> refusedSince;
        std::optional<vote_round> voteRound;
        std::set<std::string> tasks;
        instant startedAt;
        instant lastLoss;
        instant lastJoin;
        instant lastClaim;
        instant lastPromise;
        instant lastExpire;
        instant lastPeakDecay;
        instant promiseRoundStart;
        bool wasMember { false };
        bool isDown { false };
        bool isPaused { false };
        bool isCutFromLog { false };

        const Fleet::fleet_state& state() const { return replica->state(); }
    };

    bool isClosed(const sim_daemon& daemon, const Common::shard_id& shard, Common::shard_epoch epoch)
    {
        const auto closed = daemon.closedShards.find(shard);
        return closed != daemon.closedShards.end() && closed->second == epoch;
    }

    class fleet_simulation {
    public:
        explicit fleet_simulation(const explorer_options& options)
            : m_options(options)
            , m_random(options.seed)
        {
        }

        explorer_result run();

    private:
        void begin(sim_daemon&);
        void trace(const std::string& event);
        void fail(const std::string& what);
        bool chance(int oneIn) { return std::uniform_int_distribution(0, oneIn - 1)(m_random) == 0; }
        std::size_t randomBelow(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random); }

        void appendRaw(const Fleet::envelope&);
        void publishTeams();
        void step();
        void injectFaults();
        void deliverMessages();
        void tick(sim_daemon&);
        void readLog(sim_daemon&);
        void applyPage(sim_daemon&, instant readStart);
        void writeLog(sim_daemon&);
        void traceCommands(std::int64_t offset, const std::vector<Fleet::command>&);
        void renewAndJoin(sim_daemon&);
        void closeVoteRound(sim_daemon&);
        void openVoteRound(sim_daemon&, const Membership::vote_request&);
        void expireMembers(sim_daemon&);
        void claimShards(sim_daemon&);
        void requestPromises(sim_daemon&);
        void reportPermits(sim_daemon&);
        void runTasks(sim_daemon&);
        void updateMembers(sim_daemon&);
        void updateLedgers(sim_daemon&);
        bool mayAct(const sim_daemon& daemon) const
        {
            return daemon.replica->hasState() && daemon.leases->isMember(daemon.state()) && daemon.leases->mayAct(m_now);
        }
        bool refuses(const Common::endpoint&) const;
        void send(const sim_daemon& from, std::size_t to, message_body);
        std::optional<std::size_t> daemonIndexOf(const sim_daemon&, const Common::process_id&) const;
        void receive(sim_daemon&, const message&);
        void submit(sim_daemon&, Fleet::command_body);
        void endTasks();
        void check();
        void checkLimits();
        void checkHolders();
        void checkRecovery();
        void clearFaults();
        Common::command_id nextId() { return { "c" + std::to_string(m_nextId++) }; }

        explorer_options m_options;
        std::mt19937_64 m_random;
        Membership::timing m_timing;
        instant m_now { std::chrono::hours(1) };
        std::vector<sim_daemon> m_daemons;
        std::vector<std::string> m_log;
        std::vector<std::string> m_delayedAppends;
        bool m_logDown { false };
        bool m_isFaultFree { false };
        std::vector<message> m_messages;
        std::map<std::string, sim_task> m_tasks;
        std::map<std::int64_t, std::string> m_digests;
        std::int64_t m_nextId { 0 };
        std::int64_t m_nextRound { 0 };
        std::int64_t m_nextTask { 0 };
        explorer_result m_result;
    };

    void fleet_simulation::trace(const std::string& event)
    {
        const auto since = std::chrono::duration_cast<millis>(m_now.time_since_epoch() - std::chrono::hours(1));
        m_result.trace.push_back(std::to_string(since.count()) + " ms: " + event);
        if (m_result.trace.size() > maxTraceEvents)
            m_result.trace.pop_front();
    }

    void fleet_simulation::fail(const std::string& what)
    {
        if (m_result.violation.empty())
            m_result.violation = what;
        trace("VIOLATION " + what);
    }

    void fleet_simulation::begin(sim_daemon& daemon)
    {
        ++daemon.incarnationNumber;
        daemon.self = { "d" + std::to_string(daemon.index) + "-" + std::to_string(daemon.incarnationNumber) };
        daemon.leases = std::make_unique<Membership::lease_tracker>(daemon.self, m_timing, m_now);
        daemon.voter = std::make_unique<Membership::membership_voter>(daemon.self, m_timing);
        daemon.permits = std::make_unique<Limits::permit_cache>(daemon.self);
        daemon.ledgers.clear();
        daemon.closedShards.clear();
        daemon.voteRound.reset();
        daemon.tasks.clear();
        daemon.startedAt = m_now;
        daemon.lastLoss = m_now;
        daemon.wasMember = false;
    }

    void fleet_simulation::appendRaw(const Fleet::envelope& record)
    {
        m_log.push_back(Fleet::encodeRecord(record));
    }

    void fleet_simulation::publishTeams()
    {
        Fleet::template_fields fields;
        for (const auto& team : teams)
            fields.teams.push_back({ .team = team,
                .share = Common::share_weight { 1000 },
                .upperLimit = Common::slot_count { upperLimit } });
        const Fleet::command publish { .id = nextId(),
            .author = "pia",
            .role = Fleet::operator_role::ProductManager,
            .why = "w",
            .body = Fleet::publish_template { .account = { "account" }, .expected = {}, .fields = fields } };
        appendRaw({ .at = { 1 }, .by = { "op" }, .commands = { publish } });
        const Fleet::command queue { .id = nextId(),
            .author = "olga",
            .role = Fleet::operator_role::OperationsLead,
            .why = "w",
            .body = Fleet::define_queue { .queue = { "q" }, .pool = { "p" } } };
        appendRaw({ .at = { 1 }, .by = { "op" }, .commands = { queue } });
    }

    explorer_result fleet_simulation::run()
    {
        publishTeams();
        for (int index = 0; index < m_options.daemons; ++index) {
            sim_daemon daemon;
            daemon.index = static_cast<std::size_t>(index);
            daemon.replica = std::make_unique<Fleet::replica>();
            daemon.commit = std::make_unique<PlatformLog::group_commit>();
            m_daemons.push_back(std::move(daemon));
            begin(m_daemons.back());
        }
        while (m_result.steps < m_options.steps && m_result.violation.empty()) {
            ++m_result.steps;
            step();
        }
        if (m_result.violation.empty())
            checkRecovery();
        return std::move(m_result);
    }

    void fleet_simulation::step()
    {
        m_now += millis(5 + static_cast<int>(randomBelow(60)));
        if (!m_isFaultFree)
            injectFaults();
        deliverMessages();
        for (sim_daemon& daemon : m_daemons) {
            if (!daemon.isDown && !daemon.isPaused && !chance(4))
                tick(daemon);
        }
        endTasks();
        check();
    }

    void fleet_simulation::injectFaults()
    {
        sim_daemon& daemon = m_daemons[randomBelow(m_daemons.size())];
        if (chance(150)) {
            m_logDown = !m_logDown;
            trace(m_logDown ? "log goes down" : "log comes back");
        }
        if (chance(120)) {
            daemon.isCutFromLog = !daemon.isCutFromLog;
            trace(daemon.self.value + (daemon.isCutFromLog ? " loses its connection to the log" : " reaches the log again"));
        }
        if (chance(daemon.isPaused ? 30 : 120)) {
            daemon.isPaused = !daemon.isPaused;
            trace(daemon.self.value + (daemon.isPaused ? " paused" : " resumes"));
        }
        if (daemon.isDown ? chance(40) : chance(250)) {
            trace(daemon.self.value + (daemon.isDown ? " starts" : " killed"));
            if (daemon.isDown) {
                daemon.replica = std::make_unique<Fleet::replica>();
                daemon.commit = std::make_unique<PlatformLog::group_commit>();
                daemon.refusedSince.clear();
                daemon.knownMembers.clear();
                begin(daemon);
            }
            daemon.isDown = !daemon.isDown;
            daemon.isPaused = false;
        }
        // An append whose answer was lost may take effect much later.
        if (!m_delayedAppends.empty() && chance(20) && !m_logDown) {
            m_log.push_back(m_delayedAppends.back());
            m_delayedAppends.pop_back();
        }
    }

    void fleet_simulation::deliverMessages()
    {
        std::vector<message> due;
        std::swap(due, m_messages);
        std::shuffle(due.begin(), due.end(), m_random);
        for (message& sent : due) {
            if (!m_isFaultFree && chance(12))
                continue;
            sim_daemon& target = m_daemons[sent.to];
            const bool isDelayed = target.isPaused || (!m_isFaultFree && chance(3));
            if (isDelayed) {
                m_messages.push_back(sent);
                continue;
            }
            if (!m_isFaultFree && chance(15))
                m_messages.push_back(sent);
            if (!target.isDown)
                receive(target, sent);
        }
    }

    void fleet_simulation::tick(sim_daemon& daemon)
    {
        readLog(daemon);
        if (daemon.replica->hasState()) {
            renewAndJoin(daemon);
            closeVoteRound(daemon);
            expireMembers(daemon);
            claimShards(daemon);
            requestPromises(daemon);
            reportPermits(daemon);
            runTasks(daemon);
        }
        writeLog(daemon);
    }

    void fleet_simulation::readLog(sim_daemon& daemon)
    {
        if (m_logDown || daemon.isCutFromLog || (!m_isFaultFree && chance(5)))
            return;
        applyPage(daemon, m_now);
    }

    void fleet_simulation::applyPage(sim_daemon& daemon, instant readStart)
    {
        const auto before = daemon.state().applied;
        const auto end = static_cast<std::int64_t>(m_log.size());
        std::vector<Fleet::stored_record> page;
        for (std::int64_t offset = daemon.replica->next().value; offset < end && page.size() < 20; ++offset)
            page.push_back({ .offset = { offset }, .text = m_log[static_cast<std::size_t>(offset)] });
        daemon.replica->applyRecords({ 0 }, page);
        daemon.leases->onLogResponse(m_now);
        if (daemon.replica->next().value >= end) {
            daemon.leases->onViewConfirmed(readStart);
            daemon.commit->onEndOfLog(readStart, [&daemon](const Fleet::command& sent) {
                return !sent.id.empty() && Fleet::resultOf(daemon.state(), sent.id);
            });
        }
        if (daemon.state().applied < before)
            fail("the applied offset decreased");
        daemon.leases->onState(daemon.state(), m_now);
        const bool isMember = daemon.leases->isMember(daemon.state());
        if (daemon.wasMember && !isMember) {
            trace(daemon.self.value + " learns that it was removed");
            begin(daemon);
            daemon.leases->onState(daemon.state(), m_now);
        }
        daemon.wasMember = isMember;
        updateMembers(daemon);
        updateLedgers(daemon);
        if (page.empty())
            return;
        const auto [known, isNew] = m_digests.try_emplace(
            daemon.state().applied.value, Common::contentDigest(Fleet::encodeState(daemon.state())));
        if (!isNew && known->second != Common::contentDigest(Fleet::encodeState(daemon.state())))
            fail("the states of two daemons differ at offset " + std::to_string(known->first));
    }

    void fleet_simulation::updateMembers(sim_daemon& daemon)
    {
        const auto left = daemon.replica->takeLeftMembers();
        std::erase_if(daemon.knownMembers, [&](const Common::process_id& process) {
            if (daemon.state().members.contains(process))
                return false;
            const bool gracefully = std::ranges::find(left, process) != left.end();
            if (!gracefully)
                daemon.lastLoss = m_now;
            for (auto& [shard, ledger] : daemon.ledgers)
                ledger.onMemberRemoved(process, gracefully, m_now);
            return true;
        });
        for (const auto& [process, entry] : daemon.state().members)
            daemon.knownMembers.insert(process);
    }

    void fleet_simulation::updateLedgers(sim_daemon& daemon)
    {
        std::erase_if(daemon.ledgers, [&daemon](const auto& entry) {
            const auto assignment = Fleet::holderOf(daemon.state(), entry.first);
            return !assignment || assignment->holder != daemon.self || assignment->epoch != entry.second.epoch();
        });
        const millis taskTimeout = m_timing.taskLease + m_timing.margin;
        for (const auto& team : teams) {
            const auto shard = Fleet::ledgerShard(team);
            const auto assignment = Fleet::holderOf(daemon.state(), shard);
            if (!assignment || assignment->holder != daemon.self || daemon.ledgers.contains(shard))
                continue;
            if (isClosed(daemon, shard, assignment->epoch))
                continue;
            daemon.ledgers.emplace(shard,
                Limits::team_ledger({ .shard = shard,
                                        .epoch = assignment->epoch,
                                        .orphanedTaskTimeout = taskTimeout,
                                        .noGrantsBefore = daemon.lastLoss + taskTimeout },
                    daemon.state()));
        }
    }

    void fleet_simulation::submit(sim_daemon& daemon, Fleet::command_body body)
    {
        daemon.commit->add({ .id = nextId(), .body = std::move(body) });
    }

    void fleet_simulation::traceCommands(std::int64_t offset, const std::vector<Fleet::command>& commands)
    {
        for (const auto& sent : commands) {
            std::string what = std::to_string(offset) + " " + std::string(Fleet::nameOf(sent.body));
            if (const auto* const removal = std::get_if<Fleet::expire_member>(&sent.body)) {
                what += " " + removal->process.value + " with votes of";
                for (const auto& backer : removal->backers)
                    what += " " + backer.value;
                what += " not counting";
                for (const auto& process : removal->gone)
                    what += " " + process.value;
            }
            if (const auto* const claimed = std::get_if<Fleet::claim_shard>(&sent.body))
                what += " " + claimed->shard.value + " for " + claimed->process.value;
            if (const auto* const released = std::get_if<Fleet::release_shard>(&sent.body))
                what += " " + released->shard.value + " of " + released->process.value;
            if (!std::holds_alternative<Fleet::renew_member>(sent.body))
                trace(what);
        }
    }

    void fleet_simulation::writeLog(sim_daemon& daemon)
    {
        const auto commands = daemon.commit->takeBatch();
        if (commands.empty())
            return;
        if (m_logDown || daemon.isCutFromLog) {
            daemon.commit->onNotAppended();
            return;
        }
        const std::string record = Fleet::encodeRecord({ .at = { 1 }, .by = daemon.self, .commands = commands });
        const bool isAnswerLost = !m_isFaultFree && chance(25);
        if (isAnswerLost) {
            if (chance(3))
                m_delayedAppends.push_back(record);
            else if (chance(2))
                m_log.push_back(record);
            daemon.commit->onMaybeAppended(m_now);
            return;
        }
        const auto offset = static_cast<std::int64_t>(m_log.size());
        m_log.push_back(record);
        traceCommands(offset, commands);
        daemon.commit->onAppended();
        daemon.leases->onLogResponse(m_now);
        const bool renews = std::ranges::any_of(commands, [&daemon](const Fleet::command& sent) {
            const auto* const renewal = std::get_if<Fleet::renew_member>(&sent.body);
            const auto* const join = std::get_if<Fleet::join_member>(&sent.body);
            return (renewal && renewal->process == daemon.self) || (join && join->info.process == daemon.self);
        });
        if (renews)
            daemon.leases->onRenewalAppended({ offset }, m_now);
    }

    bool fleet_simulation::refuses(const Common::endpoint& address) const
    {
        return m_daemons[address.port].isDown;
    }

    void fleet_simulation::renewAndJoin(sim_daemon& daemon)
    {
        if (daemon.leases->isMember(daemon.state())) {
            if (!daemon.leases->shouldRenew(m_now))
                return;
            daemon.leases->onRenewalSent(m_now);
            if (!daemon.leases->isLogUnavailable(m_now) || daemon.commit->waiting() == 0)
                daemon.commit->add({ .id = {}, .body = Fleet::renew_member { daemon.self } });
            return;
        }
        // Promises that an earlier incarnation gave have expired by then.
        const bool arePromisesExpired = m_now - daemon.startedAt >= m_timing.promise;
        const bool canJoin = arePromisesExpired && !daemon.leases->isLogUnavailable(m_now) && daemon.commit->waiting() == 0;
        if (!canJoin || daemon.voteRound || m_now - daemon.lastJoin < joinInterval)
            return;
        daemon.lastJoin = m_now;
        openVoteRound(daemon, { .version = daemon.state().membershipVersion });
    }

    void fleet_simulation::openVoteRound(sim_daemon& daemon, const Membership::vote_request& request)
    {
        daemon.voteRound = vote_round { .number = m_nextRound++, .request = request, .voters = {}, .closesAt = m_now + millis(200) };
        for (const auto& [process, entry] : daemon.state().members) {
            if (process == daemon.self || process == request.target)
                continue;
            const auto target = daemon.state().members.find(request.target);
            const bool targetRefuses = target != daemon.state().members.end() && refuses(target->second.info.peers);
            send(daemon, entry.info.peers.port,
                vote_message { .request = request, .round = daemon.voteRound->number, .targetRefuses = targetRefuses });
        }
    }

    void fleet_simulation::closeVoteRound(sim_daemon& daemon)
    {
        if (!daemon.voteRound || m_now < daemon.voteRound->closesAt)
            return;
        const vote_round round = *daemon.voteRound;
        daemon.voteRound.reset();
        std::vector<Common::process_id> gone;
        for (const auto& [process, entry] : daemon.state().members) {
            const bool replaced = m_daemons[entry.info.peers.port].self != process;
            if (process == daemon.self || process == round.request.target)
                continue;
            if (refuses(entry.info.peers) || replaced)
                daemon.refusedSince.try_emplace(process, m_now);
            const auto since = daemon.refusedSince.find(process);
            if (since != daemon.refusedSince.end() && m_now - since->second >= m_timing.promise)
                gone.push_back(process);
        }
        if (!round.request.target.empty()) {
            auto voters = round.voters;
            voters.push_back(daemon.self);
            submit(daemon,
                Fleet::expire_member {
                    .process = round.request.target, .renewed = round.request.renewed, .backers = voters, .gone = gone });
            return;
        }
        const Fleet::member_info info { .process = daemon.self,
            .peers = { "127.0.0.1", static_cast<std::uint16_t>(daemon.index) },
            .dataCentre = { "dc1" } };
        submit(daemon,
            Fleet::join_member {
                .info = info, .version = round.request.version, .backers = round.voters, .gone = gone });
    }

    void fleet_simulation::expireMembers(sim_daemon& daemon)
    {
        if (daemon.voteRound || daemon.leases->isLogUnavailable(m_now) || m_now - daemon.lastExpire < expiryInterval || !mayAct(daemon))
            return;
        for (const auto& [process, entry] : daemon.state().members) {
            const bool refused = refuses(entry.info.peers);
            if (process == daemon.self || !(refused || daemon.leases->hasExpired(process, m_now)))
                continue;
            if (refused)
                daemon.refusedSince.try_emplace(process, m_now);
            daemon.lastExpire = m_now;
            const Membership::vote_request request {
                .target = process, .renewed = entry.renewed, .version = daemon.state().membershipVersion
            };
            if (daemon.voter->grantVote(request, daemon.state(), true, m_now)) {
                trace(daemon.self.value + " requests the removal of " + process.value);
                ++m_result.removals;
                openVoteRound(daemon, request);
            }
            return;
        }
    }

    void fleet_simulation::claimShards(sim_daemon& daemon)
    {
        if (!mayAct(daemon) || m_now - daemon.lastClaim < claimInterval)
            return;
        daemon.lastClaim = m_now;
        for (const auto& shard : Membership::shardsToClaim(daemon.state(), daemon.self))
            submit(daemon, Fleet::claim_shard { .shard = shard, .process = daemon.self });
        for (const auto& shard :
            Membership::shardsToRelease(daemon.state(), daemon.self, *daemon.leases, m_timing, m_now)) {
            const auto epoch = daemon.state().shards.at(shard).epoch;
            daemon.closedShards[shard] = epoch;
            daemon.ledgers.erase(shard);
            submit(daemon, Fleet::release_shard { .shard = shard, .process = daemon.self, .epoch = epoch });
        }
    }

    void fleet_simulation::requestPromises(sim_daemon& daemon)
    {
        const bool isDue = daemon.leases->isMember(daemon.state()) && daemon.leases->isLogUnavailable(m_now);
        if (!isDue || m_now - daemon.lastPromise < promiseInterval)
            return;
        daemon.lastPromise = m_now;
        daemon.promiseRoundStart = m_now;
        daemon.leases->beginPromiseRound(daemon.state(), m_now);
        const Membership::promise_request request { .asker = daemon.self,
            .version = daemon.state().membershipVersion,
            .applied = daemon.state().applied };
        if (daemon.voter->grantPromise(request, daemon.state(), daemon.leases->isLogUnavailable(m_now), m_now))
            daemon.leases->onPromiseGranted(daemon.self, daemon.state());
        for (const auto& [process, entry] : daemon.state().members) {
            if (process != daemon.self)
                send(daemon, entry.info.peers.port, promise_message { request });
        }
    }

    void fleet_simulation::reportPermits(sim_daemon& daemon)
    {
        if (!mayAct(daemon))
            return;
        for (const auto& team : teams) {
            const auto shard = Fleet::ledgerShard(team);
            const auto assignment = Fleet::holderOf(daemon.state(), shard);
            if (!assignment || !daemon.permits->needsReport(shard, assignment->epoch))
                continue;
            const auto index = daemonIndexOf(daemon, assignment->holder);
            if (index)
                send(daemon, *index, report_message { daemon.permits->makeReport(shard, assignment->epoch) });
        }
        if (m_now - daemon.lastPeakDecay >= peakDecayInterval) {
            daemon.lastPeakDecay = m_now;
            daemon.permits->decayPeaks();
        }
    }

    void fleet_simulation::runTasks(sim_daemon& daemon)
    {
        const bool canAct = mayAct(daemon);
        for (auto entry = daemon.tasks.begin(); entry != daemon.tasks.end();) {
            sim_task& task = m_tasks.at(*entry);
            if (canAct && !task.ended)
                task.leaseUntil = m_now + m_timing.taskLease;
            if (!task.ended) {
                ++entry;
                continue;
            }
            daemon.permits->release(task.team);
            m_tasks.erase(*entry);
            entry = daemon.tasks.erase(entry);
        }
        for (const auto& team : teams) {
            const auto waiting = static_cast<std::int64_t>(randomBelow(4)) - 1;
            const auto known = std::max<std::int64_t>(0, daemon.permits->running(team).value);
            // The demand changes at random; some waiting requests are withdrawn.
            daemon.permits->addWaiting(team, { waiting });
            if (chance(6))
                daemon.permits->addWaiting(team, { -waiting - known / 2 });
            if (!canAct || !daemon.permits->tryAcquire(team))
                continue;
            const std::string name = daemon.self.value + "." + std::to_string(m_nextTask++);
            m_tasks[name] = { .team = team, .owner = daemon.self, .leaseUntil = m_now + m_timing.taskLease };
            daemon.tasks.insert(name);
            ++m_result.tasksStarted;
            m_result.outageStarts += m_logDown ? 1 : 0;
        }
    }

    void fleet_simulation::endTasks()
    {
        for (auto entry = m_tasks.begin(); entry != m_tasks.end();) {
            sim_task& task = entry->second;
            if (m_now >= task.leaseUntil || chance(12))
                task.ended = true;
            const bool isOwned = std::ranges::any_of(
                m_daemons, [&entry](const sim_daemon& daemon) { return daemon.tasks.contains(entry->first); });
            entry = task.ended && !isOwned ? m_tasks.erase(entry) : std::next(entry);
        }
    }

    std::optional<std::size_t> fleet_simulation::daemonIndexOf(const sim_daemon& daemon, const Common::process_id& process) const
    {
        const auto found = daemon.state().members.find(process);
        if (found == daemon.state().members.end())
            return std::nullopt;
        return found->second.info.peers.port;
    }

    void fleet_simulation::send(const sim_daemon& from, std::size_t to, message_body body)
    {
        m_messages.push_back({ .from = from.index, .fromProcess = from.self, .to = to, .body = std::move(body) });
    }

    void fleet_simulation::receive(sim_daemon& daemon, const message& sent)
    {
        if (const auto* const ask = std::get_if<promise_message>(&sent.body)) {
            const bool granted
                = daemon.voter->grantPromise(ask->request, daemon.state(), daemon.leases->isLogUnavailable(m_now), m_now);
            send(daemon, sent.from, promise_reply { .roundStart = m_daemons[sent.from].promiseRoundStart, .granted = granted });
        } else if (const auto* const promised = std::get_if<promise_reply>(&sent.body)) {
            // Ignores replies to calls of an earlier round.
            if (promised->granted && promised->roundStart == daemon.promiseRoundStart)
                daemon.leases->onPromiseGranted(sent.fromProcess, daemon.state());
        } else if (const auto* const vote = std::get_if<vote_message>(&sent.body)) {
            const bool isExpired = vote->targetRefuses || daemon.leases->hasExpired(vote->request.target, m_now);
            const bool granted = daemon.voter->grantVote(vote->request, daemon.state(), isExpired, m_now);
            send(daemon, sent.from, vote_reply { .round = vote->round, .granted = granted });
        } else if (const auto* const voted = std::get_if<vote_reply>(&sent.body)) {
            if (voted->granted && daemon.voteRound && daemon.voteRound->number == voted->round)
                daemon.voteRound->voters.push_back(sent.fromProcess);
        } else if (const auto* const reported = std::get_if<report_message>(&sent.body)) {
            const auto ledger = daemon.ledgers.find(reported->report.shard);
            if (ledger == daemon.ledgers.end() || !mayAct(daemon))
                return;
            if (auto grant = ledger->second.onReport(reported->report, daemon.state(), m_now))
                send(daemon, sent.from, grant_message { std::move(*grant) });
        } else if (const auto* const granted = std::get_if<grant_message>(&sent.body)) {
            daemon.permits->onGrant(granted->grant);
        }
    }

    void fleet_simulation::check()
    {
        checkLimits();
        checkHolders();
    }

    void fleet_simulation::checkLimits()
    {
        for (const auto& team : teams) {
            const auto running = std::ranges::count_if(
                m_tasks, [&team](const auto& entry) { return entry.second.team == team && !entry.second.ended; });
            if (running > upperLimit)
                fail("team " + team.value + " runs " + std::to_string(running) + " tasks");
        }
    }

    void fleet_simulation::checkHolders()
    {
        std::map<Common::shard_id, Common::process_id> holders;
        for (const sim_daemon& daemon : m_daemons) {
            if (daemon.isDown || !mayAct(daemon))
                continue;
            for (const auto& [shard, assignment] : daemon.state().shards) {
                if (assignment.holder != daemon.self || isClosed(daemon, shard, assignment.epoch))
                    continue;
                const auto [known, isNew] = holders.try_emplace(shard, daemon.self);
                if (!isNew)
                    fail(shard.value + " is held by " + known->second.value + " and " + daemon.self.value + " at epoch "
                        + std::to_string(assignment.epoch.value) + ", whose state is up to offset "
                        + std::to_string(daemon.state().applied.value) + " of " + std::to_string(m_log.size()));
            }
        }
    }

    void fleet_simulation::clearFaults()
    {
        trace("all failures end");
        m_isFaultFree = true;
        m_logDown = false;
        m_delayedAppends.clear();
        for (sim_daemon& daemon : m_daemons) {
            daemon.isPaused = false;
            daemon.isCutFromLog = false;
            if (!daemon.isDown)
                continue;
            daemon.isDown = false;
            daemon.replica = std::make_unique<Fleet::replica>();
            daemon.commit = std::make_unique<PlatformLog::group_commit>();
            daemon.refusedSince.clear();
            daemon.knownMembers.clear();
            begin(daemon);
        }
    }

    void fleet_simulation::checkRecovery()
    {
        clearFaults();
        const instant deadline = m_now + recoveryTime;
        std::int64_t startedBefore = m_result.tasksStarted;
        while (m_now < deadline && m_result.violation.empty()) {
            step();
            if (m_now < deadline - recoveryTime / 4)
                startedBefore = m_result.tasksStarted;
        }
        for (const sim_daemon& daemon : m_daemons) {
            if (!mayAct(daemon))
                fail(daemon.self.value + " can't act after all failures have ended");
        }
        for (const auto& shard : Fleet::neededShards(m_daemons.front().state())) {
            if (!Fleet::holderOf(m_daemons.front().state(), shard))
                fail("nobody holds " + shard.value + " after all failures have ended");
        }
        if (m_result.tasksStarted == startedBefore)
            fail("no task starts after all failures have ended");
    }

}

explorer_result exploreFleet(const explorer_options& options)
{
    return fleet_simulation(options).run();
}

}
