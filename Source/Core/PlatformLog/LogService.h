#pragma once

#include "Common/Clock.h"
#include "Fleet/Replica.h"

#include <optional>
#include <string>
#include <vector>

namespace PlatformLog {

enum class log_failure {
    None,
    /// Nothing was sent, or the service said that it took nothing.
    NotTaken,
    /// The record may or may not have been taken.
    MaybeTaken,
    /// The service refused because too many appends came in.
    TooMany,
    /// No whole answer to a read.
    NoAnswer
};

/// Answer to a read: the records from the asked offset on, as many as fitted.
struct log_page {
    Common::log_offset firstKept;
    /// Offset that the next append will get.
    Common::log_offset end;
    std::vector<Fleet::stored_record> records;
};

/// The platform's append-only log. One object serves one thread.
class log_service {
public:
    virtual ~log_service() = default;

    /// Appends one record and returns its offset. Empty on a failure; see `lastReason`.
    virtual std::optional<Common::log_offset> append(const std::string& record) = 0;

    /// Reads from an offset on, waiting at most `wait` for a first record. Empty on a failure.
    virtual std::optional<log_page> read(Common::log_offset from, Common::millis wait) = 0;

    virtual log_failure lastReason() const = 0;
};

}
