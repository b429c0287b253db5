#include "configuration/configurationreplica.h"

#include "configuration/evacuation.h"

#include <algorithm>

namespace samphireswitch::configuration {

namespace {

std::optional<TimePoint> confirmationOf(const ReplicaSummary &summary, TimePoint now)
{
    return summary.confirmedAge ? std::optional(now - *summary.confirmedAge) : std::nullopt;
}

} // namespace

ConfigurationReplica::Outcome ConfigurationReplica::receive(const ConfigurationUpdate &update)
{
    return std::visit([&](const auto &content) { return apply(content, update); }, update.content);
}

ConfigurationReplica::Outcome ConfigurationReplica::apply(const ConfigurationDelta &delta,
                                                          const ConfigurationUpdate &update)
{
    // A delta that is outdated, or does not follow on the generation in force, is expected because peers answer at
    // different times.
    if (!m_table.apply(delta)) {
        return Outcome::Unchanged;
    }
    m_confirmedAt = update.confirmedAt;
    return Outcome::Updated;
}

ConfigurationReplica::Outcome ConfigurationReplica::apply(const ConfigurationPatch &patch,
                                                          const ConfigurationUpdate &update)
{
    const bool isSameGeneration = patch.generation == m_table.generation();
    if (isSameGeneration && patch.contentHash == m_table.contentHash()) {
        m_confirmedAt = update.isPartlyConfirmed ? m_confirmedAt : std::max(m_confirmedAt, update.confirmedAt);
        return Outcome::Unchanged;
    }
    if (patch.generation < m_table.generation() || (isSameGeneration && !isMoreRecent(update))) {
        return Outcome::Unchanged;
    }
    const std::uint64_t declaredBefore = isSameGeneration ? contentHashWithoutEvacuations(m_table) : 0;
    m_requestsWhole = !m_table.apply(patch);
    if (m_requestsWhole) {
        return Outcome::Mismatched;
    }
    m_confirmedAt = confirmationAfter(update);
    if (!isSameGeneration) {
        return Outcome::Updated;
    }
    return contentHashWithoutEvacuations(m_table) == declaredBefore ? Outcome::EvacuationsChanged : Outcome::Repaired;
}

void ConfigurationReplica::confirm(const ConfigurationConfirmation &confirmation)
{
    if (confirmation.generation == m_table.generation() && confirmation.contentHash == m_table.contentHash()) {
        m_confirmedAt = std::max(m_confirmedAt, std::optional(confirmation.at));
    }
}

void ConfigurationReplica::confirm(const ReplicaSummary &peer, TimePoint now)
{
    if (const auto at = confirmationOf(peer, now)) {
        confirm({peer.generation, peer.contentHash, *at});
    }
}

ConfigurationReplica::Standing ConfigurationReplica::compare(const ReplicaSummary &peer, TimePoint now) const
{
    if (peer.generation != m_table.generation()) {
        return peer.generation > m_table.generation() ? Standing::Newer : Standing::Older;
    }
    if (peer.contentHash == 0 || peer.contentHash == m_table.contentHash()) {
        return Standing::Equal;
    }
    const auto peerConfirmedAt = confirmationOf(peer, now);
    if (isMoreRecent(peerConfirmedAt)) {
        return Standing::Newer;
    }
    const bool isOlder =
        m_confirmedAt && (!peerConfirmedAt || *m_confirmedAt - *peerConfirmedAt > s_confirmationMargin);
    return isOlder ? Standing::Older : Standing::Undecided;
}

ReplicaSummary ConfigurationReplica::summary(TimePoint now) const
{
    ReplicaSummary summary {m_table.generation(), m_table.contentHash(), {}};
    if (m_confirmedAt) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *m_confirmedAt);
        summary.confirmedAge = std::max(age, std::chrono::milliseconds(0));
    }
    return summary;
}

ContentHashes ConfigurationReplica::requestHashes() const
{
    return m_requestsWhole ? m_table.contentHashes(1) : m_table.contentHashes();
}

const ConfigurationTable &ConfigurationReplica::table() const
{
    return m_table;
}

const std::optional<TimePoint> &ConfigurationReplica::confirmedAt() const
{
    return m_confirmedAt;
}

bool ConfigurationReplica::isMoreRecent(const std::optional<TimePoint> &other) const
{
    return other && (!m_confirmedAt || *other - *m_confirmedAt > s_confirmationMargin);
}

bool ConfigurationReplica::isMoreRecent(const ConfigurationUpdate &update) const
{
    // No margin for an own read: its time is exact, and that of a confirmation by a peer is never too early.
    return update.isOwnRead ? update.confirmedAt > m_confirmedAt : isMoreRecent(update.confirmedAt);
}

std::optional<TimePoint> ConfigurationReplica::confirmationAfter(const ConfigurationUpdate &update) const
{
    if (!update.isPartlyConfirmed) {
        return update.confirmedAt;
    }
    return m_confirmedAt ? std::min(update.confirmedAt, std::optional(*m_confirmedAt + s_laterConfirmation))
                         : std::nullopt;
}

} // namespace samphireswitch::configuration
