#pragma once

#include "Common/Clock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Keyed records in the platform's store: the newest record of each key is kept, older ones for a while.
namespace Records {

/// A place in the store: records of one topic and partition have one order.
struct topic_part {
    std::string topic;
    int part { 0 };

    friend auto operator<=>(const topic_part&, const topic_part&) = default;
};

struct keyed_record {
    std::string key;
    /// Empty to drop the key.
    std::string value;
    /// Where it stands; only in records that were read.
    Common::log_offset offset;
};

/// Sequence of one writer. The store refuses lower epochs once it has seen a higher one.
struct writer_position {
    std::string writer;
    std::int64_t epoch { 0 };
    std::int64_t sequence { 0 };
};

struct append_request {
    topic_part where;
    std::vector<keyed_record> records;
    /// Append only if the partition ends there.
    std::optional<Common::log_offset> endsAt;
    std::optional<writer_position> position;
};

enum class append_outcome {
    Stored,
    /// The partition ends elsewhere; nothing was stored.
    OtherEnd,
    /// A writer with a higher epoch was seen; nothing was stored.
    Fenced,
    /// The sequence doesn't follow; nothing was stored.
    OutOfSequence,
    /// Nothing was stored; it may be tried again.
    Refused,
    /// No answer: it may be stored, or be stored later.
    Unknown
};

struct append_result {
    append_outcome outcome { append_outcome::Unknown };
    /// Of the first record stored.
    Common::log_offset offset;
    Common::log_offset end;
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
    /// Offset after the last record of this answer, well formed or not.
    Common::log_offset next;
};

struct newest_result {
    bool isRead { false };
    std::vector<keyed_record> records;
    bool hasMore { false };
    Common::log_offset end;
};

class record_store {
public:
    virtual ~record_store() = default;

    virtual void append(const append_request&, Common::millis timeout, std::function<void(append_result)>) = 0;
    /// Answers as soon as there is a record, or after `wait`.
    virtual void read(const topic_part&, Common::log_offset from, Common::millis wait, Common::millis timeout,
        std::function<void(read_result)>)
        = 0;
    /// One page of the newest records of all keys after `afterKey`. Pages are no snapshot.
    virtual void newest(
        const topic_part&, const std::string& afterKey, Common::millis timeout, std::function<void(newest_result)>)
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
