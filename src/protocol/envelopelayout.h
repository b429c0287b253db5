#pragma once

#include "protocol/messages.h"
#include "protocol/samphireswitch.capnp.h"

#include <bit>
#include <cstddef>
#include <cstdint>

/**
 * The words of an envelope's datagram as Cap'n Proto's builder lays them out (https://capnproto.org/encoding.html):
 * segment table, root pointer, Datagram, Envelope, origin, list of candidates, packet. Encoding through these
 * structures takes a fraction of the builder's time. DatagramCodecTest compares the bytes with the builder's.
 */
namespace samphireswitch::protocol::detail {

static_assert(std::endian::native == std::endian::little, "Cap'n Proto's words are little-endian");

constexpr std::size_t s_wordBytes = 8;

/** Pointer to a struct that starts @p offset words after the pointer's end. */
template<typename Struct>
constexpr std::uint64_t structPointer(std::uint32_t offset)
{
    return (std::uint64_t {Struct::_capnpPrivate::pointerCount} << 48U)
        | (std::uint64_t {Struct::_capnpPrivate::dataWordSize} << 32U) | (std::uint64_t {offset} << 2U);
}

enum class ElementSize : std::uint8_t { Byte = 2, InlineComposite = 7 };

/** Pointer to a list; @p count is the number of elements, or of words after the tag for structs. */
constexpr std::uint64_t listPointer(std::uint32_t offset, ElementSize size, std::uint32_t count)
{
    constexpr std::uint64_t listKind = 1;
    return (std::uint64_t {count} << 35U) | (static_cast<std::uint64_t>(size) << 32U) | (std::uint64_t {offset} << 2U)
        | listKind;
}

struct EndpointWords
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    std::uint16_t unused = 0;
};

struct CandidateWords
{
    std::uint64_t agent = 0;
    EndpointWords endpoint;
};

struct EnvelopeWords
{
    std::uint64_t service = 0;
    std::uint64_t generation = 0;
    std::uint8_t eligible = 0;
    std::uint8_t hop = 0;
    std::uint8_t directed = 0;
    std::uint8_t ejected = 0;
    std::uint32_t leastFeeds = 0;
    std::uint64_t grant = 0;
    std::uint64_t leastFeedsHop = 0;
    std::uint64_t originPointer = 0;
    std::uint64_t chainPointer = 0;
    std::uint64_t packetPointer = 0;
};

struct DatagramWords
{
    std::uint64_t which = 0;
    std::uint64_t logicalTime = 0;
    std::uint64_t envelopePointer = 0;
};

/** Everything before the candidates. */
struct EnvelopePrefix
{
    std::uint32_t segmentsLessOne = 0;
    std::uint32_t segmentWords = 0;
    std::uint64_t rootPointer = structPointer<wire::Datagram>(0);
    DatagramWords datagram;
    EnvelopeWords envelope;
    EndpointWords origin;
    /** Has the form of a struct pointer whose offset is the number of candidates. */
    std::uint64_t chainTag = 0;
};

template<typename Struct, typename Words>
constexpr bool hasSizeOf = sizeof(Words)
    == s_wordBytes *(std::size_t {Struct::_capnpPrivate::dataWordSize} + Struct::_capnpPrivate::pointerCount);

static_assert(hasSizeOf<wire::Endpoint, EndpointWords>);
static_assert(hasSizeOf<wire::Candidate, CandidateWords>);
static_assert(hasSizeOf<wire::Envelope, EnvelopeWords>);
static_assert(hasSizeOf<wire::Datagram, DatagramWords>);

constexpr std::uint32_t wordsOf(std::size_t bytes)
{
    return static_cast<std::uint32_t>((bytes + s_wordBytes - 1) / s_wordBytes);
}

constexpr EndpointWords toWords(const Endpoint &endpoint)
{
    return {endpoint.address, endpoint.port, 0};
}

/** The words before the candidates of an envelope with @p header and a packet of @p packetBytes. */
inline EnvelopePrefix makePrefix(const EnvelopeHeader &header, std::size_t packetBytes, std::uint64_t logicalTime)
{
    const auto chainLength = static_cast<std::uint32_t>(header.chain.size());
    const std::uint32_t chainWords = chainLength * wordsOf(sizeof(CandidateWords));
    EnvelopePrefix prefix;
    // The segment table itself is not part of the segment.
    prefix.segmentWords = wordsOf(sizeof(prefix)) - 1 + chainWords + wordsOf(packetBytes);
    prefix.datagram.which = wire::Datagram::ENVELOPE;
    prefix.datagram.logicalTime = logicalTime;
    prefix.datagram.envelopePointer = structPointer<wire::Envelope>(0);
    prefix.envelope.service = header.service.value;
    prefix.envelope.generation = header.generation;
    prefix.envelope.eligible = header.eligible;
    prefix.envelope.hop = header.hop;
    prefix.envelope.directed = header.directed ? 1 : 0;
    prefix.envelope.ejected = header.ejected;
    prefix.envelope.leastFeeds = header.leastFeeds;
    prefix.envelope.grant = header.grant;
    prefix.envelope.leastFeedsHop = header.leastFeedsHop;
    // The origin follows the 2 pointers after its own, the chain's tag follows 1 pointer and the origin, and the packet
    // follows the origin, the tag and the candidates.
    prefix.envelope.originPointer = structPointer<wire::Endpoint>(2);
    prefix.envelope.chainPointer = listPointer(2, ElementSize::InlineComposite, chainWords);
    prefix.envelope.packetPointer =
        listPointer(2 + chainWords, ElementSize::Byte, static_cast<std::uint32_t>(packetBytes));
    prefix.origin = toWords(header.origin);
    prefix.chainTag = structPointer<wire::Candidate>(chainLength);
    return prefix;
}

} // namespace samphireswitch::protocol::detail
