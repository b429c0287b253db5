#pragma once

#include "base/time.h"
#include "flow/flowkey.h"
#include "passthrough/coldrequestlimit.h"
#include "passthrough/decision.h"
#include "passthrough/serveddestinations.h"
#include "passthrough/upstreampace.h"
#include "passthrough/upstreamreport.h"
#include "passthrough/upstreamstate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace samphireswitch::passthrough {

/** Load at which an upstream has no room for a request that another upstream could get. */
constexpr std::uint32_t s_fullLoad = 1000;

/**
 * How many new flows an upstream may get: the bounds by its slots, by the limit of cold upstreams and by its pace. The
 * pace is only a preference: it sends new flows to upstreams with more room, but gives way up to the slots when all of
 * them are full, so that no caller is refused because of it. The limit of cold upstreams never gives way.
 */
class UpstreamLimits
{
public:
    explicit UpstreamLimits(const UpstreamPaceSettings &pace);

    /**
     * Takes over what has happened to the upstream since the last call. Call this function before each decision and
     * after each batch of packets.
     */
    void observe(UpstreamState &upstream, const ServedDestinations &served, bool isSilent, TimePoint now);

    /** Counts the requests whose answers are missing, and newly missing ones as failures. Call about once a second. */
    void detectMissingAnswers(const UpstreamState &upstream, const ServedDestinations &served, TimePoint now);

    /** Records that the upstream got a first packet, or another copy of one. */
    void delivered(TimePoint now);

    /**
     * Requests under way as a share of those that the upstream should have, in thousandths; s_fullLoad or more if it
     * should get no other one. An upstream that may not get one at once is the last choice of all full ones.
     */
    std::uint32_t load(UpstreamState &upstream, TimePoint now) const;

    /** Which limit is reached when load() is s_fullLoad or more. */
    Cause causeOfLoad(UpstreamState &upstream, TimePoint now) const;

    /** Whether the upstream may get a first packet that no other upstream has room for. */
    bool hasRoom(UpstreamState &upstream, TimePoint now) const;

    const ColdRequestLimit &cold() const;
    const UpstreamPace &pace() const;

private:
    /** Passes the ends of requests since the last call of observe() to the pace. */
    void observeOutcomes(const UpstreamState &upstream, const ServedDestinations &served);
    void observeReport(UpstreamState &upstream, TimePoint now);

    ColdRequestLimit m_cold;
    UpstreamPace m_pace;
    /** The run that was observed last. */
    std::optional<UpstreamRun> m_run;
    TimePoint m_lastHeard;
    bool m_wasUnavailable = false;
    bool m_wasEvacuated = false;
    /** Requests whose answers were missing at the latest judgement. */
    std::size_t m_missing = 0;
    /** When these requests were handed over; those that the upstream has answered or reset since are left out. */
    std::unordered_map<flow::FlowKey, TimePoint> m_missingSince;
};

} // namespace samphireswitch::passthrough
