#include "Records/PartitionReaderGroup.h"

#include <algorithm>

namespace Records {

partition_reader_group::partition_reader_group(std::vector<std::shared_ptr<partition_reader>> readers)
    : m_readers(std::move(readers))
{
}

void partition_reader_group::setInterval(Common::millis readInterval)
{
    for (const auto& reader : m_readers)
        reader->setInterval(readInterval);
}

void partition_reader_group::refresh(Common::millis limit, const std::function<void(bool)>& action)
{
    struct round {
        std::size_t open;
        bool isRead { true };
    };
    const auto state = std::make_shared<round>(round { .open = m_readers.size() });
    for (const auto& reader : m_readers) {
        reader->refresh(limit, [state, action](bool isRead) {
            state->isRead = state->isRead && isRead;
            if (--state->open == 0)
                action(state->isRead);
        });
    }
}

std::optional<Common::instant> partition_reader_group::confirmedAt() const
{
    std::optional<Common::instant> earliest;
    for (const auto& reader : m_readers) {
        if (!reader->confirmedAt())
            return std::nullopt;
        earliest = earliest ? std::min(*earliest, *reader->confirmedAt()) : *reader->confirmedAt();
    }
    return earliest;
}

bool partition_reader_group::isLoaded() const
{
    return std::all_of(
        m_readers.begin(), m_readers.end(), [](const auto& reader) { return reader->isLoaded(); });
}

}
