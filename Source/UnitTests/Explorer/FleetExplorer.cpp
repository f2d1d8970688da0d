#include "Explorer/FleetExplorer.h"

#include "Common/Hashing.h"
#include "Fleet/FleetCodec.h"
#include "Roster/ShardPlan.h"

#include <algorithm>
#include <array>

namespace Explorer {

namespace {

    using Common::instant;
    using Common::millis;

    const std::array<Common::team_id, 2> teams { Common::team_id { "day" }, Common::team_id { "evening" } };
    constexpr std::int64_t upperLimit = 5;
    constexpr std::size_t keptTrace = 80;
    /// Time in which a fleet without failures must be whole again.
    constexpr millis recoveryTime { 40'000 };
    constexpr millis joinEvery { 300 };
    constexpr millis claimEvery { 500 };
    constexpr millis promiseEvery { 500 };
    constexpr millis expireEvery { 400 };
    constexpr millis coolEvery { 500 };

    struct promise_ask {
        Roster::promise_request request;
    };
    struct promise_reply {
        instant roundBegan;
        bool given { false };
    };
    struct backing_ask {
        Roster::backing_request request;
        std::int64_t round { 0 };
        bool targetRefuses { false };
    };
    struct backing_reply {
        std::int64_t round { 0 };
        bool given { false };
    };
    struct report_message {
        Limits::permit_report report;
    };
    struct grant_message {
        Limits::permit_grant grant;
    };
    using message_body
        = std::variant<promise_ask, promise_reply, backing_ask, backing_reply, report_message, grant_message>;

    struct message {
        std::size_t from { 0 };
        Common::process_id fromProcess;
        std::size_t to { 0 };
        message_body body;
    };

    struct vote_round {
        std::int64_t number { 0 };
        Roster::backing_request request;
        std::vector<Common::process_id> given;
        instant closes;
    };

    struct sim_task {
        Common::team_id team;
        Common::process_id owner;
        instant leaseUntil;
        bool ended { false };
    };

    struct sim_daemon {
        std::size_t place { 0 };
        int life { 0 };
        Common::process_id self;
        std::unique_ptr<Fleet::replica> replica;
        std::unique_ptr<Roster::lease_keeper> keeper;
        std::unique_ptr<Roster::promise_book> promises;
        std::unique_ptr<Limits::permit_wallet> wallet;
        std::unique_ptr<PlatformLog::group_commit> commit;
        std::map<Common::shard_id, Limits::team_ledger> ledgers;
        /// Shards ended before their release, with the epoch that is over.
        std::map<Common::shard_id, Common::shard_epoch> closed;
        std::set<Common::process_id> knownMembers;
        std::map<Common::process_id, instant> refusedSince;
        std::optional<vote_round> votes;
        std::set<std::string> tasks;
        instant lifeBegan;
        instant lastLoss;
        instant lastJoin;
        instant lastClaim;
        instant lastPromise;
        instant lastExpire;
        instant lastCool;
        instant promiseRound;
        bool wasMember { false };
        bool isDown { false };
        bool isPaused { false };
        bool isCut { false };

        const Fleet::fleet_state& state() const { return replica->state(); }
    };

    bool isClosed(const sim_daemon& daemon, const Common::shard_id& shard, Common::shard_epoch epoch)
    {
        const auto closed = daemon.closed.find(shard);
        return closed != daemon.closed.end() && closed->second == epoch;
    }

    class fleet_world {
    public:
        explicit fleet_world(const explorer_options& options)
            : m_options(options)
            , m_random(options.seed)
        {
        }

        explorer_result run();

    private:
        void begin(sim_daemon&);
        void note(const std::string& event);
        void fail(const std::string& what);
        bool chance(int oneIn) { return std::uniform_int_distribution(0, oneIn - 1)(m_random) == 0; }
        std::size_t any(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random); }

        void appendRaw(const Fleet::envelope&);
        void publishTeams();
        void step();
        void disturb();
        void deliverSome();
        void tick(sim_daemon&);
        void readLog(sim_daemon&);
        void applyPage(sim_daemon&, instant began);
        void writeLog(sim_daemon&);
        void noteCommands(std::int64_t offset, const std::vector<Fleet::command>&);
        void renewAndJoin(sim_daemon&);
        void closeVotes(sim_daemon&);
        void openVotes(sim_daemon&, const Roster::backing_request&);
        void expire(sim_daemon&);
        void claim(sim_daemon&);
        void askPromises(sim_daemon&);
        void exchange(sim_daemon&);
        void work(sim_daemon&);
        void noteMembers(sim_daemon&);
        void noteLedgers(sim_daemon&);
        bool mayAct(const sim_daemon& daemon) const
        {
            return daemon.replica->hasState() && daemon.keeper->isMember(daemon.state()) && daemon.keeper->mayAct(m_now);
        }
        bool refuses(const Common::endpoint&) const;
        void send(const sim_daemon& from, std::size_t to, message_body);
        std::optional<std::size_t> placeOf(const sim_daemon&, const Common::process_id&) const;
        void receive(sim_daemon&, const message&);
        void submit(sim_daemon&, Fleet::command_body);
        void endTasks();
        void check();
        void checkLimits();
        void checkHolders();
        void checkRecovery();
        void heal();
        Common::command_id nextId() { return { "c" + std::to_string(m_nextId++) }; }

        explorer_options m_options;
        std::mt19937_64 m_random;
        Roster::timing m_timing;
        instant m_now { std::chrono::hours(1) };
        std::vector<sim_daemon> m_daemons;
        std::vector<std::string> m_log;
        std::vector<std::string> m_delayedAppends;
        bool m_logDown { false };
        bool m_calm { false };
        std::vector<message> m_messages;
        std::map<std::string, sim_task> m_tasks;
        std::map<std::int64_t, std::string> m_digests;
        std::int64_t m_nextId { 0 };
        std::int64_t m_nextRound { 0 };
        std::int64_t m_nextTask { 0 };
        explorer_result m_result;
    };

