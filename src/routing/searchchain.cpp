#include "routing/searchchain.h"

#include <algorithm>
#include <span>

namespace samphireswitch::routing {

namespace {

using protocol::EnvelopeHeader;

/** Index of the first agent that did not acknowledge the packet, or the chain's size if there is none. */
std::size_t unansweredBegin(const EnvelopeHeader &header)
{
    return header.chain.size() - header.unanswered;
}

/** Index of the first deferred agent, or unansweredBegin() if there is none. */
std::size_t deferredBegin(const EnvelopeHeader &header)
{
    return unansweredBegin(header) - header.deferred;
}

/** Moves the current agent to the position before index @p end; the agents in between move forward by one. */
void moveCurrent(EnvelopeHeader &header, std::size_t end)
{
    const auto begin = header.chain.begin();
    std::rotate(begin + header.hop, begin + header.hop + 1, begin + static_cast<std::ptrdiff_t>(end));
}

} // namespace

bool isSearchOver(const EnvelopeHeader &header)
{
    return header.hop >= unansweredBegin(header);
}

bool isDeferred(const EnvelopeHeader &header)
{
    return header.hop >= deferredBegin(header);
}

void deferCurrentAgent(EnvelopeHeader &header)
{
    moveCurrent(header, unansweredBegin(header));
    ++header.deferred;
}

void skipCurrentAgent(EnvelopeHeader &header)
{
    if (isDeferred(header)) {
        --header.deferred;
    }
    moveCurrent(header, header.chain.size());
    ++header.unanswered;
}

void giveUpDeferredAgents(EnvelopeHeader &header)
{
    header.unanswered = static_cast<std::uint8_t>(header.unanswered + header.deferred);
    header.deferred = 0;
}

bool isOnlyPossibleOwner(const EnvelopeHeader &header)
{
    const bool areOthersAsked = header.exhaustive && header.allowsTrial && header.unanswered == 0;
    return areOthersAsked && header.deferred == 1 && isDeferred(header) && !isSearchOver(header);
}

void advance(EnvelopeHeader &header)
{
    if (isDeferred(header)) {
        --header.deferred;
    }
    ++header.hop;
}

bool isUnanswered(const EnvelopeHeader &header, const protocol::Candidate &agent)
{
    const auto unanswered = std::span(header.chain).subspan(unansweredBegin(header));
    return std::ranges::find(unanswered, agent) != unanswered.end();
}

bool askLocatedOwner(EnvelopeHeader &header, const protocol::Candidate &owner)
{
    protocol::CandidateChain &chain = header.chain;
    const auto current = chain.begin() + header.hop;
    const auto found = std::find(current, chain.end(), owner);
    const auto index = static_cast<std::size_t>(found - chain.begin());
    const bool isFull = found == chain.end() && chain.size() == chain.capacity();
    const std::size_t unaskedEnd = deferredBegin(header);
    if (header.located != AgentId() || (isFull && unaskedEnd <= header.hop)) {
        return false;
    }
    header.located = owner.agent;
    if (found != chain.end()) {
        header.deferred -= index >= unaskedEnd ? 1 : 0;
        std::rotate(current, found, found + 1);
        return true;
    }
    if (isFull) {
        // A full chain never counts as exhaustive. The agent that it loses is asked when the search is extended.
        chain.erase(chain.begin() + static_cast<std::ptrdiff_t>(unaskedEnd) - 1);
    }
    chain.insert(chain.begin() + header.hop, owner);
    header.exhaustive.reset();
    return true;
}

EnvelopeHeader repeatForUnanswered(const EnvelopeHeader &header)
{
    EnvelopeHeader repeated = header;
    repeated.chain.assign(header.chain.end() - header.unanswered, header.chain.end());
    repeated.eligible = 0;
    repeated.hop = 0;
    repeated.deferred = 0;
    repeated.unanswered = 0;
    repeated.search = 0;
    repeated.allowsTrial = false;
    repeated.located = {};
    // With this flag, the owner sends a hint even if it is the only agent of the chain.
    repeated.extended = true;
    // Since the other agents answered, agents may have joined or returned.
    repeated.exhaustive.reset();
    return repeated;
}

EnvelopeHeader repeatForOwner(const EnvelopeHeader &header, const protocol::Candidate &owner)
{
    EnvelopeHeader repeated = repeatForUnanswered(header);
    repeated.chain.assign(1, owner);
    repeated.located = owner.agent;
    return repeated;
}

} // namespace samphireswitch::routing
