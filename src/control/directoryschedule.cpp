#include "control/directoryschedule.h"

namespace samphireswitch::control {

DirectorySchedule::DirectorySchedule(const DirectorySettings &settings, bool hasEntry)
    : m_settings(settings)
    , m_hasEntry(hasEntry)
{
}

std::optional<DirectoryCall>
DirectorySchedule::due(TimePoint now, TimePoint lastHeard, const EntryContent &content) const
{
    if (now < m_pausedUntil) {
        return std::nullopt;
    }
    if (!m_wasRead) {
        return ReadEntries {};
    }
    if (m_hasEntry && m_lease == 0) {
        return GrantLease {};
    }
    const auto interval = content.isUrgent ? m_settings.urgentWriteInterval : m_settings.writeInterval;
    const bool hasChanged = content.hash != m_writtenHash && now - m_writtenAt >= interval;
    if (m_hasEntry && (!m_isWritten || hasChanged)) {
        return WriteEntry {m_lease};
    }
    if (m_hasEntry && now - m_renewedAt >= m_leaseDuration / m_settings.renewalsPerLease) {
        return RenewLease {m_lease};
    }
    const bool isIsolated = now - lastHeard >= m_settings.isolationTimeout;
    if ((isIsolated || m_awaitsListing) && now - m_readAt >= m_settings.readInterval) {
        return ReadEntries {};
    }
    return std::nullopt;
}

void DirectorySchedule::leaseGranted(std::uint64_t lease, std::chrono::milliseconds duration, TimePoint now)
{
    m_lease = lease;
    m_leaseDuration = duration;
    m_renewedAt = now;
    m_isWritten = false;
}

void DirectorySchedule::leaseRenewed(TimePoint now)
{
    m_renewedAt = now;
}

void DirectorySchedule::leaseEnded()
{
    m_lease = 0;
    m_isWritten = false;
}

void DirectorySchedule::entryWritten(std::uint64_t contentHash, TimePoint now)
{
    m_isWritten = true;
    m_writtenHash = contentHash;
    m_writtenAt = now;
}

void DirectorySchedule::entriesRead(TimePoint now)
{
    m_wasRead = true;
    m_readAt = now;
}

void DirectorySchedule::setAwaitsListing(bool awaitsListing)
{
    m_awaitsListing = awaitsListing;
}

void DirectorySchedule::callFailed(TimePoint now)
{
    m_pausedUntil = now + m_settings.retryDelay;
}

} // namespace samphireswitch::control
