#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace review {

/** IPv4 address and port in host byte order. */
struct Address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

std::string toString(const Address &address);
std::string ipToString(std::uint32_t ip);

/** A packet of the platform, PROTOCOL.md, section Packets. */
struct Packet
{
    Address source;
    Address destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    bool bounced = false;
    std::string data;
    /** The keyed sum is that of the sender. Not set in packets that are to be encoded. */
    bool isAuthentic = false;
    /** The sum is 0, as in a reset of the system's own. */
    bool isUnsigned = false;

    bool isFirst() const
    {
        return syn && !ack;
    }
};

std::string encode(const Packet &packet);
std::optional<Packet> decode(std::string_view bytes);

/** The bytes of @p packet with the flag BOUNCED set and `pad` 0. */
std::string bounced(std::string packet);

} // namespace review
