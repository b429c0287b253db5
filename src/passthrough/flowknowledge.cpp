#include "passthrough/flowknowledge.h"

#include <algorithm>
#include <utility>

namespace samphireswitch::passthrough {

namespace {

// Longest time between two calls of expire() that counts as listening. After a standstill of the machine, the upstream
// has to get the time to report.
constexpr std::chrono::milliseconds s_longestListening {1200};

} // namespace

std::string_view basisName(KnowledgeBasis basis)
{
    switch (basis) {
    case KnowledgeBasis::None:
        return "none";
    case KnowledgeBasis::RefusedPacket:
        return "refused-packet";
    case KnowledgeBasis::FirstReport:
        return "first-report";
    case KnowledgeBasis::EarlyReport:
        return "early-report";
    case KnowledgeBasis::IdleTimeout:
        return "idle-timeout";
    case KnowledgeBasis::UpstreamLeft:
        return "upstream-left";
    case KnowledgeBasis::UpstreamSilent:
        return "upstream-silent";
    }
    return "unknown";
}

FlowKnowledge::FlowKnowledge(const KnowledgeSettings &settings, TimePoint now)
    : m_settings(settings)
    , m_since(now)
    , m_expiredAt(now)
{
}

void FlowKnowledge::establish(KnowledgeBasis basis, TimePoint now)
{
    m_basis = basis;
    m_since = now;
}

void FlowKnowledge::withdraw(TimePoint now)
{
    establish(KnowledgeBasis::None, now);
}

void FlowKnowledge::upstreamHeard()
{
    m_wasUpstreamHeard = true;
}

void FlowKnowledge::upstreamHadLeft(TimePoint now)
{
    if (!m_wasUpstreamHeard && !isComplete()) {
        establish(KnowledgeBasis::UpstreamLeft, now);
    }
}

void FlowKnowledge::expire(TimePoint now)
{
    m_listened += std::min<Clock::duration>(now - std::exchange(m_expiredAt, now), s_longestListening);
    if (isComplete()) {
        return;
    }
    if (!m_wasUpstreamHeard && m_listened >= m_settings.silenceLimit) {
        establish(KnowledgeBasis::UpstreamSilent, now);
    } else if (now - m_since >= m_settings.idleTimeout) {
        establish(KnowledgeBasis::IdleTimeout, now);
    }
}

bool FlowKnowledge::restsOnAbsence() const
{
    return m_basis == KnowledgeBasis::RefusedPacket || m_basis == KnowledgeBasis::UpstreamLeft
        || m_basis == KnowledgeBasis::UpstreamSilent;
}

bool FlowKnowledge::isComplete() const
{
    return m_basis != KnowledgeBasis::None;
}

KnowledgeBasis FlowKnowledge::basis() const
{
    return m_basis;
}

TimePoint FlowKnowledge::since() const
{
    return m_since;
}

} // namespace samphireswitch::passthrough
