#pragma once

#include "base/time.h"
#include "configuration/configurationpatch.h"
#include "configuration/configurationtable.h"
#include "configuration/servicerecord.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

namespace samphireswitch::configuration {

/**
 * One of two confirmations counts as later only if they differ by more than this. It exceeds the time that a summary is
 * on its way, without which both of two peers could take the other's copy for the more recent one and swap them.
 */
constexpr std::chrono::milliseconds s_confirmationMargin {500};

/** A confirmation that is later by this is the later one for every peer: the margin, and the time on the way. */
constexpr std::chrono::milliseconds s_laterConfirmation = s_confirmationMargin + std::chrono::milliseconds(100);

/** What a process tells its peers of the configuration in force there. */
struct ReplicaSummary
{
    Generation generation = 0;
    /** ConfigurationTable::contentHash(); 0 from a process of an earlier version, or for a part of the services. */
    std::uint64_t contentHash = 0;
    /** Time since the store last confirmed this content; nothing if that is not known. */
    std::optional<std::chrono::milliseconds> confirmedAge;

    bool operator==(const ReplicaSummary &) const = default;
};

/** Configuration that a process receives from the store, from a peer or from an operator's command. */
struct ConfigurationUpdate
{
    std::variant<ConfigurationDelta, ConfigurationPatch> content;
    /** Latest time at which the store is known to have held this content. */
    std::optional<TimePoint> confirmedAt = std::nullopt;
    /** Whether this process read the content itself. The time of the confirmation is exact then, not only a bound. */
    bool isOwnRead = false;
    /**
     * Whether the store held only a part of the content at @c confirmedAt. The other records are those that were in
     * force here, which may be wrong or outdated.
     */
    bool isPartlyConfirmed = false;
};

/** A read of the store that found the content which this process has, or should have, in force. */
struct ConfigurationConfirmation
{
    Generation generation = 0;
    std::uint64_t contentHash = 0;
    /** When the read began. */
    TimePoint at;
};

/** Result of a read of the store; std::monostate if the store holds no configuration, or an older one. */
using ConfigurationReading = std::variant<std::monostate, ConfigurationUpdate, ConfigurationConfirmation>;

/**
 * The copy of the configuration that one process holds, and the rule by which copies become equal. A higher generation
 * replaces a lower one. Evacuations change the content of a generation without a new one. Of two copies with the same
 * generation and different content, the one that the store has confirmed more recently is right. Confirmations spread
 * between processes with equal content only, so that a wrong copy, whatever made it wrong, keeps an old confirmation
 * and is replaced.
 */
class ConfigurationReplica
{
public:
    enum class Outcome {
        /** The update is outdated, or its content is already in force. */
        Unchanged,
        /** A newer generation is in force. */
        Updated,
        /** Failure domains have been evacuated or taken back in the generation in force. */
        EvacuationsChanged,
        /** The content of the generation in force was wrong and has been replaced. */
        Repaired,
        /** The table changed after the update was requested, so that it was not applied. */
        Mismatched,
    };

    /** Relation of the copy of a peer to this one. */
    enum class Standing { Equal, Newer, Older, Undecided };

    Outcome receive(const ConfigurationUpdate &update);

    /** Takes over a confirmation by the store; ignored if another content is in force. */
    void confirm(const ConfigurationConfirmation &confirmation);

    /** As above, with the confirmation that a peer reported at @p now. */
    void confirm(const ReplicaSummary &peer, TimePoint now);

    Standing compare(const ReplicaSummary &peer, TimePoint now) const;

    ReplicaSummary summary(TimePoint now) const;

    /**
     * The hashes for a request to a peer. After an update that did not match, they have a single bucket, so that the
     * answer holds the whole configuration.
     */
    ContentHashes requestHashes() const;

    const ConfigurationTable &table() const;

    /** When the store last confirmed the content in force; nothing if that is not known. */
    const std::optional<TimePoint> &confirmedAt() const;

private:
    Outcome apply(const ConfigurationDelta &delta, const ConfigurationUpdate &update);
    Outcome apply(const ConfigurationPatch &patch, const ConfigurationUpdate &update);
    /** Whether a copy of a peer that was confirmed at @p other is preferred to this one. */
    bool isMoreRecent(const std::optional<TimePoint> &other) const;
    /** Whether the content of @p update is preferred to this copy, which has the same generation. */
    bool isMoreRecent(const ConfigurationUpdate &update) const;
    /**
     * The confirmation of the content of @p update, which replaces this copy. That of a content which the store held
     * only in part is as old as this copy, but for what makes peers with this copy prefer the new content.
     */
    std::optional<TimePoint> confirmationAfter(const ConfigurationUpdate &update) const;

    ConfigurationTable m_table;
    std::optional<TimePoint> m_confirmedAt;
    bool m_requestsWhole = false;
};

} // namespace samphireswitch::configuration
