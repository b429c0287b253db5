#include "routing/flowrouter.h"

#include "routing/candidatechain.h"

#include <utility>

namespace samphireswitch::routing {

FlowRouter::FlowRouter(const Endpoint &origin, HintTable hints)
    : m_origin(origin)
    , m_hints(std::move(hints))
{
}

RouteDecision FlowRouter::route(const flow::PacketView &packet, TimePoint /*now*/)
{
    if (!m_table) {
        return Drop {DropReason::NoTable};
    }
    // Located before it is needed, because the lookup of the service takes as long as the access to the hint.
    const bool isFirst = packet.isFirstPacket();
    const HintTable::Location hint = isFirst ? HintTable::Location() : m_hints.locate(packet.key());
    const ServiceRoute *route = m_table->find(packet.key().destination);
    if (route == nullptr) {
        return Drop {DropReason::NoService};
    }
    RouteDecision decision(std::in_place_type<Forward>);
    protocol::EnvelopeHeader &header = std::get<Forward>(decision).header;
    header.service = route->service();
    header.generation = m_table->generation();
    header.origin = m_origin;
    if (isFirst) {
        appendEligible(packet.key(), *route, header.chain);
        header.eligible = static_cast<std::uint8_t>(header.chain.size());
    } else if (const protocol::Candidate *owner = hintedOwner(hint, *route)) {
        header.chain.push_back(*owner);
    } else {
        appendEligible(packet.key(), *route, header.chain);
        header.eligible = static_cast<std::uint8_t>(header.chain.size());
        appendOthers(*route, header.chain);
    }
    if (header.chain.empty()) {
        decision = Drop {DropReason::NoMember};
    }
    return decision;
}

void FlowRouter::learn(const protocol::OwnerHint &hint, TimePoint /*now*/)
{
    if (!m_table || m_table->find(hint.key.destination) == nullptr) {
        ++m_counters.hintsRejected;
        return;
    }
    m_hints.insert(hint.key, hint.owner.agent);
    ++m_counters.hintsLearned;
}

void FlowRouter::replace(std::shared_ptr<const RoutingTable> table)
{
    m_table = std::move(table);
}

const std::shared_ptr<const RoutingTable> &FlowRouter::table() const
{
    return m_table;
}

const FlowRouterCounters &FlowRouter::counters() const
{
    return m_counters;
}

const HintTable &FlowRouter::hints() const
{
    return m_hints;
}

const protocol::Candidate *FlowRouter::hintedOwner(const HintTable::Location &hint, const ServiceRoute &route)
{
    const auto match = m_hints.find(hint);
    if (!match) {
        return nullptr;
    }
    for (const protocol::Candidate &member : route.members()) {
        if (HintTable::tagOf(member.agent) != match->agent) {
            continue;
        }
        m_hints.markUsed(*match);
        ++m_counters.hintsUsed;
        return &member;
    }
    ++m_counters.hintsStale;
    return nullptr;
}

} // namespace samphireswitch::routing
