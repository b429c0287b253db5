#pragma once

#include "flow/segment.h"

#include <optional>
#include <string>
#include <string_view>

namespace samphireswitch::soak {

/** A packet of the platform as the two ends of a flow write and read it. PROTOCOL.md, section Packets. */
struct Packet
{
    flow::Segment head;
    std::string data;
    /** The keyed sum matches, so that an end of the flow wrote the packet as it is. */
    bool isAuthentic = false;
};

/** With the keyed sum, which only the ends of a flow can make. */
std::string encodePacket(const flow::Segment &head, std::string_view data);

/** Nothing for bytes that are no packet. */
std::optional<Packet> decodePacket(std::string_view bytes);

/** The packet as the upstream gives it back: with the flag BOUNCED, all else as it arrived. */
std::string returnedPacket(std::string_view bytes);

} // namespace samphireswitch::soak
