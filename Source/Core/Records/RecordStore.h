#pragma once

#include "Common/Clock.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Keyed records in the platform's store. It keeps the newest record of each key, and older ones for a limited time.
namespace Records {

/// Partition of a topic. Its records are totally ordered.
struct topic_partition {
    std::string topic;
    int index { 0 };

    friend auto operator<=>(const topic_partition&, const topic_partition&) = default;
};

struct keyed_record {
    std::string key;
    /// Empty to delete the key.
    std::string value;
    /// Set only in records that were read.
    Common::log_offset offset;
};

/// What one append may hold. The store refuses anything longer each time.
struct store_limits {
    /// Bytes of one record, with its key.
    std::size_t recordBytes { 262144 };
    /// Bytes of all records of one append, with their framing.
    std::size_t appendBytes { 2097152 };
};

/// Upper bound of the bytes that a record takes in an append; the platform frames each key and value.
inline std::size_t sizeInAppend(const keyed_record& record)
{
    constexpr std::size_t framing = 8;
    return record.key.size() + record.value.size() + framing;
}

/// Identifies an append of one writer, so that a retry is stored once. The store fences lower epochs once it has seen a
/// higher one.
struct writer_position {
    std::string writer;
    std::int64_t epoch { 0 };
    std::int64_t sequence { 0 };
};

struct append_request {
    topic_partition partition;
    std::vector<keyed_record> records;
    /// Append only if the partition ends at this offset.
    std::optional<Common::log_offset> expectedEnd;
    std::optional<writer_position> position;
};

enum class append_outcome {
    Stored,
    /// The partition ends at another offset; nothing was stored.
    EndMismatch,
    /// A writer with a higher epoch was seen; nothing was stored.
    Fenced,
    /// The sequence number isn't the next one; nothing was stored.
    OutOfSequence,
    /// Nothing was stored; it may be tried again.
    Refused,
    /// No answer: the records may be stored, now or later.
    Unknown
};

struct append_result {
    append_outcome outcome { append_outcome::Unknown };
    /// Offset of the first record stored.
    Common::log_offset offset;
    Common::log_offset end;
};

struct read_request {
    topic_partition partition;
    /// Offset of the first record that is wanted.
    Common::log_offset from;
    /// How long the store waits for a record while there is none.
    Common::millis wait { 0 };
    /// Longest answer. Records that don't fit are left for the next read.
    std::size_t maxBytes { 1024 * 1024 };
};

enum class read_outcome {
    Read,
    /// The wanted records are no longer kept.
    Gone,
    Failed
};

struct read_result {
    read_outcome outcome { read_outcome::Failed };
    std::vector<keyed_record> records;
    /// Offset after the last record of the partition.
    Common::log_offset end;
    /// Offset after the last record of this answer, malformed records included.
    Common::log_offset next;
    /// Refused because all instances together read too often.
    bool isOverLimit { false };
};

struct newest_result {
    bool isRead { false };
    std::vector<keyed_record> records;
    bool hasMore { false };
    Common::log_offset end;
    /// As in read_result.
    bool isOverLimit { false };
};

class record_store {
public:
    virtual ~record_store() = default;

    virtual void append(const append_request&, Common::millis timeout, std::function<void(append_result)>) = 0;
    /// Answers as soon as there is a record, or after the request's `wait`.
    virtual void read(const read_request&, Common::millis timeout, std::function<void(read_result)>) = 0;
    /// One page of the newest records of all keys after `afterKey`. The pages aren't a consistent snapshot.
    virtual void newest(
        const topic_partition&, const std::string& afterKey, Common::millis timeout, std::function<void(newest_result)>)
        = 0;
};

/// Timers for code that runs on the event loop.
class timer_service {
public:
    virtual ~timer_service() = default;

    virtual void after(Common::millis delay, std::function<void()> action) = 0;
    virtual Common::instant now() const = 0;
};

}
