#include "admission/waitingannouncements.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::admission {

namespace {

/** Time between the messages to two peers. With less, one waiting packet is often offered several slots. */
constexpr std::chrono::milliseconds s_step {4};

/** Long-term interval of messages, and how many may be sent at once. 14 messages per second are 1.3 KB/s; offers come
 * on top. */
constexpr std::chrono::milliseconds s_budgetInterval {70};
constexpr int s_burst = 20;

} // namespace

WaitingAnnouncements::WaitingAnnouncements(std::chrono::nanoseconds repetition)
    : m_repetition(repetition)
{
}

void WaitingAnnouncements::setPeers(std::vector<protocol::Candidate> peers)
{
    m_peers = std::move(peers);
    m_next = 0;
}

bool WaitingAnnouncements::isDue(TimePoint now) const
{
    return !m_peers.empty() && now >= nextTime();
}

TimePoint WaitingAnnouncements::nextTime() const
{
    return std::max(m_earliest, m_budgetFull - s_burst * s_budgetInterval);
}

protocol::Candidate WaitingAnnouncements::takeNext(std::uint32_t count, TimePoint now)
{
    const protocol::Candidate peer = m_peers[m_next];
    m_next = (m_next + 1) % m_peers.size();
    std::erase_if(m_told, [&peer](const Told &told) { return told.peer.agent == peer.agent; });
    m_told.push_back({peer, count, now});
    spend(now);
    m_earliest = now + (m_told.size() >= m_peers.size() ? m_repetition : s_step);
    return peer;
}

void WaitingAnnouncements::countOffer(AgentId peer)
{
    for (Told &told : m_told) {
        told.count -= told.peer.agent == peer && told.count > 0 ? 1 : 0;
    }
    std::erase_if(m_told, [](const Told &told) { return told.count == 0; });
}

std::vector<protocol::Candidate> WaitingAnnouncements::takeOutdated(TimePoint now)
{
    std::vector<protocol::Candidate> peers;
    for (const Told &told : m_told) {
        peers.push_back(told.peer);
        spend(now);
    }
    m_told.clear();
    return peers;
}

bool WaitingAnnouncements::hasOutdated() const
{
    return !m_told.empty();
}

void WaitingAnnouncements::spend(TimePoint now)
{
    m_budgetFull = std::max(m_budgetFull, now) + s_budgetInterval;
}

} // namespace samphireswitch::admission
