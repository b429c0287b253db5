#include "soak/processorallotment.h"

namespace samphireswitch::soak {

namespace {

constexpr std::chrono::milliseconds s_period {100};

} // namespace

ProcessorAllotment::ProcessorAllotment(double share, TimePoint now)
    : m_allotment(std::chrono::duration_cast<std::chrono::nanoseconds>(s_period * share))
    , m_periodBegan(now)
{
}

bool ProcessorAllotment::mayRun(std::chrono::nanoseconds used, TimePoint now)
{
    if (now - m_periodBegan >= s_period) {
        m_periodBegan = now - (now - m_periodBegan) % s_period;
        m_usedBefore = used;
    }
    return used - m_usedBefore < m_allotment;
}

} // namespace samphireswitch::soak
