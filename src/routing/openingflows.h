#pragma once

#include "base/time.h"
#include "flow/flowkey.h"
#include "flow/segment.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace samphireswitch::routing {

/** Number of times that a caller sends the first packet of a flow: once, and two copies while it gets no answer. */
constexpr std::size_t s_firstPacketCopies = 3;

/** Times and size of OpeningFlows. */
struct OpeningFlowSettings
{
    /** When the caller sends each copy of a first packet, from the first one on. */
    std::array<std::chrono::milliseconds, s_firstPacketCopies> sentAt {std::chrono::milliseconds(0),
                                                                       std::chrono::milliseconds(200),
                                                                       std::chrono::milliseconds(600)};
    /** Longest time that a packet of a caller and a reset together spend on the way. */
    std::chrono::milliseconds travelTime {50};
    /** A flow is forgotten this long after its first packet arrived; the caller gives up after 1.4 s. */
    std::chrono::milliseconds lifetime {2000};
    /** Number of flows that are remembered; the oldest one is forgotten first. */
    std::size_t capacity = 8192;
};

/** Whether a refused first packet shows that no copy of it can open the flow any more. */
enum class RefusalVerdict : std::uint8_t {
    /** All copies that the caller has sent are refused. */
    Final,
    /** Another copy that was forwarded here has not been refused. */
    CopyPending,
    /** Another balancer may have forwarded a copy: one that this balancer did not see, or the next one that is due. */
    CopyElsewhere,
    /** This balancer did not forward the packet, or has forgotten it. */
    Unknown,
};

/** Number of values of RefusalVerdict. */
constexpr std::size_t s_refusalVerdictCount = static_cast<std::size_t>(RefusalVerdict::Unknown) + 1;

/** Returns the name of @p verdict in logs and metrics. */
std::string_view verdictName(RefusalVerdict verdict);

/** A RefusalVerdict with what it is based on, for the log. */
struct RefusalJudgement
{
    RefusalVerdict verdict = RefusalVerdict::Unknown;
    /** Time since the first copy arrived, at most; nothing if that copy did not arrive here. */
    std::optional<std::chrono::nanoseconds> age;
    /** Number of copies that arrived here. */
    std::uint32_t copies = 0;
};

/**
 * First packets that a balancer has forwarded and that may open a flow. An agent that finds nobody to accept a packet
 * knows of one copy only, and the packet may have waited for long on its way. Another copy may have opened the flow
 * meanwhile, so only the balancer that has seen all copies may reset the caller.
 */
class OpeningFlows
{
public:
    explicit OpeningFlows(const OpeningFlowSettings &settings = {});

    /**
     * Records that a copy of the first packet @p packet arrived, at @p notBefore or later, and was forwarded if
     * @p isForwarded is set. A packet that was not forwarded opens no flow.
     */
    void arrived(const flow::Segment &packet, TimePoint notBefore, bool isForwarded);

    /**
     * Judges at @p now the refusal of the copy with the number @p copy, from 0, of the first packet with the sequence
     * number
     * @p sequenceNumber.
     */
    RefusalJudgement refused(const flow::FlowKey &key, std::uint32_t sequenceNumber, std::uint32_t copy, TimePoint now);

    /**
     * Judges at @p now whether the caller may be reset because the copies that arrived, the latest of which is @p
     * packet, were not forwarded.
     */
    RefusalJudgement notForwarded(const flow::Segment &packet, TimePoint now) const;

    std::size_t size() const;

private:
    struct Opening
    {
        TimePoint recordedAt;
        std::uint32_t sequenceNumber = 0;
        /** Time at which the first copy arrived, or earlier; nothing if it did not arrive here. */
        std::optional<TimePoint> firstArrival;
        std::array<bool, s_firstPacketCopies> hasArrived {};
        /** How often each copy was forwarded without being refused since. */
        std::array<std::uint8_t, s_firstPacketCopies> pending {};
    };

    RefusalJudgement judge(const Opening &opening, TimePoint now) const;
    /** Whether the caller may have sent a copy that did not arrive here. */
    bool mayMissCopy(const Opening &opening, TimePoint now) const;
    void expire(TimePoint now);

    OpeningFlowSettings m_settings;
    std::unordered_map<flow::FlowKey, Opening> m_flows;
    /** When each flow was recorded, the oldest first. */
    std::deque<std::pair<TimePoint, flow::FlowKey>> m_order;
};

} // namespace samphireswitch::routing
