#pragma once

#include "Records/RecordStore.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>

/// Timers that run as a test advances the clock.
struct manual_timers : Records::timer_service {
    void after(Common::millis delay, std::function<void()> action) override
    {
        due.emplace(clock + delay, std::move(action));
    }
    Common::instant now() const override { return clock; }

    void advance(Common::millis time)
    {
        const auto until = clock + time;
        while (!due.empty() && due.begin()->first <= until) {
            clock = std::max(clock, due.begin()->first);
            const auto action = std::move(due.begin()->second);
            due.erase(due.begin());
            action();
        }
        clock = std::max(clock, until);
    }

    Common::instant clock { std::chrono::seconds(1000) };
    std::multimap<Common::instant, std::function<void()>> due;
};

/// In-memory store that answers after a delay and simulates faults.
struct fake_store : Records::record_store {
    enum class simulated_fault {
        None,
        /// Refuses without executing the call.
        Busy,
        /// Neither executes nor answers.
        Silent,
        /// Executes the call but doesn't answer.
        AnswerLost
    };

    struct writer_state {
        std::int64_t epoch { 0 };
        std::int64_t sequence { -1 };
        std::map<std::int64_t, Records::append_result> answers;
    };

    struct partition {
        std::deque<Records::keyed_record> records;
        std::int64_t first { 0 };
        std::map<std::string, Records::keyed_record> newest;
        std::map<std::string, writer_state> writers;

        std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
    };

    explicit fake_store(manual_timers& owner)
        : timers(owner)
    {
    }

    void append(const Records::append_request& request, Common::millis timeout,
        std::function<void(Records::append_result)> handler) override
    {
        ++appends;
        if (isTooLong(request)) {
            ++tooLong;
            timers.after(delay, [handler] { handler({ .outcome = Records::append_outcome::Refused }); });
            return;
        }
        if (unwritable) {
            const bool isAnswered = *unwritable != Records::append_outcome::Unknown;
            timers.after(isAnswered ? delay : timeout, [handler, outcome = *unwritable] { handler({ .outcome = outcome }); });
            return;
        }
        if (silentPartitions.contains(request.partition)) {
            timers.after(timeout, [handler] { handler({ .outcome = Records::append_outcome::Unknown }); });
            return;
        }
        answer(
            timeout, handler, [this, request] { return store(request); },
            Records::append_result { .outcome = Records::append_outcome::Refused },
            Records::append_result { .outcome = Records::append_outcome::Unknown });
    }

    void read(const Records::read_request& request, Common::millis timeout,
        std::function<void(Records::read_result)> handler) override
    {
        ++reads;
        if (silentPartitions.contains(request.partition) || unreadable.contains(request.partition)) {
            timers.after(timeout, [handler] { handler({}); });
            return;
        }
        const bool isEmpty = partitions[request.partition].end() <= request.from.value;
        const auto wait = isEmpty && request.wait.count() > 0 ? request.wait : Common::millis(0);
        timers.after(wait, [this, request, timeout, handler] {
            const auto size = sizeOf(readNow(request).records);
            answer(
                timeout, handler,
                [this, request] {
                    auto result = readNow(request);
                    recordsRead[request.partition] += static_cast<int>(result.records.size());
                    bytesRead[request.partition] += sizeOf(result.records);
                    return result;
                },
                Records::read_result {}, Records::read_result {}, transferTime(size));
        });
    }

    void newest(const Records::topic_partition& topicPartition, const std::string& afterKey, Common::millis timeout,
        std::function<void(Records::newest_result)> handler) override
    {
        ++listings;
        if (silentPartitions.contains(topicPartition)) {
            timers.after(timeout, [handler] { handler({}); });
            return;
        }
        const auto listRecords = [this, topicPartition, afterKey] {
            Records::newest_result result { .isRead = true, .end = { partitions[topicPartition].end() } };
            for (const auto& [key, record] : partitions[topicPartition].newest) {
                if (key <= afterKey)
                    continue;
                if (result.records.size() == pageSize) {
                    result.hasMore = true;
                    break;
                }
                result.records.push_back(record);
            }
            return result;
        };
        const auto time = transferTime(sizeOf(listRecords().records));
        answer(timeout, handler, listRecords, Records::newest_result {}, Records::newest_result {}, time);
    }

    /// Appends as another writer would.
    void put(const Records::topic_partition& topicPartition, const std::string& key, const std::string& value)
    {
        store({ .partition = topicPartition, .records = { { .key = key, .value = value } } });
    }

    /// Drops all records except the newest of each key.
    void compact(const Records::topic_partition& topicPartition)
    {
        partitions[topicPartition].first = partitions[topicPartition].end();
        partitions[topicPartition].records.clear();
    }

