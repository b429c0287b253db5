#include "balancer/ownersearches.h"

#include "routing/searchchain.h"
#include "telemetry/logging.h"

#include <chrono>
#include <utility>

namespace samphireswitch::balancer {

namespace {

// Timeout for the receipt of a packet that the balancer sent to an agent during a search. The queue of a 10 Mbit/s link
// delays packets by up to 50 ms.
constexpr std::chrono::milliseconds s_acknowledgementTimeout {60};
// Receipts are late while the link of the balancer is saturated, and unlimited retransmissions would keep it saturated.
// Retransmissions at this rate use a tenth of a 10 Mbit/s link.
constexpr double s_searchResendsPerSecond = 60;

} // namespace

OwnerSearches::OwnerSearches(const Endpoint &receiptAddress,
                             const PacketFormat &format,
                             routing::FlowRouter &router,
                             PacketPathCounters &counters,
                             SearchOutlet outlet)
    : m_receiptAddress(receiptAddress)
    , m_format(format)
    , m_router(router)
    , m_counters(counters)
    , m_outlet(std::move(outlet))
    , m_unacknowledged({.timeout = s_acknowledgementTimeout})
    , m_resendLimiter(s_searchResendsPerSecond)
{
}

void OwnerSearches::begin(const routing::Forward &forward, std::span<const std::byte> bytes, TimePoint now)
{
    send(forward.header, bytes, now);
    for (const protocol::EnvelopeHeader &part : forward.furtherParts) {
        send(part, bytes, now);
    }
}

void OwnerSearches::send(const protocol::EnvelopeHeader &header, std::span<const std::byte> bytes, TimePoint now)
{
    protocol::EnvelopeHeader sent = header;
    if (m_unacknowledged.isCurrentAgentSilent(sent, now)) {
        skipSilentAgent({sent, {bytes.begin(), bytes.end()}}, now);
        return;
    }
    if (m_receiptAddress.port != 0) {
        sent.sender = m_receiptAddress;
        // The time in 'now' is that of the start of the batch, but the timeout of the receipt starts with the sending.
        sent.receipt = m_unacknowledged.keep(header, bytes, Clock::now());
    }
    m_outlet.sendEnvelope(sent, bytes);
}

void OwnerSearches::acknowledge(std::uint32_t number)
{
    m_unacknowledged.acknowledge(number);
}

void OwnerSearches::handleUnanswered(const protocol::EnvelopeHeader &header,
                                     std::span<const std::byte> bytes,
                                     TimePoint now)
{
    const auto packet = std::visit([bytes](const auto &kind) { return kind.parse(bytes); }, m_format);
    if (!packet) {
        m_counters.droppedMalformed.add(1);
        return;
    }
    m_router.searchUnanswered(packet->key, header, now);
    const bool isRepeated = m_repeats.keep(packet->key, {header, {bytes.begin(), bytes.end()}}, now);
    telemetry::logEvent(telemetry::Severity::Info,
                        "search-unanswered",
                        {{"flow", flow::toString(packet->key)},
                         {"silent_agents", header.chain.size()},
                         {"first", toString(header.chain.front().endpoint)},
                         {"repeats", header.repeats},
                         {"is_repeated", isRepeated}});
}

bool OwnerSearches::isPending() const
{
    return !m_unacknowledged.empty() || !m_repeats.empty();
}

void OwnerSearches::advance(TimePoint now)
{
    for (auto &search : m_unacknowledged.takeExpired(now)) {
        if (tryAcquireResend(now)) {
            skipSilentAgent(std::move(search), now);
        } else {
            abandon(search);
        }
    }
    for (auto &search : m_repeats.takeDue(now)) {
        if (tryAcquireResend(now)) {
            repeat(std::move(search), now);
        }
    }
}

bool OwnerSearches::tryAcquireResend(TimePoint now)
{
    if (m_resendLimiter.tryAcquire(now)) {
        return true;
    }
    // The next retransmission of the caller starts a new search.
    m_counters.resendsSuppressed.add(1);
    return false;
}

void OwnerSearches::abandon(const routing::UnacknowledgedSearches::Search &search)
{
    const auto packet =
        std::visit([&search](const auto &kind) { return kind.parse(std::span(search.packet)); }, m_format);
    if (packet) {
        m_router.abandonSearch(packet->key);
    }
}

void OwnerSearches::skipSilentAgent(routing::UnacknowledgedSearches::Search search, TimePoint now)
{
    m_counters.agentsUnanswered.add(1);
    routing::skipCurrentAgent(search.header);
    if (routing::isSearchOver(search.header)) {
        handleUnanswered(routing::repeatForUnanswered(search.header), search.packet, now);
        return;
    }
    send(search.header, search.packet, now);
}

void OwnerSearches::repeat(routing::SearchRepeats::Search search, TimePoint now)
{
    const auto packet =
        std::visit([&search](const auto &kind) { return kind.parse(std::span(search.packet)); }, m_format);
    if (!packet) {
        return;
    }
    if (m_router.knowsOwner(packet->key)) {
        m_outlet.forward(*packet, search.packet, now);
        return;
    }
    search.header.search = m_router.nextSearchId(now);
    send(search.header, search.packet, now);
}

} // namespace samphireswitch::balancer
