#include "passthrough/returnablepackets.h"

#include <utility>

namespace samphireswitch::passthrough {

ReturnablePackets::ReturnablePackets(std::size_t capacity)
    : m_entries(capacity)
{
}

std::uint32_t ReturnablePackets::keep(HandedPacket packet, const flow::FlowKey &key)
{
    ++m_lastMark;
    if (m_lastMark == 0) {
        ++m_lastMark;
    }
    m_entries[m_lastMark % m_entries.size()] = {m_lastMark, key, std::move(packet)};
    return m_lastMark;
}

std::optional<HandedPacket> ReturnablePackets::take(std::uint32_t mark, const flow::FlowKey &key)
{
    Entry &entry = m_entries[mark % m_entries.size()];
    if (mark == 0 || entry.mark != mark || entry.key != key) {
        return std::nullopt;
    }
    entry.mark = 0;
    return std::move(entry.packet);
}

} // namespace samphireswitch::passthrough
