#include "routing/openingflows.h"

#include <algorithm>

namespace samphireswitch::routing {

std::string_view verdictName(RefusalVerdict verdict)
{
    switch (verdict) {
    case RefusalVerdict::Final:
        return "final";
    case RefusalVerdict::CopyPending:
        return "copy-pending";
    case RefusalVerdict::CopyElsewhere:
        return "copy-elsewhere";
    case RefusalVerdict::Unknown:
        return "unknown";
    }
    return "unknown";
}

OpeningFlows::OpeningFlows(const OpeningFlowSettings &settings)
    : m_settings(settings)
{
}

void OpeningFlows::arrived(const flow::Segment &packet, TimePoint notBefore, bool isForwarded)
{
    expire(notBefore);
    const std::size_t copy = packet.synRetransmissions;
    if (copy >= s_firstPacketCopies) {
        return;
    }
    const auto [position, isNew] = m_flows.try_emplace(packet.key);
    Opening &opening = position->second;
    if (isNew || opening.sequenceNumber != packet.sequenceNumber) {
        opening = {};
        opening.recordedAt = notBefore;
        opening.sequenceNumber = packet.sequenceNumber;
        m_order.emplace_back(notBefore, packet.key);
    }
    if (copy == 0 && !opening.firstArrival) {
        opening.firstArrival = notBefore;
    }
    opening.hasArrived[copy] = true;
    opening.pending[copy] += isForwarded ? 1 : 0;
}

RefusalJudgement
OpeningFlows::refused(const flow::FlowKey &key, std::uint32_t sequenceNumber, std::uint32_t copy, TimePoint now)
{
    const auto found = m_flows.find(key);
    const bool isKnown = found != m_flows.end() && found->second.sequenceNumber == sequenceNumber
        && copy < s_firstPacketCopies && found->second.pending[copy] > 0;
    if (!isKnown) {
        return {};
    }
    --found->second.pending[copy];
    return judge(found->second, now);
}

RefusalJudgement OpeningFlows::notForwarded(const flow::Segment &packet, TimePoint now) const
{
    const auto found = m_flows.find(packet.key);
    const bool isKnown = found != m_flows.end() && found->second.sequenceNumber == packet.sequenceNumber;
    return isKnown ? judge(found->second, now) : RefusalJudgement {};
}

std::size_t OpeningFlows::size() const
{
    return m_flows.size();
}

RefusalJudgement OpeningFlows::judge(const Opening &opening, TimePoint now) const
{
    RefusalJudgement judgement;
    judgement.copies = static_cast<std::uint32_t>(std::ranges::count(opening.hasArrived, true));
    if (opening.firstArrival) {
        judgement.age = now - *opening.firstArrival;
    }
    const bool isPending = std::ranges::any_of(opening.pending, [](std::uint8_t count) { return count > 0; });
    judgement.verdict = isPending   ? RefusalVerdict::CopyPending
        : mayMissCopy(opening, now) ? RefusalVerdict::CopyElsewhere
                                    : RefusalVerdict::Final;
    return judgement;
}

bool OpeningFlows::mayMissCopy(const Opening &opening, TimePoint now) const
{
    if (!opening.firstArrival) {
        return true;
    }
    for (std::size_t copy = 0; copy < s_firstPacketCopies; ++copy) {
        // A reset that reaches the caller before this time keeps it from sending the copy.
        const TimePoint latestReset = *opening.firstArrival + m_settings.sentAt[copy] - m_settings.travelTime;
        if (!opening.hasArrived[copy] && now >= latestReset) {
            return true;
        }
    }
    return false;
}

void OpeningFlows::expire(TimePoint now)
{
    while (!m_order.empty()) {
        const auto &[recordedAt, key] = m_order.front();
        if (m_order.size() <= m_settings.capacity && now - recordedAt < m_settings.lifetime) {
            return;
        }
        const auto found = m_flows.find(key);
        if (found != m_flows.end() && found->second.recordedAt == recordedAt) {
            m_flows.erase(found);
        }
        m_order.pop_front();
    }
}

} // namespace samphireswitch::routing