    void fleet_world::note(const std::string& event)
    {
        const auto since = std::chrono::duration_cast<millis>(m_now.time_since_epoch() - std::chrono::hours(1));
        m_result.trace.push_back(std::to_string(since.count()) + " ms: " + event);
        if (m_result.trace.size() > keptTrace)
            m_result.trace.pop_front();
    }

    void fleet_world::fail(const std::string& what)
    {
        if (m_result.violation.empty())
            m_result.violation = what;
        note("VIOLATION " + what);
    }

    void fleet_world::begin(sim_daemon& daemon)
    {
        ++daemon.life;
        daemon.self = { "d" + std::to_string(daemon.place) + "-" + std::to_string(daemon.life) };
        daemon.keeper = std::make_unique<Roster::lease_keeper>(daemon.self, m_timing, m_now);
        daemon.promises = std::make_unique<Roster::promise_book>(daemon.self, m_timing);
        daemon.wallet = std::make_unique<Limits::permit_wallet>(daemon.self);
        daemon.ledgers.clear();
        daemon.closed.clear();
        daemon.votes.reset();
        daemon.tasks.clear();
        daemon.lifeBegan = m_now;
        daemon.lastLoss = m_now;
        daemon.wasMember = false;
    }

    void fleet_world::appendRaw(const Fleet::envelope& record)
    {
        m_log.push_back(Fleet::encodeRecord(record));
    }

    void fleet_world::publishTeams()
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

