#pragma once

#include "base/time.h"
#include "flow/flowkey.h"
#include "protocol/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace samphireswitch::passthrough {

/** Another agent of the pool. */
struct Peer
{
    protocol::Candidate candidate;
    /** Higher for a process that started later. A process has none of the records of its predecessor. */
    std::uint64_t incarnation = 0;
    /** The process has announced its stop, so that its records are about to be lost. */
    bool isStopping = false;

    bool operator==(const Peer &) const = default;
};

/** Intervals and limits of a LocationAnnouncer. */
struct LocationAnnouncerSettings
{
    /** Time over which new flows are collected. Most flows with a single request end within it and cost nothing. */
    std::chrono::milliseconds batchInterval {50};
    /** Interval at which the records of all flows are renewed. */
    std::chrono::milliseconds refreshInterval {10000};
    /** Interval at which a request for records is repeated to a peer that did not answer. */
    std::chrono::milliseconds requestInterval {300};
    /** Number of requests that each peer gets at most. */
    std::uint32_t maximumRequests = 5;
    /** Number of flows per datagram, so that a datagram fits into the MTU. */
    std::size_t flowsPerMessage = 64;
};

/** A message of a LocationAnnouncer and the data address of the agent that it is for. */
struct LocationMessage
{
    Endpoint to;
    std::variant<protocol::LocationRecords, protocol::LocationRequest> message;
};

/**
 * Has the open flows of an agent recorded by other agents of the pool. Each flow is recorded by the
 * routing::s_locationCopies peers that rank highest for it in rendezvous hashing and do not stop. When a peer joins,
 * leaves or restarts, only the flows for which this changes the ranking are announced again. After a restart, the
 * announcer also requests the agent's own records from all peers.
 */
class LocationAnnouncer
{
public:
    /** @p self is the agent whose flows are announced. */
    explicit LocationAnnouncer(const protocol::Candidate &self, const LocationAnnouncerSettings &settings = {});

    /** Sets the agents of the pool. May contain the agent itself, which is ignored. */
    void setPeers(std::vector<Peer> peers);

    /** The agent owns the flow from now on. A flow with the same key and other sequence numbers is another flow. */
    void add(const protocol::LocatedFlow &located);

    /** Requests the records of this agent's flows from all peers, including those that are set later. */
    void requestRecords();

    /** Requests the records from all peers again, also from those that have answered. */
    void renewRequests();

    /** The peer at @p sender has answered the request. */
    void answered(const Endpoint &sender);

    /**
     * Returns the messages that answer a request of @p owner for the records of its @p flows: at least one, so that the
     * request is not repeated.
     */
    std::vector<LocationMessage> answerRequest(const protocol::Candidate &owner,
                                               const std::vector<protocol::LocatedFlow> &flows) const;

    /** The process of @p agent has started and has no records, even if the list of peers does not show it yet. */
    void restarted(AgentId agent);

    /**
     * Returns the messages by which this agent, which is about to stop, passes on the records that it keeps for other
     * agents. The owners may be stopping too, so that they cannot announce their flows again.
     */
    std::vector<LocationMessage> handOver(const std::vector<protocol::LocationRecords> &records) const;

    /**
     * Returns the messages that are due. @p isOpen tells whether the agent still owns a flow; flows that it does not
     * own any more are not announced and are forgotten.
     */
    std::vector<LocationMessage> takeDue(TimePoint now, const std::function<bool(const flow::FlowKey &)> &isOpen);

    /** The flows that are announced and that the agent still owns. @p isOpen as for takeDue(). */
    std::vector<protocol::LocatedFlow> openFlows(const std::function<bool(const flow::FlowKey &)> &isOpen) const;

    /** Number of flows that are announced. */
    std::size_t size() const;

private:
    /** State of a request for records to one peer. */
    struct Request
    {
        std::uint64_t incarnation = 0;
        std::uint32_t sent = 0;
        bool isAnswered = false;
    };

    /** An announced flow. */
    struct Announced
    {
        std::uint32_t sequenceNumber = 0;
        /** The peers that were sent its record since the last refresh. */
        std::vector<Peer> informed;
    };

    using Batches = std::map<Endpoint, std::vector<protocol::LocatedFlow>>;

    /** The peers that record a flow of @p owner. */
    std::vector<Peer> holdersOf(const flow::FlowKey &key, AgentId owner) const;
    /** Adds the flow to the batches of the holders that do not have its record yet. */
    void announce(const flow::FlowKey &key, Announced &announced, Batches &batches) const;
    /** Appends the messages that tell the agent at @p to that @p owner owns @p flows: one without any flow. */
    void appendRecords(const protocol::Candidate &owner,
                       const Endpoint &to,
                       const std::vector<protocol::LocatedFlow> &flows,
                       std::vector<LocationMessage> &messages) const;
    void appendRecords(const protocol::Candidate &owner,
                       const Batches &batches,
                       std::vector<LocationMessage> &messages) const;
    void announceAll(const std::function<bool(const flow::FlowKey &)> &isOpen, Batches &batches);
    void announceNew(const std::function<bool(const flow::FlowKey &)> &isOpen, Batches &batches);
    void appendRequests(std::vector<LocationMessage> &messages);

    protocol::Candidate m_self;
    LocationAnnouncerSettings m_settings;
    /** Without this agent, sorted by agent. */
    std::vector<Peer> m_peers;
    /** The peers that do not stop. */
    std::vector<protocol::Candidate> m_candidates;
    std::unordered_map<flow::FlowKey, Announced> m_flows;
    std::vector<protocol::LocatedFlow> m_newFlows;
    std::map<Endpoint, Request> m_requests;
    bool m_requestsRecords = false;
    bool m_peersChanged = false;
    TimePoint m_nextBatch;
    TimePoint m_nextRefresh;
    TimePoint m_nextRequest;
};

} // namespace samphireswitch::passthrough
