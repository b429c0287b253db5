#include "agent/storedflowsschedule.h"

#include <algorithm>

namespace samphireswitch::agent {

namespace {

// Renewals due within the duration of a lease: one of them may fail.
constexpr int s_renewalsPerLease = 3;
// Flows that are not in the store are lost to their callers if all agents die. At most one in so many should be.
constexpr std::size_t s_flowsPerUnsaved = 4;

} // namespace

StoredFlowsSchedule::StoredFlowsSchedule(const StoredFlowsSettings &settings, TimePoint now)
    : m_settings(settings)
    , m_startedAt(now)
    , m_retryDelay(settings.writeRetryDelay)
{
}

std::optional<StoredFlowsCall>
StoredFlowsSchedule::due(TimePoint now, const OpenFlows &open, std::size_t poolSize) const
{
    if (m_settings.writeInterval.count() == 0 || now < m_pausedUntil) {
        return std::nullopt;
    }
    if (!m_wasRead && now - m_startedAt < m_settings.readLimit) {
        return ReadFlows {};
    }
    if (open.contentHash != m_writtenHash && now - m_writtenAt >= writeInterval(open, poolSize)) {
        return m_lease == 0 ? StoredFlowsCall {GrantFlowsLease {}} : StoredFlowsCall {WriteFlows {m_lease}};
    }
    const bool isStored = m_lease != 0 && m_writtenHash != 0;
    if (isStored && now - m_renewedAt >= m_leaseDuration / s_renewalsPerLease) {
        return RenewFlowsLease {m_lease};
    }
    return std::nullopt;
}

void StoredFlowsSchedule::flowsRead()
{
    m_wasRead = true;
}

void StoredFlowsSchedule::leaseGranted(std::uint64_t lease, std::chrono::milliseconds duration, TimePoint now)
{
    m_lease = lease;
    m_leaseDuration = duration;
    m_renewedAt = now;
}

void StoredFlowsSchedule::leaseRenewed(TimePoint now)
{
    m_renewedAt = now;
}

void StoredFlowsSchedule::leaseEnded()
{
    m_lease = 0;
    m_writtenHash = 0;
}

void StoredFlowsSchedule::flowsWritten(std::uint64_t contentHash, TimePoint now)
{
    m_writtenHash = contentHash;
    m_writtenAt = now;
    m_retryDelay = m_settings.writeRetryDelay;
}

void StoredFlowsSchedule::callFailed(TimePoint now)
{
    if (!m_wasRead) {
        m_pausedUntil = now + m_settings.readRetryDelay;
        return;
    }
    m_pausedUntil = now + m_retryDelay;
    m_retryDelay = std::min(2 * m_retryDelay, m_settings.longestRetryDelay);
}

std::chrono::milliseconds StoredFlowsSchedule::writeInterval(const OpenFlows &open, std::size_t poolSize) const
{
    const auto agents = static_cast<int>(poolSize);
    const bool isMostlyStored = open.unsaved * s_flowsPerUnsaved < open.count;
    const auto calm = m_settings.calmInterval + agents * m_settings.calmIntervalPerAgent;
    const auto busy = m_settings.writeInterval + agents * m_settings.intervalPerAgent;
    return isMostlyStored ? std::max(calm, busy) : busy;
}

} // namespace samphireswitch::agent
