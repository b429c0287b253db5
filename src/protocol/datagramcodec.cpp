#include "protocol/datagramcodec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <cstring>
#include <limits>

namespace samphireswitch::protocol {

namespace {

// Covers an envelope with a full chain and a packet of 1,500 bytes without growing.
constexpr std::size_t s_segmentWords = 512;
constexpr std::size_t s_bytesPerWord = sizeof(capnp::word);
constexpr std::size_t s_maximumListLength = 4096;
// A datagram cannot hold more than this; the limit stops messages whose pointers refer to the same data many times.
constexpr std::uint64_t s_traversalLimitWords = 16 * s_maximumDatagramSize / s_bytesPerWord;
constexpr int s_nestingLimit = 8;
constexpr std::int64_t s_maximumAgeMilliseconds = std::numeric_limits<std::uint32_t>::max();
// Incarnations are microseconds since 1970 and versions count changes. A member outbids a wrong record of itself by
// one, which must not wrap around to zero.
constexpr std::uint64_t s_maximumMemberNumber = std::uint64_t {1} << 62U;

Error malformed(std::string message)
{
    return {ResultCode::MessageMalformed, std::move(message)};
}

void writeEndpoint(const Endpoint &endpoint, wire::Endpoint::Builder builder)
{
    builder.setAddress(endpoint.address);
    builder.setPort(endpoint.port);
}

Endpoint readEndpoint(wire::Endpoint::Reader reader)
{
    return {reader.getAddress(), reader.getPort()};
}

void writeCandidate(const Candidate &candidate, wire::Candidate::Builder builder)
{
    builder.setAgent(candidate.agent.value);
    builder.setAddress(candidate.endpoint.address);
    builder.setPort(candidate.endpoint.port);
}

Candidate readCandidate(wire::Candidate::Reader reader)
{
    return {AgentId {reader.getAgent()}, {reader.getAddress(), reader.getPort()}};
}

void writeKey(const flow::FlowKey &key, wire::FlowKey::Builder builder)
{
    writeEndpoint(key.source, builder.initSource());
    writeEndpoint(key.destination, builder.initDestination());
}

flow::FlowKey readKey(wire::FlowKey::Reader reader)
{
    return {readEndpoint(reader.getSource()), readEndpoint(reader.getDestination())};
}

void writeExhaustiveSearch(const ExhaustiveSearch &search, wire::ExhaustiveSearch::Builder builder)
{
    builder.setBegun(search.stamp.begun);
    builder.setReachableVersion(search.stamp.reachable);
    builder.setKnownVersion(search.stamp.known);
    builder.setAnswers(search.answers.count);
    builder.setReturned(search.answers.returned);
    builder.setNoUpstream(search.answers.noUpstream);
}

ExhaustiveSearch readExhaustiveSearch(wire::ExhaustiveSearch::Reader reader)
{
    return {{reader.getBegun(), reader.getReachableVersion(), reader.getKnownVersion()},
            {reader.getAnswers(), reader.getReturned(), reader.getNoUpstream()}};
}

void writeHeader(const EnvelopeHeader &header, wire::Envelope::Builder builder)
{
    builder.setService(header.service.value);
    builder.setGeneration(header.generation);
    writeEndpoint(header.origin, builder.initOrigin());
    auto chain = builder.initChain(static_cast<unsigned>(header.chain.size()));
    unsigned index = 0;
    for (const Candidate &candidate : header.chain) {
        writeCandidate(candidate, chain[index]);
        ++index;
    }
    builder.setEligible(header.eligible);
    builder.setHop(header.hop);
    builder.setDirected(header.directed);
    builder.setGrant(header.grant);
    builder.setEjected(header.ejected);
    builder.setLeastFeeds(header.leastFeeds);
    builder.setLeastFeedsHop(header.leastFeedsHop);
    builder.setExtended(header.extended);
    if (header.exhaustive) {
        writeExhaustiveSearch(*header.exhaustive, builder.initExhaustiveSearch());
    }
    builder.setSearch(header.search);
    builder.setDeferred(header.deferred);
    builder.setUnanswered(header.unanswered);
    builder.setRepeats(header.repeats);
    builder.setReceipt(header.receipt);
    builder.setLocated(header.located.value);
    // Several upstreams that do not hold the flow would get the packet from agents of earlier versions.
    builder.setForbidsTrials(true);
    builder.setAllowsTrial(header.allowsTrial);
    if (header.receipt != 0) {
        writeEndpoint(header.sender, builder.initSender());
    }
}

Result<Message> readEnvelope(wire::Envelope::Reader reader)
{
    Envelope envelope;
    EnvelopeHeader &header = envelope.header;
    header.service.value = reader.getService();
    header.generation = reader.getGeneration();
    header.origin = readEndpoint(reader.getOrigin());
    const auto chain = reader.getChain();
    if (chain.size() == 0 || chain.size() > s_maximumChainLength) {
        return boost::leaf::new_error(malformed("an envelope has a chain of " + std::to_string(chain.size())));
    }
    for (const auto candidate : chain) {
        header.chain.push_back(readCandidate(candidate));
    }
    header.eligible = reader.getEligible();
    header.hop = reader.getHop();
    header.directed = reader.getDirected();
    header.grant = reader.getGrant();
    header.ejected = reader.getEjected();
    header.leastFeeds = reader.getLeastFeeds();
    header.leastFeedsHop = reader.getLeastFeedsHop();
    header.extended = reader.getExtended();
    if (reader.hasExhaustiveSearch()) {
        header.exhaustive = readExhaustiveSearch(reader.getExhaustiveSearch());
    }
    header.search = reader.getSearch();
    header.deferred = reader.getDeferred();
    header.unanswered = reader.getUnanswered();
    header.repeats = reader.getRepeats();
    header.receipt = reader.getReceipt();
    header.located.value = reader.getLocated();
    header.allowsTrial = reader.getAllowsTrial();
    if (header.receipt != 0) {
        header.sender = readEndpoint(reader.getSender());
    }
    if (header.hop >= chain.size() || header.eligible > chain.size() || header.leastFeedsHop >= chain.size()) {
        return boost::leaf::new_error(malformed("an envelope refers to a candidate outside its chain"));
    }
    // Sums of narrow integers do not overflow an int.
    if (header.hop + header.unanswered >= static_cast<int>(chain.size())
        || header.deferred + header.unanswered > static_cast<int>(chain.size())) {
        return boost::leaf::new_error(malformed("an envelope has more unanswered candidates than its chain"));
    }
    const auto packet = reader.getPacket();
    envelope.packet = std::as_bytes(std::span(packet.begin(), packet.size()));
    return Message {envelope};
}

template<typename Builder>
void writeRecords(const std::vector<MemberRecord> &records, Builder builder)
{
    unsigned index = 0;
    for (const MemberRecord &record : records) {
        writeMemberRecord(record, builder[index]);
        ++index;
    }
}

Result<std::vector<MemberRecord>> readRecords(capnp::List<wire::MemberRecord>::Reader reader)
{
    if (reader.size() > s_maximumListLength) {
        return boost::leaf::new_error(malformed("a list has " + std::to_string(reader.size()) + " member records"));
    }
    std::vector<MemberRecord> records;
    records.reserve(reader.size());
    for (const auto record : reader) {
        BOOST_LEAF_AUTO(value, readMemberRecord(record));
        records.push_back(std::move(value));
    }
    return records;
}

/** Writes each kind of message into the union. */
struct MessageWriter
{
    wire::Datagram::Builder datagram;

