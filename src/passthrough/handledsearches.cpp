#include "passthrough/handledsearches.h"

#include "base/hash.h"

namespace samphireswitch::passthrough {

HandledSearches::HandledSearches(std::size_t capacity)
    : m_entries(capacity)
{
}

bool HandledSearches::insert(std::uint64_t search, Turn turn, TimePoint now)
{
    const std::uint64_t key = mixHash(search, static_cast<std::uint64_t>(turn));
    Entry &entry = m_entries[key % m_entries.size()];
    if (entry.turn == key && now - entry.handledAt < s_retentionTime) {
        return false;
    }
    entry = {key, now};
    return true;
}

} // namespace samphireswitch::passthrough
