#pragma once

#include "flow/packetview.h"
#include "platform/packetformat.h"
#include "settings/settings.h"

#include <span>
#include <variant>

namespace samphireswitch::balancer {

/** Bare IPv4 packets that carry TCP. */
struct InternetPackets
{
    static Result<flow::Segment> parse(std::span<const std::byte> bytes)
    {
        BOOST_LEAF_AUTO(view, flow::PacketView::parse(bytes));
        return view.segment();
    }
};

/** Packets in the platform's format. */
struct PlatformPackets
{
    static Result<flow::Segment> parse(std::span<const std::byte> bytes)
    {
        return platform::parsePacket(bytes);
    }
};

/** The format of the packets that the fabric hands over. */
using PacketFormat = std::variant<InternetPackets, PlatformPackets>;

inline PacketFormat packetFormatOf(settings::Delivery delivery)
{
    if (delivery == settings::Delivery::Passthrough) {
        return PlatformPackets {};
    }
    return InternetPackets {};
}

} // namespace samphireswitch::balancer