    void operator()(const Envelope &message)
    {
        auto builder = datagram.initEnvelope();
        writeHeader(message.header, builder);
        builder.setPacket(
            kj::arrayPtr(reinterpret_cast<const kj::byte *>(message.packet.data()), message.packet.size()));
    }

    void operator()(const Receipt &message)
    {
        datagram.initReceipt().setNumber(message.number);
    }

    void operator()(const LocationRecords &message)
    {
        auto builder = datagram.initLocationRecords();
        writeCandidate(message.owner, builder.initOwner());
        writeEndpoint(message.sender, builder.initSender());
        auto flows = builder.initFlows(static_cast<unsigned>(message.flows.size()));
        unsigned index = 0;
        for (const LocatedFlow &located : message.flows) {
            flows[index].setSourceAddress(located.key.source.address);
            flows[index].setSourcePort(located.key.source.port);
            flows[index].setDestinationAddress(located.key.destination.address);
            flows[index].setDestinationPort(located.key.destination.port);
            flows[index].setSequenceNumber(located.sequenceNumber);
            ++index;
        }
    }

    void operator()(const LocationRequest &message)
    {
        writeCandidate(message.owner, datagram.initLocationRequest().initOwner());
    }

    void operator()(const SearchEnded &message)
    {
        auto builder = datagram.initSearchEnded();
        writeKey(message.flow, builder.initFlow());
        builder.setAcknowledgementNumber(message.acknowledgementNumber);
        writeExhaustiveSearch(message.search, builder.initSearch());
        writeEndpoint(message.lastAgent, builder.initLastAgent());
    }

