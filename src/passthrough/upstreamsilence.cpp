#include "passthrough/upstreamsilence.h"

namespace samphireswitch::passthrough {

UpstreamSilence::UpstreamSilence(const UpstreamSilenceSettings &settings)
    : m_settings(settings)
{
}

void UpstreamSilence::firstPacketDelivered(TimePoint now)
{
    if (m_unanswered == 0) {
        m_firstUnanswered = now;
    }
    ++m_unanswered;
    m_lastDelivered = now;
}

void UpstreamSilence::upstreamResponded()
{
    m_unanswered = 0;
}

bool UpstreamSilence::isSilent(TimePoint now) const
{
    return m_unanswered >= m_settings.minimumUnanswered && now - m_firstUnanswered >= m_settings.silenceTimeout;
}

bool UpstreamSilence::allowsFirstPacket(TimePoint now) const
{
    return !isSilent(now) || now - m_lastDelivered >= m_settings.retryInterval;
}

} // namespace samphireswitch::passthrough
