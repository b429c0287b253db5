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
    case KnowledgeBasis::UnservedRun:
        return "unserved-run";
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

void FlowKnowledge::upstreamReported()
{
    m_wasUpstreamHeard = true;
    m_departedFor.reset();
}

void FlowKnowledge::packetArrived()
{
    m_wasUpstreamHeard = true;
    m_listened = {};
}

void FlowKnowledge::upstreamDeparted(Clock::duration age, TimePoint now)
{
    m_departedFor = age;
    if (!isComplete() && hasExited()) {
        establish(KnowledgeBasis::UpstreamLeft, now);
    }
}

bool FlowKnowledge::isUpstreamDeparted() const
{
    return m_departedFor.has_value();
}

void FlowKnowledge::expire(TimePoint now)
{
    const auto listened = std::min<Clock::duration>(now - std::exchange(m_expiredAt, now), s_longestListening);
    m_listened += listened;
    if (m_departedFor) {
        *m_departedFor += listened;
    }
    if (isComplete()) {
        return;
    }
    if (hasExited()) {
        establish(KnowledgeBasis::UpstreamLeft, now);
    } else if (!m_wasUpstreamHeard && m_listened >= m_settings.silenceLimit) {
        establish(KnowledgeBasis::UpstreamSilent, now);
    } else if (now - m_since >= m_settings.idleTimeout) {
        establish(KnowledgeBasis::IdleTimeout, now);
    }
}

bool FlowKnowledge::hasExited() const
{
    const bool isQuiet = !m_wasUpstreamHeard || m_listened >= m_settings.departureTime;
    return m_departedFor && *m_departedFor >= m_settings.departureTime && isQuiet;
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
