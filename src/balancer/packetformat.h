#pragma once

#include "flow/packetview.h"
#include "platform/packetformat.h"
#include "settings/settings.h"

#include <span>
#include <variant>

namespace samphireswitch::balancer {

/** Parser for IPv4 packets that carry TCP. */
struct Ipv4Packets
{
    /** Fails if @p bytes is not exactly one well-formed IPv4 packet with a TCP segment. */
    static Result<flow::Segment> parse(std::span<const std::byte> bytes)
    {
        BOOST_LEAF_AUTO(view, flow::PacketView::parse(bytes));
        return view.segment();
    }
};

/** Parser for packets in the format of the platform. */
struct PlatformPackets
{
    /** Fails if @p bytes is not a well-formed packet of the platform. */
    static Result<flow::Segment> parse(std::span<const std::byte> bytes)
    {
        return platform::parsePacket(bytes);
    }
};

/** Format of the packets that the fabric sends to a balancer. */
using PacketFormat = std::variant<Ipv4Packets, PlatformPackets>;

inline PacketFormat packetFormatOf(settings::Delivery delivery)
{
    if (delivery == settings::Delivery::Passthrough) {
        return PlatformPackets {};
    }
    return Ipv4Packets {};
}

} // namespace samphireswitch::balancer
