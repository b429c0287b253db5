#include "passthrough/locationannouncer.h"

#include "routing/candidatechain.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::passthrough {

LocationAnnouncer::LocationAnnouncer(const protocol::Candidate &self, const LocationAnnouncerSettings &settings)
    : m_self(self)
    , m_settings(settings)
{
}

void LocationAnnouncer::setPeers(std::vector<Peer> peers)
{
    std::erase_if(peers, [this](const Peer &peer) { return peer.candidate.agent == m_self.agent; });
    std::ranges::sort(peers, {}, [](const Peer &peer) { return peer.candidate.agent; });
    if (peers == m_peers) {
        return;
    }
    m_peers = std::move(peers);
    m_candidates.clear();
    for (const Peer &peer : m_peers) {
        if (!peer.isStopping) {
            m_candidates.push_back(peer.candidate);
        }
    }
    m_peersChanged = true;
}

void LocationAnnouncer::add(const protocol::LocatedFlow &located)
{
    m_newFlows.push_back(located);
}

void LocationAnnouncer::requestRecords()
{
    m_requestsRecords = true;
}

void LocationAnnouncer::renewRequests()
{
    m_requestsRecords = true;
    m_requests.clear();
}

void LocationAnnouncer::answered(const Endpoint &sender)
{
    const auto found = m_requests.find(sender);
    if (found != m_requests.end()) {
        found->second.isAnswered = true;
    }
}

std::vector<LocationMessage> LocationAnnouncer::answerRequest(const protocol::Candidate &owner,
                                                              const std::vector<protocol::LocatedFlow> &flows) const
{
    std::vector<LocationMessage> messages;
    appendRecords(owner, owner.endpoint, flows, messages);
    return messages;
}

void LocationAnnouncer::restarted(AgentId agent)
{
    for (auto &[key, announced] : m_flows) {
        std::erase_if(announced.informed, [agent](const Peer &peer) { return peer.candidate.agent == agent; });
    }
    m_peersChanged = true;
}

std::vector<LocationMessage> LocationAnnouncer::handOver(const std::vector<protocol::LocationRecords> &records) const
{
    std::vector<LocationMessage> messages;
    for (const protocol::LocationRecords &ofOwner : records) {
        Batches batches;
        for (const protocol::LocatedFlow &located : ofOwner.flows) {
            for (const Peer &holder : holdersOf(located.key, ofOwner.owner.agent)) {
                batches[holder.candidate.endpoint].push_back(located);
            }
        }
        appendRecords(ofOwner.owner, batches, messages);
    }
    return messages;
}

std::vector<LocationMessage> LocationAnnouncer::takeDue(TimePoint now,
                                                        const std::function<bool(const flow::FlowKey &)> &isOpen)
{
    std::vector<LocationMessage> messages;
    if (now < m_nextBatch) {
        return messages;
    }
    m_nextBatch = now + m_settings.batchInterval;
    if (now >= m_nextRefresh) {
        m_nextRefresh = now + m_settings.refreshInterval;
        for (auto &[key, announced] : m_flows) {
            announced.informed.clear();
        }
        m_peersChanged = true;
    }
    Batches batches;
    announceNew(isOpen, batches);
    if (std::exchange(m_peersChanged, false)) {
        announceAll(isOpen, batches);
    }
    appendRecords(m_self, batches, messages);
    if (m_requestsRecords && now >= m_nextRequest) {
        m_nextRequest = now + m_settings.requestInterval;
        appendRequests(messages);
    }
    return messages;
}

std::vector<protocol::LocatedFlow>
LocationAnnouncer::openFlows(const std::function<bool(const flow::FlowKey &)> &isOpen) const
{
    std::vector<protocol::LocatedFlow> flows;
    for (const auto &[key, announced] : m_flows) {
        if (isOpen(key)) {
            flows.push_back({key, announced.sequenceNumber});
        }
    }
    return flows;
}

std::size_t LocationAnnouncer::size() const
{
    return m_flows.size();
}

std::vector<Peer> LocationAnnouncer::holdersOf(const flow::FlowKey &key, AgentId owner) const
{
    protocol::CandidateChain ranked;
    routing::appendRanked(key, m_candidates, routing::s_locationCopies + 1, ranked);
    std::vector<Peer> holders;
    for (const protocol::Candidate &candidate : ranked) {
        if (candidate.agent == owner || holders.size() == routing::s_locationCopies) {
            continue;
        }
        holders.push_back(*std::ranges::find(m_peers, candidate, &Peer::candidate));
    }
    return holders;
}

void LocationAnnouncer::announce(const flow::FlowKey &key, Announced &announced, Batches &batches) const
{
    std::vector<Peer> holders = holdersOf(key, m_self.agent);
    for (const Peer &holder : holders) {
        if (std::ranges::find(announced.informed, holder) == announced.informed.end()) {
            batches[holder.candidate.endpoint].push_back({key, announced.sequenceNumber});
        }
    }
    announced.informed = std::move(holders);
}

void LocationAnnouncer::appendRecords(const protocol::Candidate &owner,
                                      const Batches &batches,
                                      std::vector<LocationMessage> &messages) const
{
    for (const auto &[to, flows] : batches) {
        appendRecords(owner, to, flows, messages);
    }
}

void LocationAnnouncer::appendRecords(const protocol::Candidate &owner,
                                      const Endpoint &to,
                                      const std::vector<protocol::LocatedFlow> &flows,
                                      std::vector<LocationMessage> &messages) const
{
    for (std::size_t begin = 0; begin == 0 || begin < flows.size(); begin += m_settings.flowsPerMessage) {
        const auto first = flows.begin() + static_cast<std::ptrdiff_t>(begin);
        const std::size_t count = std::min(m_settings.flowsPerMessage, flows.size() - begin);
        messages.push_back(
            {to,
             protocol::LocationRecords {owner, {first, first + static_cast<std::ptrdiff_t>(count)}, m_self.endpoint}});
    }
}

void LocationAnnouncer::announceAll(const std::function<bool(const flow::FlowKey &)> &isOpen, Batches &batches)
{
    for (auto position = m_flows.begin(); position != m_flows.end();) {
        const auto current = position++;
        if (!isOpen(current->first)) {
            m_flows.erase(current);
            continue;
        }
        announce(current->first, current->second, batches);
    }
}

void LocationAnnouncer::announceNew(const std::function<bool(const flow::FlowKey &)> &isOpen, Batches &batches)
{
    for (const protocol::LocatedFlow &located : std::exchange(m_newFlows, {})) {
        if (!isOpen(located.key)) {
            continue;
        }
        Announced &announced = m_flows[located.key];
        if (announced.sequenceNumber != located.sequenceNumber) {
            announced = {located.sequenceNumber, {}};
        }
        announce(located.key, announced, batches);
    }
}

void LocationAnnouncer::appendRequests(std::vector<LocationMessage> &messages)
{
    for (const Peer &peer : m_peers) {
        Request &request = m_requests[peer.candidate.endpoint];
        if (request.incarnation != peer.incarnation) {
            request = {peer.incarnation, 0, false};
        }
        if (request.isAnswered || request.sent >= m_settings.maximumRequests) {
            continue;
        }
        ++request.sent;
        messages.push_back({peer.candidate.endpoint, protocol::LocationRequest {m_self}});
    }
}

} // namespace samphireswitch::passthrough