    void operator()(const FirstPacketRefused &message)
    {
        auto builder = datagram.initFirstPacketRefused();
        writeKey(message.flow, builder.initFlow());
        builder.setSequenceNumber(message.sequenceNumber);
        builder.setCopy(message.copy);
        writeEndpoint(message.lastAgent, builder.initLastAgent());
    }

    void operator()(const OwnerHint &message)
    {
        auto builder = datagram.initOwnerHint();
        writeKey(message.key, builder.initKey());
        writeCandidate(message.owner, builder.initOwner());
        builder.setGeneration(message.generation);
    }

    void operator()(const Waiting &message)
    {
        auto builder = datagram.initWaiting();
        builder.setService(message.service.value);
        writeCandidate(message.sender, builder.initSender());
        builder.setCount(message.count);
        builder.setOldestAgeMicroseconds(static_cast<std::uint64_t>(message.oldestAge.count()));
    }

    void operator()(const SlotOffer &message)
    {
        auto builder = datagram.initSlotOffer();
        builder.setService(message.service.value);
        writeCandidate(message.sender, builder.initSender());
        builder.setOffer(message.offer);
        builder.setValidityMicroseconds(static_cast<std::uint64_t>(message.validity.count()));
    }

    void operator()(const OfferDeclined &message)
    {
        auto builder = datagram.initOfferDeclined();
        builder.setService(message.service.value);
        writeCandidate(message.sender, builder.initSender());
        builder.setOffer(message.offer);
    }

    void operator()(const Announce &message)
    {
        auto builder = datagram.initAnnounce();
        writeMemberRecord(message.member, builder.initMember());
        builder.setGeneration(message.generation);
        builder.setViewHash(message.viewHash);
        builder.setToRegistrar(message.toRegistrar);
    }

    void operator()(const AnnounceAck &message)
    {
        auto builder = datagram.initAnnounceAck();
        builder.setGeneration(message.generation);
        writeRecords(message.balancers, builder.initBalancers(static_cast<unsigned>(message.balancers.size())));
        writeRecords(message.members, builder.initMembers(static_cast<unsigned>(message.members.size())));
        builder.setViewHash(message.viewHash);
        builder.setAnnounceAgain(message.announceAgain);
        writeContentState(message.content, builder.initConfiguration());
    }

    void operator()(const MemberUpdate &message)
    {
        auto builder = datagram.initMemberUpdate();
        writeRecords(message.records, builder.initRecords(static_cast<unsigned>(message.records.size())));
    }

    void operator()(const Digest &message)
    {
        auto builder = datagram.initDigest();
        writeEndpoint(message.sender, builder.initSender());
        builder.setGeneration(message.generation);
        builder.setMembershipHash(message.membershipHash);
        writeContentState(message.content, builder.initConfiguration());
    }

    void operator()(const ConfirmationNotice &message)
    {
        auto builder = datagram.initConfirmationNotice();
        builder.setGeneration(message.generation);
        writeContentState(message.content, builder.initConfiguration());
    }

