#include "admission/peerbacklogs.h"

#include <algorithm>

namespace samphireswitch::admission {

namespace {

/**
 * Largest number of peers that are recorded. It exceeds the number of hosts of a service, and bounds the memory that
 * wrong messages can take.
 */
constexpr std::size_t s_maximumPeers = 4 * protocol::s_maximumChainLength;

} // namespace

PeerBacklogs::PeerBacklogs(std::chrono::nanoseconds validity)
    : m_validity(validity)
{
}

void PeerBacklogs::update(const protocol::Waiting &message, TimePoint now)
{
    clear(message.sender.agent);
    if (message.count == 0 || m_peers.size() >= s_maximumPeers) {
        return;
    }
    m_peers.push_back({message.sender, message.count, now - message.oldestAge, now});
}

void PeerBacklogs::countOffer(AgentId peer)
{
    const auto found =
        std::find_if(m_peers.begin(), m_peers.end(), [peer](const Peer &entry) { return entry.agent.agent == peer; });
    if (found == m_peers.end()) {
        return;
    }
    // The packets of the peer are assumed to have been parked at equal intervals between the oldest one and the last
    // announcement.
    const auto spacing = (found->lastUpdate - found->oldestSince) / found->count;
    found->oldestSince += spacing;
    --found->count;
    if (found->count == 0) {
        m_peers.erase(found);
    }
}

void PeerBacklogs::clear(AgentId peer)
{
    std::erase_if(m_peers, [peer](const Peer &entry) { return entry.agent.agent == peer; });
}

void PeerBacklogs::removeExpired(TimePoint now)
{
    std::erase_if(m_peers, [this, now](const Peer &entry) { return now - entry.lastUpdate >= m_validity; });
}

const PeerBacklogs::Peer *PeerBacklogs::oldest() const
{
    const auto found = std::min_element(m_peers.begin(), m_peers.end(), [](const Peer &left, const Peer &right) {
        return left.oldestSince < right.oldestSince;
    });
    return found == m_peers.end() ? nullptr : &*found;
}

std::uint32_t PeerBacklogs::total() const
{
    std::uint32_t total = 0;
    for (const Peer &peer : m_peers) {
        total += peer.count;
    }
    return total;
}

} // namespace samphireswitch::admission