    template <typename Handler, typename Act, typename Result>
    void answer(Common::millis timeout, Handler handler, Act act, Result refused, Result unanswered,
        Common::millis transfer = Common::millis(0))
    {
        const auto current = fault;
        if (current == simulated_fault::Silent) {
            timers.after(timeout, [handler, unanswered] { handler(unanswered); });
            return;
        }
        if (current == simulated_fault::Busy) {
            timers.after(delay, [handler, refused] { handler(refused); });
            return;
        }
        // An answer after the timeout is lost.
        const auto time = delay + transfer;
        const bool isAnswered = current != simulated_fault::AnswerLost && time <= timeout;
        if (!isAnswered)
            timers.after(timeout, [handler, unanswered] { handler(unanswered); });
        timers.after(time, [handler, act, isAnswered] {
            const auto result = act();
            if (isAnswered)
                handler(result);
        });
    }

    Records::append_result store(const Records::append_request& request)
    {
        auto& part = partitions[request.partition];
        Records::append_result result { .outcome = Records::append_outcome::Stored,
            .offset = { part.end() },
            .end = { part.end() } };
        if (request.position) {
            auto& writer = part.writers[request.position->writer];
            if (request.position->epoch < writer.epoch)
                return { .outcome = Records::append_outcome::Fenced };
            const bool isNewEpoch = request.position->epoch > writer.epoch;
            if (!isNewEpoch && writer.answers.contains(request.position->sequence))
                return writer.answers.at(request.position->sequence);
            if (!isNewEpoch && request.position->sequence != writer.sequence + 1)
                return { .outcome = Records::append_outcome::OutOfSequence };
        }
        if (request.expectedEnd && request.expectedEnd->value != part.end())
            return { .outcome = Records::append_outcome::EndMismatch, .end = { part.end() } };
        for (auto record : request.records) {
            record.offset = { part.end() };
            part.records.push_back(record);
            if (record.value.empty())
                part.newest.erase(record.key);
            else
                part.newest[record.key] = record;
        }
        result.end = { part.end() };
        if (request.position) {
            auto& writer = part.writers[request.position->writer];
            if (request.position->epoch > writer.epoch)
                writer.answers.clear();
            writer.epoch = request.position->epoch;
            writer.sequence = request.position->sequence;
            writer.answers[writer.sequence] = result;
        }
        return result;
    }

    Records::read_result readNow(const Records::read_request& request)
    {
        auto& part = partitions[request.partition];
        if (request.from.value < part.first)
            return { .outcome = Records::read_outcome::Gone };
        Records::read_result result { .outcome = Records::read_outcome::Read, .end = { part.end() }, .next = request.from };
        std::size_t size = 0;
        for (const auto& record : part.records) {
            if (record.offset < request.from)
                continue;
            size += sizeOf(record);
            if (size > request.maxBytes)
                break;
            result.records.push_back(record);
            result.next = { record.offset.value + 1 };
        }
        return result;
    }

    bool isTooLong(const Records::append_request& request) const
    {
        constexpr std::size_t framing = 5;
        std::size_t bytes = 0;
        for (const auto& record : request.records) {
            if (sizeOf(record) + framing > limits.recordBytes)
                return true;
            bytes += sizeOf(record) + framing;
        }
        return bytes > limits.appendBytes;
    }

    static std::size_t sizeOf(const Records::keyed_record& record) { return record.key.size() + record.value.size(); }

    template <typename RecordList>
    static std::size_t sizeOf(const RecordList& records)
    {
        std::size_t size = 0;
        for (const auto& record : records)
            size += sizeOf(record);
        return size;
    }

    Common::millis transferTime(std::size_t size) const
    {
        return Common::millis(bytesPerMilli > 0 ? static_cast<std::int64_t>(size / bytesPerMilli) : 0);
    }

    manual_timers& timers;
    simulated_fault fault { simulated_fault::None };
    Common::millis delay { 4 };
    std::size_t pageSize { 500 };
    /// Bandwidth of reads; 0 for no limit.
    std::size_t bytesPerMilli { 0 };
    std::map<Records::topic_partition, partition> partitions;
    /// Calls about these are neither executed nor answered.
    std::set<Records::topic_partition> silentPartitions;
    /// Reads of these aren't answered.
    std::set<Records::topic_partition> unreadable;
    Records::store_limits limits;
    /// Appends that were refused because they exceed the limits.
    int tooLong { 0 };
    int appends { 0 };
    int reads { 0 };
    /// Outcome of all appends; none is executed. Reads aren't affected.
    std::optional<Records::append_outcome> unwritable;
    /// Records that were returned to readers, by partition.
    std::map<Records::topic_partition, int> recordsRead;
    std::map<Records::topic_partition, std::size_t> bytesRead;
    int listings { 0 };
};
