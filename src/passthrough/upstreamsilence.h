#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>

namespace samphireswitch::passthrough {

/** When an upstream counts as silent, and how often a silent upstream is retried. */
struct UpstreamSilenceSettings
{
    /** The upstream counts as silent from this many unanswered first packets on; a single one may have been lost. */
    std::uint32_t minimumUnanswered = 2;
    /**
     * Least time since the first unanswered packet for the upstream to count as silent. An upstream answers a first
     * packet within a millisecond, even when it is busy.
     */
    std::chrono::milliseconds silenceTimeout {100};
    /** Time after which a silent upstream gets another first packet as a trial. */
    std::chrono::milliseconds retryInterval {250};
};

/**
 * Detects from unanswered first packets that the upstream has stopped responding. This takes a fraction of a second,
 * long before the upstream's reports are overdue.
 */
class UpstreamSilence
{
public:
    explicit UpstreamSilence(const UpstreamSilenceSettings &settings = {});

    /** Records that a first packet was handed to the upstream at @p now. */
    void firstPacketDelivered(TimePoint now);

    /** Records that the upstream sent or returned a packet: it is not silent any more. */
    void upstreamResponded();

    /** Whether enough first packets have been unanswered for long enough; see UpstreamSilenceSettings. */
    bool isSilent(TimePoint now) const;

    /** Whether a first packet may be handed to the upstream: the upstream is not silent, or a trial is due. */
    bool allowsFirstPacket(TimePoint now) const;

private:
    UpstreamSilenceSettings m_settings;
    std::uint32_t m_unanswered = 0;
    TimePoint m_firstUnanswered;
    TimePoint m_lastDelivered;
};

} // namespace samphireswitch::passthrough
