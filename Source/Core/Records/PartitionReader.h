#pragma once

#include "Records/ReadPacing.h"

#include <map>
#include <memory>

namespace Records {

/// Receives the records of one partition, in order.
class record_sink {
public:
    virtual ~record_sink() = default;

    /// Earlier records are void; the newest record of each key follows.
    virtual void reset() = 0;
    virtual void apply(const keyed_record&) = 0;
    /// The records of one answer have been applied.
    virtual void batchApplied() { }
};

/// How much of a partition is read.
enum class partition_following {
    /// All records.
    Records,
    /// Only how far the partition reaches. Records are neither transferred nor applied, so this is cheap.
    End
};

struct partition_reader_options {
    topic_partition partition;
    /// Shortest time between two reads.
    Common::millis interval { 250 };
    /// How long a read waits at the store for a record.
    Common::millis wait { 1000 };
    /// Time that a read may take beyond its wait.
    Common::millis timeoutMargin { 1500 };
    /// Limit of the size of an answer: at first, and the bounds between which it is adapted.
    std::size_t firstBytes { 256 * 1024 };
    std::size_t minBytes { 16 * 1024 };
    std::size_t maxBytes { 1024 * 1024 };
    /// Longest timeout of a page of newest records, whose size can't be limited.
    Common::millis maxPageTimeout { 6000 };
    /// Null for the usual intervals.
    const read_pacing* pacing { nullptr };
    /// Leader election depends on the reads.
    bool isForElection { false };
};

/// Reads one partition: first the newest record of each key, then record by record. Starts over with the newest records
/// when the store no longer keeps the next one. A read without an answer is repeated with a smaller limit, and a page with
/// a longer timeout, so that a slow link delays a reader that is behind but doesn't stop it.
class partition_reader : public std::enable_shared_from_this<partition_reader> {
public:
    partition_reader(record_store&, timer_service&, const partition_reader_options&, record_sink&);

    void start();
    /// A shorter interval takes effect at once.
    void setInterval(Common::millis readInterval);
    /// Following the records again begins with the newest ones, as in start(). Following only the end has no effect while
    /// a refresh() is open.
    void setFollowing(partition_following);
    partition_following following() const { return m_following; }
    /// Whether reads wait at the store for records. Otherwise it is read at each interval.
    void setLongPolling(bool isLongPolling) { m_isLongPolling = isLongPolling; }
    /// Applies records that this process has stored from `first` on, in their order, so that they aren't read back.
    void applyStored(std::vector<keyed_record>, Common::log_offset first);
    /// Calls back once a read that began no earlier than this call has reached the end, or with false after `limit`.
    void refresh(Common::millis limit, std::function<void(bool)> action);
    /// Start of the latest read that reached the end of the partition. Empty before the first.
    std::optional<Common::instant> confirmedAt() const { return m_confirmedAt; }
    /// Offset after the last record applied; while only the end is followed, the end.
    Common::log_offset next() const { return m_next; }
    /// Whether the newest record of each key has been applied.
    bool isLoaded() const { return m_isLoaded; }
    /// Whether the end of the partition has been read, so that it can be followed from there.
    bool isEndKnown() const { return m_isLoaded || m_newestEnd; }

private:
    struct barrier {
        Common::instant since;
        std::function<void(bool)> action;
        bool isOver { false };
    };

    void startOver();
    void readPage();
    void onPage(const newest_result&, Common::instant began);
    /// Asks a store that takes long for a page whether it answers at all. A page that was requested during an outage is
    /// requested again when the outage is over, instead of at the page's timeout.
    void probeStore(std::uint64_t page);
    void onProbe(std::uint64_t page, bool isAnswered);
    void readNext();
    void readEnd();
    void onEnd(const read_result&, Common::instant began);
    read_request nextRequest(Common::millis wait) const;
    void adaptLimit(const read_result&, Common::instant began);
    void onRead(const read_result&, Common::instant began, bool isLoop);
    void apply(const keyed_record&);
    void applyAll(const read_result&);
    void applyContiguous();
    void confirm(Common::instant began);
    void delayNextRead();
    void retryLater();
    /// The interval, longer where many instances read.
    Common::millis pacedInterval() const;
    Common::millis pacedRetryDelay() const;
    void readForBarriers();

    record_store& m_store;
    timer_service& m_timers;
    partition_reader_options m_options;
    record_sink& m_sink;
    std::vector<keyed_record> m_newest;
    /// Batches that were stored after records that are still to be read, by the offset of their first record.
    std::map<Common::log_offset, std::vector<keyed_record>> m_storedAhead;
    /// End of the partition, and start of the read, of the first page.
    std::optional<Common::log_offset> m_newestEnd;
    Common::instant m_newestBegan;
    /// Timeout of the next page, and limit of the next read.
    Common::millis m_pageTimeout;
    std::size_t m_maxBytes;
    /// Counts the requests for pages, so that the answer to one that was given up has no effect.
    std::uint64_t m_pages { 0 };
    bool m_isPageOpen { false };
    /// The store didn't answer a probe, and no page was requested again because of that yet.
    bool m_wasSilent { false };
    bool m_mayRequestAgain { true };
    Common::log_offset m_next;
    bool m_isLoaded { false };
    partition_following m_following { partition_following::Records };
    /// Counts the changes of what is followed, so that answers to earlier reads have no effect.
    std::uint64_t m_loop { 0 };
    bool m_isLongPolling { true };
    bool m_isDelayed { false };
    /// Counts the delays, so that the timer of one that was cut short has no effect.
    std::uint64_t m_delays { 0 };
    bool m_isBarrierReadOpen { false };
    /// Reads in a row that were refused for their number.
    int m_refusals { 0 };
    std::optional<Common::instant> m_confirmedAt;
    std::vector<std::shared_ptr<barrier>> m_barriers;
};

}