    void operator()(const Heartbeat &message)
    {
        auto builder = datagram.initHeartbeat();
        builder.setId(message.id);
        builder.setIncarnation(message.incarnation);
        builder.setVersion(message.version);
        builder.setGeneration(message.generation);
        builder.setViewHash(message.viewHash);
        builder.setToRegistrar(message.toRegistrar);
        builder.setAcknowledge(message.acknowledge);
    }
};

/** Limits an unsigned wire value to what a duration holds. */
std::chrono::microseconds readMicroseconds(std::uint64_t value)
{
    constexpr auto maximum = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 1'000'000);
    return std::chrono::microseconds(static_cast<std::int64_t>(std::min(value, maximum)));
}

Result<Message> readAnnounce(wire::Announce::Reader reader)
{
    BOOST_LEAF_AUTO(member, readMemberRecord(reader.getMember()));
    return Message {
        Announce {std::move(member), reader.getGeneration(), reader.getViewHash(), reader.getToRegistrar()}};
}

Result<Message> readAnnounceAck(wire::AnnounceAck::Reader reader)
{
    BOOST_LEAF_AUTO(balancers, readRecords(reader.getBalancers()));
    BOOST_LEAF_AUTO(members, readRecords(reader.getMembers()));
    return Message {AnnounceAck {reader.getGeneration(),
                                 std::move(balancers),
                                 std::move(members),
                                 reader.getViewHash(),
                                 reader.getAnnounceAgain(),
                                 readContentState(reader.getConfiguration())}};
}

Result<Message> readLocationRecords(wire::LocationRecords::Reader reader)
{
    const auto flows = reader.getFlows();
    if (flows.size() > s_maximumListLength) {
        return boost::leaf::new_error(malformed("a list has " + std::to_string(flows.size()) + " located flows"));
    }
    LocationRecords records;
    records.owner = readCandidate(reader.getOwner());
    records.sender = readEndpoint(reader.getSender());
    records.flows.reserve(flows.size());
    for (const auto located : flows) {
        const flow::FlowKey key {{located.getSourceAddress(), located.getSourcePort()},
                                 {located.getDestinationAddress(), located.getDestinationPort()}};
        records.flows.push_back({key, located.getSequenceNumber()});
    }
    return Message {std::move(records)};
}

Message readHeartbeat(wire::Heartbeat::Reader reader)
{
    return Heartbeat {reader.getId(),
                      reader.getIncarnation(),
                      reader.getVersion(),
                      reader.getGeneration(),
                      reader.getViewHash(),
                      reader.getToRegistrar(),
                      reader.getAcknowledge()};
}

Result<Message> readDatagram(wire::Datagram::Reader reader)
{
    switch (reader.which()) {
    case wire::Datagram::ENVELOPE:
        return readEnvelope(reader.getEnvelope());
    case wire::Datagram::OWNER_HINT: {
        const auto hint = reader.getOwnerHint();
        return Message {OwnerHint {readKey(hint.getKey()), readCandidate(hint.getOwner()), hint.getGeneration()}};
    }
    case wire::Datagram::WAITING: {
        const auto waiting = reader.getWaiting();
        return Message {Waiting {ServiceId {waiting.getService()},
                                 readCandidate(waiting.getSender()),
                                 waiting.getCount(),
                                 readMicroseconds(waiting.getOldestAgeMicroseconds())}};
    }
    case wire::Datagram::SLOT_OFFER: {
        const auto offer = reader.getSlotOffer();
        return Message {SlotOffer {ServiceId {offer.getService()},
                                   readCandidate(offer.getSender()),
                                   offer.getOffer(),
                                   readMicroseconds(offer.getValidityMicroseconds())}};
    }
    case wire::Datagram::OFFER_DECLINED: {
        const auto declined = reader.getOfferDeclined();
        return Message {OfferDeclined {
            ServiceId {declined.getService()}, readCandidate(declined.getSender()), declined.getOffer()}};
    }
    case wire::Datagram::ANNOUNCE:
        return readAnnounce(reader.getAnnounce());
    case wire::Datagram::ANNOUNCE_ACK:
        return readAnnounceAck(reader.getAnnounceAck());
    case wire::Datagram::MEMBER_UPDATE: {
        BOOST_LEAF_AUTO(records, readRecords(reader.getMemberUpdate().getRecords()));
        return Message {MemberUpdate {std::move(records)}};
    }
    case wire::Datagram::DIGEST: {
        const auto digest = reader.getDigest();
        return Message {Digest {readEndpoint(digest.getSender()),
                                digest.getGeneration(),
                                digest.getMembershipHash(),
                                readContentState(digest.getConfiguration())}};
    }
    case wire::Datagram::CONFIRMATION_NOTICE: {
        const auto notice = reader.getConfirmationNotice();
        return Message {ConfirmationNotice {notice.getGeneration(), readContentState(notice.getConfiguration())}};
    }
    case wire::Datagram::HEARTBEAT:
        return readHeartbeat(reader.getHeartbeat());
    case wire::Datagram::RECEIPT:
        return Message {Receipt {reader.getReceipt().getNumber()}};
    case wire::Datagram::LOCATION_RECORDS:
        return readLocationRecords(reader.getLocationRecords());
    case wire::Datagram::LOCATION_REQUEST:
        return Message {LocationRequest {readCandidate(reader.getLocationRequest().getOwner())}};
    case wire::Datagram::SEARCH_ENDED: {
        const auto ended = reader.getSearchEnded();
        return Message {SearchEnded {readKey(ended.getFlow()),
                                     ended.getAcknowledgementNumber(),
                                     readExhaustiveSearch(ended.getSearch()),
                                     readEndpoint(ended.getLastAgent())}};
    }
    case wire::Datagram::FIRST_PACKET_REFUSED: {
        const auto refused = reader.getFirstPacketRefused();
        return Message {FirstPacketRefused {readKey(refused.getFlow()),
                                            refused.getSequenceNumber(),
                                            refused.getCopy(),
                                            readEndpoint(refused.getLastAgent())}};
    }
    }
    return boost::leaf::new_error(malformed("the datagram has an unknown kind"));
}

std::span<const std::byte> flatten(capnp::MessageBuilder &builder, std::vector<std::uint64_t> &output)
{
    const std::size_t words = capnp::computeSerializedSizeInWords(builder);
    if (output.size() < words) {
        output.resize(words);
    }
    const std::size_t bytes = words * s_bytesPerWord;
    kj::ArrayOutputStream stream(kj::arrayPtr(reinterpret_cast<kj::byte *>(output.data()), bytes));
    capnp::writeMessage(stream, builder);
    return std::as_bytes(std::span(output)).first(bytes);
}

} // namespace

