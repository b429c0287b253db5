#include "packet.h"

#include <arpa/inet.h>

#include <cstring>

namespace review {

namespace {

constexpr std::size_t s_headSize = 32;
constexpr std::size_t s_sumSize = 4;
constexpr std::size_t s_echoOffset = 26;
constexpr std::size_t s_flagsOffset = 30;
constexpr std::size_t s_padOffset = 31;
constexpr unsigned s_bounced = 1;
constexpr unsigned s_syn = 2;
constexpr unsigned s_rst = 4;
constexpr unsigned s_fin = 8;
constexpr unsigned s_ack = 32;
// Any value that the processes under test do not know.
constexpr std::uint32_t s_sumKey = 0x5eed0f27;

void append16(std::string &bytes, std::uint16_t value)
{
    bytes += static_cast<char>(value >> 8U);
    bytes += static_cast<char>(value & 0xffU);
}

void append32(std::string &bytes, std::uint32_t value)
{
    append16(bytes, static_cast<std::uint16_t>(value >> 16U));
    append16(bytes, static_cast<std::uint16_t>(value & 0xffffU));
}

std::uint32_t load(std::string_view bytes, std::size_t offset, std::size_t size)
{
    std::uint32_t value = 0;
    for (const char byte : bytes.substr(offset, size)) {
        value = (value << 8U) | static_cast<unsigned char>(byte);
    }
    return value;
}

/** FNV-1a over all fields but the sum, `echo`, `pad` and BOUNCED. Never 0, which marks a reset of the system. */
std::uint32_t keyedSum(std::string bytes)
{
    bytes.replace(s_echoOffset, 4, 4, '\0');
    bytes[s_flagsOffset] = static_cast<char>(static_cast<unsigned char>(bytes[s_flagsOffset]) & ~s_bounced);
    bytes[s_padOffset] = 0;
    std::uint32_t hash = 2166136261U ^ s_sumKey;
    for (const char byte : std::string_view(bytes).substr(s_sumSize)) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 16777619U;
    }
    return hash == 0 ? 1 : hash;
}

} // namespace

std::string toString(const Address &address)
{
    return ipToString(address.ip) + ":" + std::to_string(address.port);
}

std::string ipToString(std::uint32_t ip)
{
    in_addr raw {};
    raw.s_addr = htonl(ip);
    std::string text(INET_ADDRSTRLEN, '\0');
    inet_ntop(AF_INET, &raw, text.data(), static_cast<socklen_t>(text.size()));
    return {text.c_str()};
}

std::string encode(const Packet &packet)
{
    const unsigned flags =
        (packet.syn ? s_syn : 0U) | (packet.ack ? s_ack : 0U) | (packet.fin ? s_fin : 0U) | (packet.rst ? s_rst : 0U);
    std::string bytes;
    append32(bytes, 0);
    append16(bytes, static_cast<std::uint16_t>(packet.data.size()));
    append32(bytes, packet.sequence);
    append32(bytes, packet.acknowledgement);
    append32(bytes, packet.destination.ip);
    append32(bytes, packet.source.ip);
    append16(bytes, packet.source.port);
    append16(bytes, packet.destination.port);
    append32(bytes, 0);
    bytes += static_cast<char>(flags);
    bytes += '\0';
    bytes += packet.data;
    std::string sum;
    append32(sum, keyedSum(bytes));
    return bytes.replace(0, s_sumSize, sum);
}

std::optional<Packet> decode(std::string_view bytes)
{
    if (bytes.size() < s_headSize || load(bytes, 4, 2) != bytes.size() - s_headSize) {
        return std::nullopt;
    }
    Packet packet;
    packet.sequence = load(bytes, 6, 4);
    packet.acknowledgement = load(bytes, 10, 4);
    packet.destination = {load(bytes, 14, 4), static_cast<std::uint16_t>(load(bytes, 24, 2))};
    packet.source = {load(bytes, 18, 4), static_cast<std::uint16_t>(load(bytes, 22, 2))};
    const auto flags = static_cast<unsigned char>(bytes[s_flagsOffset]);
    packet.syn = (flags & s_syn) != 0;
    packet.ack = (flags & s_ack) != 0;
    packet.fin = (flags & s_fin) != 0;
    packet.rst = (flags & s_rst) != 0;
    packet.bounced = (flags & s_bounced) != 0;
    packet.data = bytes.substr(s_headSize);
    packet.isAuthentic = load(bytes, 0, s_sumSize) == keyedSum(std::string(bytes));
    packet.isUnsigned = load(bytes, 0, s_sumSize) == 0;
    return packet;
}

std::string bounced(std::string packet)
{
    packet[s_flagsOffset] = static_cast<char>(static_cast<unsigned char>(packet[s_flagsOffset]) | s_bounced);
    packet[s_padOffset] = 0;
    return packet;
}

} // namespace review
