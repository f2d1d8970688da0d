#pragma once

#include "Records/PartitionReader.h"

namespace Records {

/// Readers of several partitions that are refreshed together.
class partition_reader_group {
public:
    explicit partition_reader_group(std::vector<std::shared_ptr<partition_reader>>);

    void setInterval(Common::millis);
    /// Calls back once all have reached the end by reads that began no earlier than this call, or with false.
    void refresh(Common::millis limit, const std::function<void(bool)>& action);
    bool isLoaded() const;
    /// All records that were stored before have been applied. Empty before all partitions were read.
    std::optional<Common::instant> confirmedAt() const;
    const std::vector<std::shared_ptr<partition_reader>>& readers() const { return m_readers; }

private:
    std::vector<std::shared_ptr<partition_reader>> m_readers;
};

}