ContentState readContentState(wire::ContentState::Reader reader)
{
    ContentState state;
    state.contentHash = reader.getContentHash();
    if (reader.getIsConfirmed()) {
        state.confirmedAge = std::chrono::milliseconds(reader.getConfirmedAgeMilliseconds());
    }
    return state;
}

void writeContentState(const ContentState &state, wire::ContentState::Builder builder)
{
    builder.setContentHash(state.contentHash);
    // A confirmation that is older than the field can hold, 49 days, is as good as none.
    const bool isConfirmed = state.confirmedAge && state.confirmedAge->count() <= s_maximumAgeMilliseconds;
    builder.setIsConfirmed(isConfirmed);
    builder.setConfirmedAgeMilliseconds(isConfirmed ? static_cast<std::uint32_t>(state.confirmedAge->count()) : 0);
}

Result<MemberRecord> readMemberRecord(wire::MemberRecord::Reader reader)
{
    if (reader.getState() > wire::MemberState::STOPPING || reader.getLiveness() > wire::Liveness::DEAD
        || reader.getRole() > wire::MemberRole::BALANCER) {
        return boost::leaf::new_error(malformed("a member record has an unknown state, liveness or role"));
    }
    if (reader.getIncarnation() > s_maximumMemberNumber || reader.getVersion() > s_maximumMemberNumber) {
        return boost::leaf::new_error(malformed("a member record has an incarnation or version that is too high"));
    }
    if (reader.getUpstreamLeftAt() > s_maximumMemberNumber) {
        return boost::leaf::new_error(malformed("a member record has a time of departure that is too late"));
    }
    MemberRecord record;
    record.id = reader.getId();
    record.role = static_cast<MemberRole>(reader.getRole());
    record.incarnation = reader.getIncarnation();
    record.version = reader.getVersion();
    record.state = static_cast<MemberState>(reader.getState());
    record.liveness = static_cast<Liveness>(reader.getLiveness());
    record.service.value = reader.getService();
    record.data = readEndpoint(reader.getData());
    record.control = readEndpoint(reader.getControl());
    record.name = reader.getName();
    record.failureDomain = reader.getFailureDomain();
    record.linkRate = reader.getLinkRate();
    record.processorShare = reader.getProcessorShare();
    record.upstreamLeftAt = std::chrono::milliseconds(reader.getUpstreamLeftAt());
    return record;
}

