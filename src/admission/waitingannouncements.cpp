#include "admission/waitingannouncements.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::admission {

namespace {

/** Interval between the messages to two peers. With a shorter one, several slots are often offered for one packet. */
constexpr std::chrono::milliseconds s_peerInterval {4};

/**
 * The budget allows one message in this interval in the long run. 14 messages per second are 1.3 KB/s; the offers that
 * they cause are not included.
 */
constexpr std::chrono::milliseconds s_budgetInterval {70};

/** Number of messages that may be sent at once if the budget is full. */
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
    std::erase_if(m_announced,
                  [&peer](const Announcement &announcement) { return announcement.peer.agent == peer.agent; });
    m_announced.push_back({peer, count, now});
    consumeBudget(now);
    m_earliest = now + (m_announced.size() >= m_peers.size() ? m_repetition : s_peerInterval);
    return peer;
}

void WaitingAnnouncements::countOffer(AgentId peer)
{
    for (Announcement &announcement : m_announced) {
        announcement.count -= announcement.peer.agent == peer && announcement.count > 0 ? 1 : 0;
    }
    std::erase_if(m_announced, [](const Announcement &announcement) { return announcement.count == 0; });
}

std::vector<protocol::Candidate> WaitingAnnouncements::takeOutdatedPeers(TimePoint now)
{
    std::vector<protocol::Candidate> peers;
    for (const Announcement &announcement : m_announced) {
        peers.push_back(announcement.peer);
        consumeBudget(now);
    }
    m_announced.clear();
    return peers;
}

bool WaitingAnnouncements::hasOutdatedPeers() const
{
    return !m_announced.empty();
}

void WaitingAnnouncements::consumeBudget(TimePoint now)
{
    m_budgetFull = std::max(m_budgetFull, now) + s_budgetInterval;
}

} // namespace samphireswitch::admission
