#pragma once

#include "Common/Clock.h"
#include "Fleet/Replica.h"

#include <optional>
#include <string>
#include <vector>

namespace PlatformLog {

enum class log_failure {
    None,
    /// Nothing was sent, or the service answered that it appended nothing.
    NotAppended,
    /// The record may or may not have been appended.
    MaybeAppended,
    /// The service refused the append because there were too many.
    Throttled,
    /// No complete answer to a read.
    NoAnswer
};

/// Answer to a read: the records from the requested offset on, as many as fit.
struct log_page {
    Common::log_offset firstKept;
    /// Offset that the next append will get.
    Common::log_offset end;
    std::vector<Fleet::stored_record> records;
};

/// Client of the platform's append-only log. One object serves one thread.
class log_service {
public:
    virtual ~log_service() = default;

    /// Appends one record and returns its offset. Empty on a failure; see `lastReason`.
    virtual std::optional<Common::log_offset> append(const std::string& record) = 0;

    /// Reads records from an offset on; waits at most `wait` for the first one. Empty on a failure.
    virtual std::optional<log_page> read(Common::log_offset from, Common::millis wait) = 0;

    virtual log_failure lastReason() const = 0;
};

}
