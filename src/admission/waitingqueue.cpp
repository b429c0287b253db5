#include "admission/waitingqueue.h"

namespace samphireswitch::admission {

WaitingQueue::WaitingQueue(std::uint64_t hashSeed)
    : m_positions(0, SeededFlowHash {hashSeed})
{
}

const ParkedPacket *WaitingQueue::find(const flow::FlowKey &key) const
{
    const auto found = m_positions.find(key);
    return found == m_positions.end() ? nullptr : &*found->second;
}

const ParkedPacket &WaitingQueue::front() const
{
    return m_packets.front();
}

void WaitingQueue::push(const ParkedPacket &packet)
{
    m_positions[packet.key] = m_packets.insert(m_packets.end(), packet);
}

void WaitingQueue::remove(const flow::FlowKey &key)
{
    const auto found = m_positions.find(key);
    if (found == m_positions.end()) {
        return;
    }
    m_packets.erase(found->second);
    m_positions.erase(found);
}

bool WaitingQueue::empty() const
{
    return m_packets.empty();
}

std::size_t WaitingQueue::size() const
{
    return m_packets.size();
}

} // namespace samphireswitch::admission
