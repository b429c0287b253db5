#include "soak/packet.h"

#include "base/attempt.h"
#include "base/hash.h"
#include "platform/packetformat.h"
#include "platform/packetlayout.h"

#include <boost/endian/conversion.hpp>

#include <cstddef>
#include <span>

namespace samphireswitch::soak {

namespace {

using namespace platform::detail;

// Any value that the processes under test do not have.
constexpr std::uint64_t s_sumKey = 0x5eed0f7e57ULL;

template<typename Number>
void append(std::string &bytes, Number value)
{
    boost::endian::native_to_big_inplace(value);
    bytes.append(reinterpret_cast<const char *>(&value), sizeof(value));
}

/** Covers all but the sum itself, `echo`, `pad` and the flag BOUNCED. */
std::uint32_t keyedSum(std::string bytes)
{
    bytes.replace(s_echoOffset, sizeof(std::uint32_t), sizeof(std::uint32_t), '\0');
    bytes[s_flagsOffset] = static_cast<char>(bytes[s_flagsOffset] & ~s_bounced);
    bytes[s_padOffset] = 0;
    return static_cast<std::uint32_t>(hashText(std::string_view(bytes).substr(s_lengthOffset), s_sumKey));
}

char flagsOf(const flow::Segment &head)
{
    return static_cast<char>((head.syn ? s_syn : 0) | (head.ack ? s_ack : 0) | (head.fin ? s_fin : 0)
                             | (head.rst ? s_rst : 0));
}

} // namespace

std::string encodePacket(const flow::Segment &head, std::string_view data)
{
    std::string bytes;
    append(bytes, std::uint32_t {0});
    append(bytes, static_cast<std::uint16_t>(data.size()));
    append(bytes, head.sequenceNumber);
    append(bytes, head.isFirstPacket() ? head.synRetransmissions : head.acknowledgementNumber);
    append(bytes, head.key.destination.address);
    append(bytes, head.key.source.address);
    append(bytes, head.key.source.port);
    append(bytes, head.key.destination.port);
    append(bytes, std::uint32_t {0});
    bytes += flagsOf(head);
    bytes += '\0';
    bytes += data;
    std::string sum;
    append(sum, keyedSum(bytes));
    return bytes.replace(0, sum.size(), sum);
}

std::optional<Packet> decodePacket(std::string_view bytes)
{
    const auto parsed = attempt([bytes] { return platform::parsePacket(std::as_bytes(std::span(bytes))); });
    const auto *head = std::get_if<flow::Segment>(&parsed);
    if (head == nullptr) {
        return std::nullopt;
    }
    std::uint32_t sum = 0;
    bytes.copy(reinterpret_cast<char *>(&sum), sizeof(sum));
    boost::endian::big_to_native_inplace(sum);
    return Packet {*head, std::string(bytes.substr(platform::s_packetHeaderSize)), sum == keyedSum(std::string(bytes))};
}

std::string returnedPacket(std::string_view bytes)
{
    std::string copy(bytes);
    copy[s_flagsOffset] = static_cast<char>(copy[s_flagsOffset] | s_bounced);
    copy[s_padOffset] = 0;
    return copy;
}

} // namespace samphireswitch::soak
