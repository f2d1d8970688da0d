#include "Station/HolderOffice.h"

#include "Common/Logging.h"

#include <utility>

namespace Station {

namespace {

    /// Shortest time between reads of the intake by the holder.
    constexpr Common::millis holderGap { 20 };
    /// How long a new holder waits for the store before it gives its seat up.
    constexpr Common::millis tenurePatience { 2000 };
    constexpr Common::millis releaseTimeout { 300 };
    /// A seat isn't released when the manager of instances doesn't answer for so long.
    constexpr Common::millis releasePatience { 500 };
    constexpr Common::millis releasePoll { 20 };
    constexpr auto holderWriter = "holder";

}

holder_office::holder_office(const office_parts& parts, const office_options& options)
    : m_parts(parts)
    , m_options(options)
    , m_seat(std::make_shared<holder_seat>(parts.store, parts.timers,
          seat_options { .member = options.member, .progressTopic = options.progressTopic, .writer = holderWriter },
          parts.progress, parts.progressFeed))
{
}

holder_office::~holder_office()
{
    if (m_run)
        m_run->stop();
}

void holder_office::start()
{
    m_seat->start([this](const won_seat& won) { beginTenure(won); });
}

void holder_office::retire()
{
    m_seat->leave();
    endTenure();
}

void holder_office::beginTenure(const won_seat& won)
{
    m_parts.intake.setGap(holderGap);
    m_run = std::make_shared<holder_run>(holder_parts { .store = m_parts.store,
                                             .timers = m_parts.timers,
                                             .workers = m_parts.workers,
                                             .instances = m_parts.instances,
                                             .operatorFormat = m_parts.operatorFormat,
                                             .book = m_parts.book,
                                             .seat = *m_seat,
                                             .progress = m_parts.progressFeed,
                                             .figures = m_parts.figures },
        holder_tenure { .token = { won.token },
            .number = won.number,
            .progressTopic = m_options.progressTopic,
            .statusTopic = m_options.statusTopic,
            .writer = holderWriter,
            .stopTime = m_options.stopTime },
        [this] { endTenure(); });
    m_run->open();
    // Workers and jobs that an earlier holder dealt with must be known before anything is started.
    m_parts.workerList.refresh(tenurePatience, [this, run = m_run](bool isRead) { readJobs(run, isRead); });
}

void holder_office::readJobs(const std::shared_ptr<holder_run>& run, bool areWorkersRead)
{
    m_parts.intake.refresh(tenurePatience, [this, run, areWorkersRead](bool isRead) {
        if (run != m_run)
            return;
        const bool isConfirmed = m_seat->standing().isConfirmed(m_parts.timers.now());
        if (areWorkersRead && isRead && isConfirmed && m_rules)
            fill(*run);
        else
            endTenure();
    });
}

void holder_office::fill(holder_run& run)
{
    run.setRules(*m_rules);
    run.setEvacuated(m_evacuated);
    run.setWaves(m_waves);
    for (const auto& [id, worker] : m_workers)
        run.workerListed(worker.entry, worker.seenAt);
    run.start(m_parts.progressFeed.waves());
}

void holder_office::endTenure()
{
    const auto run = std::exchange(m_run, nullptr);
    const bool isFullyNoted = run && run->isFullyNoted();
    if (run)
        run->stop();
    m_parts.intake.setGap(intakeGap);
    m_seat->vacate();
    if (isFullyNoted)
        release(run, m_parts.timers.now() + releasePatience);
}

void holder_office::release(const std::shared_ptr<holder_run>& run, Common::instant until)
{
    // What the manager has yet to carry out would end tasks that the next holder places there.
    if (run->hasOpenOrders()) {
        if (m_parts.timers.now() < until)
            m_parts.timers.after(releasePoll, [this, run, until] { release(run, until); });
        return;
    }
    Common::writeEvent(Common::log_level::Info, Common::log_category::Roster, "seat_released",
        { { "number", std::to_string(run->number()) } });
    // The next holder needn't wait for workers that don't answer it.
    const Records::append_request release { .where = m_options.progressTopic,
        .records = { releaseRecord(run->number()) } };
    m_parts.store.append(release, releaseTimeout, [](const auto&) {});
}

void holder_office::setRules(const Rules::fleet_rules& rules)
{
    m_rules = rules;
    if (m_run)
        m_run->setRules(rules);
}

void holder_office::setEvacuated(const std::set<Common::data_centre_id>& zones)
{
    m_evacuated = zones;
    if (m_run)
        m_run->setEvacuated(zones);
}

void holder_office::setWaves(const std::map<std::int64_t, Rules::upkeep_wave>& waves)
{
    m_waves = waves;
    if (m_run)
        m_run->setWaves(waves);
}

void holder_office::workerListed(const Dispatch::worker_entry& worker)
{
    auto& known = m_workers.try_emplace(worker.id, registered_worker { .seenAt = m_parts.timers.now() }).first->second;
    known.entry = worker;
    if (m_run)
        m_run->workerListed(worker, known.seenAt);
}

void holder_office::workerUnlisted(const Common::worker_id& id)
{
    m_workers.erase(id);
    if (m_run)
        m_run->workerUnlisted(id);
}

void holder_office::jobAccepted(const Common::job_id& id)
{
    if (m_run)
        m_run->jobAccepted(id);
}

void holder_office::jobCancelled(const Common::job_id& id)
{
    if (m_run)
        m_run->jobCancelled(id);
}

}
