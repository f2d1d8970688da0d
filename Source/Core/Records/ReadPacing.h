#pragma once

#include "Records/RecordStore.h"

namespace Records {

struct read_pacing_options {
    /// Unique to each start of the process.
    std::string member;
    /// Reads that the store takes from all instances together, per second.
    double readsPerSecond { 2000 };
};

/// Answers the load pattern: so many instances that their reads together exceed the store's limit on calls. The store
/// then refuses reads of all of them, also the leader's, and each refused read is repeated soon.
/// The number of instances isn't known. Reads that are refused for their number while others are answered show it: the
/// instance then reads less often. Where the store answers or refuses everything, nothing changes.
class read_pacing {
public:
    explicit read_pacing(const read_pacing_options&);

    /// The store answered or refused a read at `now`.
    void note(bool isOverLimit, Common::instant now);
    /// What the leader had found before this process started. Has no effect after the first call.
    void begin(double stretch, Common::instant now);
    /// As found by this instance's own reads, also while it leads.
    double measuredStretch() const { return m_stretch; }
    /// The leader reads at its usual intervals.
    void setLeading(bool isLeading) { m_isLeading = isLeading; }
    /// Factor on the intervals of reads that only this instance's callers wait for; 1 to `maxStretch`.
    double stretch() const { return m_isLeading ? 1 : m_stretch; }
    /// Factor on the times of leader election: 1 on the instances that take over first.
    double patience() const { return isFirstCandidate() ? 1 : stretch(); }
    /// Whether this instance takes over at the usual times. All do until reads are refused, then a few, by a hash of the name.
    bool isFirstCandidate() const;
    /// Reads that were refused for their number since the start of the process.
    std::uint64_t refusedReads() const { return m_allRefused; }
    /// Delay before a read that was refused `refusals` times in a row is repeated, spread over instances.
    Common::millis retryDelay(Common::millis usual, int refusals) const;

    /// Keeps a state that a caller asks for below 1.5 s old, half of what the platform allows.
    static constexpr double maxStretch = 6;

private:
    void closeWindow(Common::instant now);

    read_pacing_options m_options;
    double m_turn;
    double m_stretch { 1 };
    bool m_isLeading { false };
    bool m_hasBegun { false };
    std::optional<Common::instant> m_windowBegan;
    int m_answered { 0 };
    int m_refused { 0 };
    std::uint64_t m_allRefused { 0 };
    /// Windows in a row in which some reads were answered and some refused.
    int m_crowdedWindows { 0 };
    Common::instant m_lastChange;
};

/// Notes the outcome of each read of a store.
class paced_store : public record_store {
public:
    paced_store(record_store& store, timer_service& timers, read_pacing& pacing)
        : m_store(store)
        , m_timers(timers)
        , m_pacing(pacing)
    {
    }

    void append(const append_request&, Common::millis timeout, std::function<void(append_result)>) override;
    void read(const read_request&, Common::millis timeout, std::function<void(read_result)>) override;
    void newest(const topic_partition&, const std::string& afterKey, Common::millis timeout,
        std::function<void(newest_result)>) override;

private:
    void note(bool isAnswered, bool isOverLimit, Common::instant began);

    record_store& m_store;
    timer_service& m_timers;
    read_pacing& m_pacing;
};

}
