#include "platform/packetformat.h"

#include "platform/packetlayout.h"

#include <boost/endian/conversion.hpp>

namespace samphireswitch::platform {

namespace {

using namespace detail;

std::uint16_t load16(std::span<const std::byte> bytes, std::size_t offset)
{
    return boost::endian::load_big_u16(reinterpret_cast<const unsigned char *>(bytes.data() + offset));
}

std::uint32_t load32(std::span<const std::byte> bytes, std::size_t offset)
{
    return boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(bytes.data() + offset));
}

void store16(std::span<std::byte> bytes, std::size_t offset, std::uint16_t value)
{
    boost::endian::store_big_u16(reinterpret_cast<unsigned char *>(bytes.data() + offset), value);
}

void store32(std::span<std::byte> bytes, std::size_t offset, std::uint32_t value)
{
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(bytes.data() + offset), value);
}

} // namespace

Result<flow::Segment> parsePacket(std::span<const std::byte> bytes)
{
    if (bytes.size() < s_packetHeaderSize) {
        return boost::leaf::new_error(Error {ResultCode::PacketMalformed, "the packet is shorter than its header"});
    }
    const std::size_t payloadSize = load16(bytes, s_lengthOffset);
    if (payloadSize != bytes.size() - s_packetHeaderSize) {
        return boost::leaf::new_error(
            Error {ResultCode::PacketMalformed, "the length in the header does not match the datagram"});
    }
    const auto flags = std::to_integer<unsigned>(bytes[s_flagsOffset]);
    flow::Segment segment;
    segment.key.source = {load32(bytes, s_sourceAddressOffset), load16(bytes, s_sourcePortOffset)};
    segment.key.destination = {load32(bytes, s_destinationAddressOffset), load16(bytes, s_destinationPortOffset)};
    segment.sequenceNumber = load32(bytes, s_sequenceOffset);
    segment.acknowledgementNumber = load32(bytes, s_acknowledgementOffset);
    segment.payloadSize = payloadSize;
    segment.syn = (flags & s_syn) != 0;
    segment.ack = (flags & s_ack) != 0;
    segment.fin = (flags & s_fin) != 0;
    segment.rst = (flags & s_rst) != 0;
    segment.returned = (flags & s_bounced) != 0;
    if (segment.isFirstPacket()) {
        // A first packet acknowledges nothing; the platform counts its copies in this field.
        segment.synRetransmissions = segment.acknowledgementNumber;
    }
    // `echo` comes back as it was when the upstream got the packet. Other senders leave it 0.
    segment.returnMark = load32(bytes, s_echoOffset);
    return segment;
}

void prepareForUpstream(std::span<std::byte> packet, std::uint32_t mark)
{
    restorePacket(packet);
    store32(packet, s_echoOffset, mark);
}

void restorePacket(std::span<std::byte> packet)
{
    store32(packet, s_echoOffset, 0);
    packet[s_flagsOffset] &= ~std::byte {s_bounced};
    packet[s_padOffset] = std::byte {0};
}

ResetBytes makeReset(const flow::FlowKey &callerKey, std::uint32_t sequenceNumber)
{
    ResetBytes packet {};
    const std::span<std::byte> bytes(packet);
    store32(bytes, s_sequenceOffset, sequenceNumber);
    store32(bytes, s_destinationAddressOffset, callerKey.source.address);
    store32(bytes, s_sourceAddressOffset, callerKey.destination.address);
    store16(bytes, s_sourcePortOffset, callerKey.destination.port);
    store16(bytes, s_destinationPortOffset, callerKey.source.port);
    bytes[s_flagsOffset] = std::byte {s_rst};
    return packet;
}

} // namespace samphireswitch::platform