void writeMemberRecord(const MemberRecord &record, wire::MemberRecord::Builder builder)
{
    builder.setId(record.id);
    builder.setRole(static_cast<wire::MemberRole>(record.role));
    builder.setIncarnation(record.incarnation);
    builder.setVersion(record.version);
    builder.setState(static_cast<wire::MemberState>(record.state));
    builder.setLiveness(static_cast<wire::Liveness>(record.liveness));
    builder.setService(record.service.value);
    writeEndpoint(record.data, builder.initData());
    writeEndpoint(record.control, builder.initControl());
    builder.setName(record.name);
    builder.setFailureDomain(record.failureDomain);
    builder.setLinkRate(record.linkRate);
    builder.setProcessorShare(record.processorShare);
    builder.setUpstreamLeftAt(static_cast<std::uint64_t>(record.upstreamLeftAt.count()));
}

DatagramCodec::DatagramCodec()
    : m_segment(s_segmentWords)
    , m_output(s_segmentWords)
{
}

Result<std::span<const std::byte>> DatagramCodec::encode(const Message &message, std::uint64_t logicalTime)
{
    // Cap'n Proto requires that the first segment is zero.
    std::fill(m_segment.begin(), m_segment.end(), 0);
    capnp::MallocMessageBuilder builder(
        kj::arrayPtr(reinterpret_cast<capnp::word *>(m_segment.data()), m_segment.size()));
    auto root = builder.initRoot<wire::Datagram>();
    root.setLogicalTime(logicalTime);
    std::visit(MessageWriter {root}, message);
    const auto bytes = flatten(builder, m_output);
    if (bytes.size() > s_maximumDatagramSize) {
        return boost::leaf::new_error(
            Error {ResultCode::MessageTooLarge, "the message has " + std::to_string(bytes.size()) + " bytes"});
    }
    return bytes;
}

Result<std::span<const std::byte>> DatagramCodec::encodeEnvelope(const EnvelopeHeader &header,
                                                                 std::span<const std::byte> packet,
                                                                 std::uint64_t logicalTime)
{
    return encode(Envelope {header, packet}, logicalTime);
}

Result<Datagram> DatagramCodec::decode(std::span<const std::byte> datagram)
{
    if (datagram.empty() || datagram.size() % s_bytesPerWord != 0 || datagram.size() > s_maximumDatagramSize) {
        return boost::leaf::new_error(malformed("a datagram of " + std::to_string(datagram.size()) + " bytes"));
    }
    const std::byte *data = datagram.data();
    if (reinterpret_cast<std::uintptr_t>(data) % alignof(std::uint64_t) != 0) {
        m_aligned.resize(datagram.size() / s_bytesPerWord);
        std::memcpy(m_aligned.data(), data, datagram.size());
        data = reinterpret_cast<const std::byte *>(m_aligned.data());
    }
    try {
        const capnp::ReaderOptions options {s_traversalLimitWords, s_nestingLimit};
        capnp::FlatArrayMessageReader reader(
            kj::arrayPtr(reinterpret_cast<const capnp::word *>(data), datagram.size() / s_bytesPerWord), options);
        const auto root = reader.getRoot<wire::Datagram>();
        BOOST_LEAF_AUTO(message, readDatagram(root));
        return Datagram {std::move(message), root.getLogicalTime()};
    } catch (const kj::Exception &exception) {
        return boost::leaf::new_error(malformed(exception.getDescription().cStr()));
    }
}

} // namespace samphireswitch::protocol
