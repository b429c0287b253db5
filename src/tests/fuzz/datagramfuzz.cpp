// Guards against crashes and over-reads of the codec on any datagram, and against values that pass decode() but do not
// survive encode().

#include "protocol/datagramcodec.h"

#include <cstdlib>

namespace {

using namespace samphireswitch;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void checkEnvelope(const protocol::EnvelopeHeader &header)
{
    require(!header.chain.empty());
    require(header.hop < header.chain.size());
    require(header.eligible <= header.chain.size());
    require(header.leastFeedsHop < header.chain.size());
}

} // namespace

// libFuzzer defines the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static protocol::DatagramCodec decoder;
    static protocol::DatagramCodec encoder;
    static protocol::DatagramCodec secondDecoder;
    const auto decoded = decoder.decode(std::as_bytes(std::span(data, size)));
    if (!decoded) {
        return 0;
    }
    if (const auto *envelope = std::get_if<protocol::Envelope>(&decoded->message)) {
        checkEnvelope(envelope->header);
    }
    const auto encoded = encoder.encode(decoded->message, decoded->logicalTime);
    if (!encoded) {
        // Text and lists that refer to the same bytes many times grow when they are written out.
        return 0;
    }
    const auto again = secondDecoder.decode(*encoded);
    require(static_cast<bool>(again));
    require(again->message.index() == decoded->message.index());
    if (const auto *envelope = std::get_if<protocol::Envelope>(&decoded->message)) {
        require(std::get<protocol::Envelope>(again->message).header == envelope->header);
    }
    return 0;
}
