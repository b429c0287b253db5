#include "passthrough/flowknowledge.h"

namespace samphireswitch::passthrough {

std::string_view basisName(KnowledgeBasis basis)
{
    switch (basis) {
    case KnowledgeBasis::None:
        return "none";
    case KnowledgeBasis::RefusedPacket:
        return "refused-packet";
    case KnowledgeBasis::FirstReport:
        return "first-report";
    case KnowledgeBasis::IdleTimeout:
        return "idle-timeout";
    }
    return "unknown";
}

FlowKnowledge::FlowKnowledge(std::chrono::milliseconds idleTimeout, TimePoint now)
    : m_idleTimeout(idleTimeout)
    , m_since(now)
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

void FlowKnowledge::expire(TimePoint now)
{
    if (!isComplete() && now - m_since >= m_idleTimeout) {
        establish(KnowledgeBasis::IdleTimeout, now);
    }
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