    explorer_result fleet_world::run()
    {
        publishTeams();
        for (int place = 0; place < m_options.daemons; ++place) {
            sim_daemon daemon;
            daemon.place = static_cast<std::size_t>(place);
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

    void fleet_world::step()
    {
        m_now += millis(5 + static_cast<int>(any(60)));
        if (!m_calm)
            disturb();
        deliverSome();
        for (sim_daemon& daemon : m_daemons) {
            if (!daemon.isDown && !daemon.isPaused && !chance(4))
                tick(daemon);
        }
        endTasks();
        check();
    }

    void fleet_world::disturb()
    {
        sim_daemon& daemon = m_daemons[any(m_daemons.size())];
        if (chance(150)) {
            m_logDown = !m_logDown;
            note(m_logDown ? "log goes down" : "log comes back");
        }
        if (chance(120)) {
            daemon.isCut = !daemon.isCut;
            note(daemon.self.value + (daemon.isCut ? " cut from the log" : " reaches the log"));
        }
        if (chance(daemon.isPaused ? 30 : 120)) {
            daemon.isPaused = !daemon.isPaused;
            note(daemon.self.value + (daemon.isPaused ? " paused" : " goes on"));
        }
        if (daemon.isDown ? chance(40) : chance(250)) {
            note(daemon.self.value + (daemon.isDown ? " starts" : " killed"));
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

    void fleet_world::deliverSome()
    {
        std::vector<message> due;
        std::swap(due, m_messages);
        std::shuffle(due.begin(), due.end(), m_random);
        for (message& sent : due) {
            if (!m_calm && chance(12))
                continue;
            sim_daemon& target = m_daemons[sent.to];
            const bool later = target.isPaused || (!m_calm && chance(3));
            if (later) {
                m_messages.push_back(sent);
                continue;
            }
            if (!m_calm && chance(15))
                m_messages.push_back(sent);
            if (!target.isDown)
                receive(target, sent);
        }
    }

    void fleet_world::tick(sim_daemon& daemon)
    {
        readLog(daemon);
        if (daemon.replica->hasState()) {
            renewAndJoin(daemon);
            closeVotes(daemon);
            expire(daemon);
            claim(daemon);
            askPromises(daemon);
            exchange(daemon);
            work(daemon);
        }
        writeLog(daemon);
    }

    void fleet_world::readLog(sim_daemon& daemon)
    {
        if (m_logDown || daemon.isCut || (!m_calm && chance(5)))
            return;
        applyPage(daemon, m_now);
    }

    void fleet_world::applyPage(sim_daemon& daemon, instant began)
    {
        const auto before = daemon.state().applied;
        const auto end = static_cast<std::int64_t>(m_log.size());
        std::vector<Fleet::stored_record> page;
        for (std::int64_t offset = daemon.replica->next().value; offset < end && page.size() < 20; ++offset)
            page.push_back({ .offset = { offset }, .text = m_log[static_cast<std::size_t>(offset)] });
        daemon.replica->feed({ 0 }, page);
        daemon.keeper->onLogAnswered(m_now);
        if (daemon.replica->next().value >= end) {
            daemon.keeper->onViewConfirmed(began);
            daemon.commit->onEndOfLog(began, [&daemon](const Fleet::command& sent) {
                return !sent.id.empty() && Fleet::resultOf(daemon.state(), sent.id);
            });
        }
        if (daemon.state().applied < before)
            fail("the applied offset went back");
        daemon.keeper->onState(daemon.state(), m_now);
        const bool isMember = daemon.keeper->isMember(daemon.state());
        if (daemon.wasMember && !isMember) {
            note(daemon.self.value + " learns that it was removed");
            begin(daemon);
            daemon.keeper->onState(daemon.state(), m_now);
        }
        daemon.wasMember = isMember;
        noteMembers(daemon);
        noteLedgers(daemon);
        if (page.empty())
            return;
        const auto [known, isNew] = m_digests.try_emplace(
            daemon.state().applied.value, Common::contentDigest(Fleet::encodeState(daemon.state())));
        if (!isNew && known->second != Common::contentDigest(Fleet::encodeState(daemon.state())))
            fail("two daemons differ at offset " + std::to_string(known->first));
    }

    void fleet_world::noteMembers(sim_daemon& daemon)
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

    void fleet_world::noteLedgers(sim_daemon& daemon)
    {
        std::erase_if(daemon.ledgers, [&daemon](const auto& entry) {
            const auto holding = Fleet::holderOf(daemon.state(), entry.first);
            return !holding || holding->holder != daemon.self || holding->epoch != entry.second.epoch();
        });
        const millis hold = m_timing.taskLease + m_timing.margin;
        for (const auto& team : teams) {
            const auto shard = Fleet::ledgerShard(team);
            const auto holding = Fleet::holderOf(daemon.state(), shard);
            if (!holding || holding->holder != daemon.self || daemon.ledgers.contains(shard))
                continue;
            if (isClosed(daemon, shard, holding->epoch))
                continue;
            daemon.ledgers.emplace(shard,
                Limits::team_ledger({ .shard = shard,
                                        .epoch = holding->epoch,
                                        .taskHold = hold,
                                        .holdUntil = daemon.lastLoss + hold },
                    daemon.state()));
        }
    }

    void fleet_world::submit(sim_daemon& daemon, Fleet::command_body body)
    {
        daemon.commit->add({ .id = nextId(), .body = std::move(body) });
    }

    void fleet_world::noteCommands(std::int64_t offset, const std::vector<Fleet::command>& commands)
    {
        for (const auto& sent : commands) {
            std::string what = std::to_string(offset) + " " + std::string(Fleet::nameOf(sent.body));
            if (const auto* const removal = std::get_if<Fleet::expire_member>(&sent.body)) {
                what += " " + removal->process.value + " backed by";
                for (const auto& backer : removal->backers)
                    what += " " + backer.value;
                what += " without";
                for (const auto& process : removal->gone)
                    what += " " + process.value;
            }
            if (const auto* const claimed = std::get_if<Fleet::claim_shard>(&sent.body))
                what += " " + claimed->shard.value + " for " + claimed->process.value;
            if (const auto* const released = std::get_if<Fleet::release_shard>(&sent.body))
                what += " " + released->shard.value + " of " + released->process.value;
            if (!std::holds_alternative<Fleet::renew_member>(sent.body))
                note(what);
        }
    }

    void fleet_world::writeLog(sim_daemon& daemon)
    {
        const auto commands = daemon.commit->take();
        if (commands.empty())
            return;
        if (m_logDown || daemon.isCut) {
            daemon.commit->onNotTaken();
            return;
        }
        const std::string record = Fleet::encodeRecord({ .at = { 1 }, .by = daemon.self, .commands = commands });
        const bool isLost = !m_calm && chance(25);
        if (isLost) {
            if (chance(3))
                m_delayedAppends.push_back(record);
            else if (chance(2))
                m_log.push_back(record);
            daemon.commit->onMaybeTaken(m_now);
            return;
        }
        const auto offset = static_cast<std::int64_t>(m_log.size());
        m_log.push_back(record);
        noteCommands(offset, commands);
        daemon.commit->onTaken();
        daemon.keeper->onLogAnswered(m_now);
        const bool renews = std::ranges::any_of(commands, [&daemon](const Fleet::command& sent) {
            const auto* const renewal = std::get_if<Fleet::renew_member>(&sent.body);
            const auto* const join = std::get_if<Fleet::join_member>(&sent.body);
            return (renewal && renewal->process == daemon.self) || (join && join->info.process == daemon.self);
        });
        if (renews)
            daemon.keeper->onRenewalTaken({ offset }, m_now);
    }

    bool fleet_world::refuses(const Common::endpoint& address) const
    {
        return m_daemons[address.port].isDown;
    }

    void fleet_world::renewAndJoin(sim_daemon& daemon)
    {
        if (daemon.keeper->isMember(daemon.state())) {
            if (!daemon.keeper->shouldRenew(m_now))
                return;
            daemon.keeper->onRenewalAsked(m_now);
            if (!daemon.keeper->lacksLog(m_now) || daemon.commit->waiting() == 0)
                daemon.commit->add({ .id = {}, .body = Fleet::renew_member { daemon.self } });
            return;
        }
        const bool isSettled = m_now - daemon.lifeBegan >= m_timing.promise;
        const bool canJoin = isSettled && !daemon.keeper->lacksLog(m_now) && daemon.commit->waiting() == 0;
        if (!canJoin || daemon.votes || m_now - daemon.lastJoin < joinEvery)
            return;
        daemon.lastJoin = m_now;
        openVotes(daemon, { .version = daemon.state().membershipVersion });
    }

    void fleet_world::openVotes(sim_daemon& daemon, const Roster::backing_request& request)
    {
        daemon.votes = vote_round { .number = m_nextRound++, .request = request, .given = {}, .closes = m_now + millis(200) };
        for (const auto& [process, entry] : daemon.state().members) {
            if (process == daemon.self || process == request.target)
                continue;
            const auto target = daemon.state().members.find(request.target);
            const bool targetRefuses = target != daemon.state().members.end() && refuses(target->second.info.peers);
            send(daemon, entry.info.peers.port,
                backing_ask { .request = request, .round = daemon.votes->number, .targetRefuses = targetRefuses });
        }
    }

    void fleet_world::closeVotes(sim_daemon& daemon)
    {
        if (!daemon.votes || m_now < daemon.votes->closes)
            return;
        const vote_round round = *daemon.votes;
        daemon.votes.reset();
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
            auto backers = round.given;
            backers.push_back(daemon.self);
            submit(daemon,
                Fleet::expire_member {
                    .process = round.request.target, .renewed = round.request.renewed, .backers = backers, .gone = gone });
            return;
        }
        const Fleet::member_info info { .process = daemon.self,
            .peers = { "127.0.0.1", static_cast<std::uint16_t>(daemon.place) },
            .dataCentre = { "dc1" } };
        submit(daemon,
            Fleet::join_member {
                .info = info, .version = round.request.version, .backers = round.given, .gone = gone });
    }

    void fleet_world::expire(sim_daemon& daemon)
    {
        if (daemon.votes || daemon.keeper->lacksLog(m_now) || m_now - daemon.lastExpire < expireEvery || !mayAct(daemon))
            return;
        for (const auto& [process, entry] : daemon.state().members) {
            const bool refused = refuses(entry.info.peers);
            if (process == daemon.self || !(refused || daemon.keeper->hasLapsed(process, m_now)))
                continue;
            if (refused)
                daemon.refusedSince.try_emplace(process, m_now);
            daemon.lastExpire = m_now;
            const Roster::backing_request request {
                .target = process, .renewed = entry.renewed, .version = daemon.state().membershipVersion
            };
            if (daemon.promises->giveBacking(request, daemon.state(), true, m_now)) {
                note(daemon.self.value + " asks to remove " + process.value);
                ++m_result.removals;
                openVotes(daemon, request);
            }
            return;
        }
    }

    void fleet_world::claim(sim_daemon& daemon)
    {
        if (!mayAct(daemon) || m_now - daemon.lastClaim < claimEvery)
            return;
        daemon.lastClaim = m_now;
        for (const auto& shard : Roster::shardsToClaim(daemon.state(), daemon.self))
            submit(daemon, Fleet::claim_shard { .shard = shard, .process = daemon.self });
        for (const auto& shard :
            Roster::shardsToRelease(daemon.state(), daemon.self, *daemon.keeper, m_timing, m_now)) {
            const auto epoch = daemon.state().shards.at(shard).epoch;
            daemon.closed[shard] = epoch;
            daemon.ledgers.erase(shard);
            submit(daemon, Fleet::release_shard { .shard = shard, .process = daemon.self, .epoch = epoch });
        }
    }

    void fleet_world::askPromises(sim_daemon& daemon)
    {
        const bool isDue = daemon.keeper->isMember(daemon.state()) && daemon.keeper->lacksLog(m_now);
        if (!isDue || m_now - daemon.lastPromise < promiseEvery)
            return;
        daemon.lastPromise = m_now;
        daemon.promiseRound = m_now;
        daemon.keeper->beginPromiseRound(daemon.state(), m_now);
        const Roster::promise_request request { .asker = daemon.self,
            .version = daemon.state().membershipVersion,
            .applied = daemon.state().applied };
        if (daemon.promises->givePromise(request, daemon.state(), daemon.keeper->lacksLog(m_now), m_now))
            daemon.keeper->onPromiseGiven(daemon.self, daemon.state());
        for (const auto& [process, entry] : daemon.state().members) {
            if (process != daemon.self)
                send(daemon, entry.info.peers.port, promise_ask { request });
        }
    }

    void fleet_world::exchange(sim_daemon& daemon)
    {
        if (!mayAct(daemon))
            return;
        for (const auto& team : teams) {
            const auto shard = Fleet::ledgerShard(team);
            const auto holding = Fleet::holderOf(daemon.state(), shard);
            if (!holding || !daemon.wallet->wantsExchange(shard, holding->epoch))
                continue;
            const auto place = placeOf(daemon, holding->holder);
            if (place)
                send(daemon, *place, report_message { daemon.wallet->makeReport(shard, holding->epoch) });
        }
        if (m_now - daemon.lastCool >= coolEvery) {
            daemon.lastCool = m_now;
            daemon.wallet->cool();
        }
    }

    void fleet_world::work(sim_daemon& daemon)
    {
        const bool acts = mayAct(daemon);
        for (auto entry = daemon.tasks.begin(); entry != daemon.tasks.end();) {
            sim_task& task = m_tasks.at(*entry);
            if (acts && !task.ended)
                task.leaseUntil = m_now + m_timing.taskLease;
            if (!task.ended) {
                ++entry;
                continue;
            }
            daemon.wallet->giveBack(task.team);
            m_tasks.erase(*entry);
            entry = daemon.tasks.erase(entry);
        }
        for (const auto& team : teams) {
            const auto waiting = static_cast<std::int64_t>(any(4)) - 1;
            const auto known = std::max<std::int64_t>(0, daemon.wallet->running(team).value);
            // The demand changes at random; what isn't needed any more is taken back.
            daemon.wallet->addWaiting(team, { waiting });
            if (chance(6))
                daemon.wallet->addWaiting(team, { -waiting - known / 2 });
            if (!acts || !daemon.wallet->tryTake(team))
                continue;
            const std::string name = daemon.self.value + "." + std::to_string(m_nextTask++);
            m_tasks[name] = { .team = team, .owner = daemon.self, .leaseUntil = m_now + m_timing.taskLease };
            daemon.tasks.insert(name);
            ++m_result.tasksStarted;
            m_result.outageStarts += m_logDown ? 1 : 0;
        }
    }

    void fleet_world::endTasks()
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

    std::optional<std::size_t> fleet_world::placeOf(const sim_daemon& daemon, const Common::process_id& process) const
    {
        const auto found = daemon.state().members.find(process);
        if (found == daemon.state().members.end())
            return std::nullopt;
        return found->second.info.peers.port;
    }

    void fleet_world::send(const sim_daemon& from, std::size_t to, message_body body)
    {
        m_messages.push_back({ .from = from.place, .fromProcess = from.self, .to = to, .body = std::move(body) });
    }

    void fleet_world::receive(sim_daemon& daemon, const message& sent)
    {
        if (const auto* const ask = std::get_if<promise_ask>(&sent.body)) {
            const bool given
                = daemon.promises->givePromise(ask->request, daemon.state(), daemon.keeper->lacksLog(m_now), m_now);
            send(daemon, sent.from, promise_reply { .roundBegan = m_daemons[sent.from].promiseRound, .given = given });
        } else if (const auto* const promised = std::get_if<promise_reply>(&sent.body)) {
            // Answers belong to their call; one of an earlier round reaches nobody.
            if (promised->given && promised->roundBegan == daemon.promiseRound)
                daemon.keeper->onPromiseGiven(sent.fromProcess, daemon.state());
        } else if (const auto* const back = std::get_if<backing_ask>(&sent.body)) {
            const bool isLapsed = back->targetRefuses || daemon.keeper->hasLapsed(back->request.target, m_now);
            const bool given = daemon.promises->giveBacking(back->request, daemon.state(), isLapsed, m_now);
            send(daemon, sent.from, backing_reply { .round = back->round, .given = given });
        } else if (const auto* const backed = std::get_if<backing_reply>(&sent.body)) {
            if (backed->given && daemon.votes && daemon.votes->number == backed->round)
                daemon.votes->given.push_back(sent.fromProcess);
        } else if (const auto* const reported = std::get_if<report_message>(&sent.body)) {
            const auto ledger = daemon.ledgers.find(reported->report.shard);
            if (ledger == daemon.ledgers.end() || !mayAct(daemon))
                return;
            if (auto grant = ledger->second.onReport(reported->report, daemon.state(), m_now))
                send(daemon, sent.from, grant_message { std::move(*grant) });
        } else if (const auto* const granted = std::get_if<grant_message>(&sent.body)) {
            daemon.wallet->onGrant(granted->grant);
        }
    }

    void fleet_world::check()
    {
        checkLimits();
        checkHolders();
    }

    void fleet_world::checkLimits()
    {
        for (const auto& team : teams) {
            const auto running = std::ranges::count_if(
                m_tasks, [&team](const auto& entry) { return entry.second.team == team && !entry.second.ended; });
            if (running > upperLimit)
                fail("team " + team.value + " runs " + std::to_string(running) + " tasks");
        }
    }

    void fleet_world::checkHolders()
    {
        std::map<Common::shard_id, Common::process_id> holders;
        for (const sim_daemon& daemon : m_daemons) {
            if (daemon.isDown || !mayAct(daemon))
                continue;
            for (const auto& [shard, holding] : daemon.state().shards) {
                if (holding.holder != daemon.self || isClosed(daemon, shard, holding.epoch))
                    continue;
                const auto [known, isNew] = holders.try_emplace(shard, daemon.self);
                if (!isNew)
                    fail(shard.value + " is held by " + known->second.value + " and " + daemon.self.value + " at epoch "
                        + std::to_string(holding.epoch.value) + " by a view up to "
                        + std::to_string(daemon.state().applied.value) + " of " + std::to_string(m_log.size()));
            }
        }
    }

    void fleet_world::heal()
    {
        note("all failures end");
        m_calm = true;
        m_logDown = false;
        m_delayedAppends.clear();
        for (sim_daemon& daemon : m_daemons) {
            daemon.isPaused = false;
            daemon.isCut = false;
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

    void fleet_world::checkRecovery()
    {
        heal();
        const instant deadline = m_now + recoveryTime;
        std::int64_t startedBefore = m_result.tasksStarted;
        while (m_now < deadline && m_result.violation.empty()) {
            step();
            if (m_now < deadline - recoveryTime / 4)
                startedBefore = m_result.tasksStarted;
        }
        for (const sim_daemon& daemon : m_daemons) {
            if (!mayAct(daemon))
                fail(daemon.self.value + " isn't back after all failures have ended");
        }
        for (const auto& shard : Fleet::neededShards(m_daemons.front().state())) {
            if (!Fleet::holderOf(m_daemons.front().state(), shard))
                fail("nobody holds " + shard.value + " after all failures have ended");
        }
        if (m_result.tasksStarted == startedBefore)
            fail("nothing starts after all failures have ended");
    }

}

explorer_result exploreFleet(const explorer_options& options)
{
    return fleet_world(options).run();
}

}
