#pragma once

#include "admission/action.h"
#include "admission/event.h"
#include "admission/flowadmission.h"
#include "agent/agentdatapath.h"
#include "agent/datagramsender.h"
#include "agent/flowevents.h"
#include "agent/flowrelay.h"
#include "agent/parkedpackets.h"
#include "agent/retrybudget.h"
#include "agent/tcpstack.h"
#include "flow/packetview.h"
#include "protocol/datagramcodec.h"
#include "trace/tracerecorder.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace samphireswitch::agent {

/**
 * Owns the flows of an agent: passes events to FlowAdmission, performs the actions that it returns and drives the
 * FlowRelays. All functions must be called from one thread. Outgoing packets and messages are queued in the
 * DatagramSender, which the calling code has to flush.
 */
class FlowServer
{
public:
    /**
     * @p wake is called when processPendingWork() has to be called soon, from the event loop of @p io. @p wake may run
     * inside the TCP stack and must not call the FlowServer.
     */
    FlowServer(const AgentDataSettings &settings,
               telemetry::EventLog &log,
               boost::asio::io_context &io,
               DatagramSender &sender,
               std::function<void()> wake);
    ~FlowServer();

    FlowServer(const FlowServer &) = delete;
    FlowServer &operator=(const FlowServer &) = delete;

    /**
     * Lets admission decide on a packet of a caller and performs the resulting actions. Returns false, and does
     * nothing, if the packet in the envelope cannot be parsed.
     */
    bool receive(const protocol::Envelope &envelope, TimePoint now);

    /** Passes an event that is not the arrival of a packet to admission and performs the resulting actions. */
    void handle(const admission::Event &event, TimePoint now);

    /**
     * Advances all relays that have requested it, passes their events to admission, and destroys relays that are
     * finished. Returns when no such work is left.
     */
    void processPendingWork(TimePoint now);

    /** Runs the timers of the TCP stack. Has to be called every TcpStack::s_tickInterval while hasConnections(). */
    void tick(TimePoint now);

    /** Applies the timeouts of the relays (see FlowRelay::expire()). Has to be called a few times a second. */
    void expire(TimePoint now);

    /** When handle() has to be called with admission::TimerExpired; empty if no timer is running. */
    std::optional<TimePoint> nextTimer() const;

    /** Whether any flow exists, so that tick() has to be called. */
    bool hasConnections() const;

    /**
     * Current status. malformedDatagrams and droppedEvents are left at 0, because they are counted by AgentDataPath.
     */
    AgentDataStatus status() const;

private:
    /** Passes @p event to admission, and records the event and the resulting actions if a trace is being written. */
    admission::Actions decide(const admission::Event &event, TimePoint now);
    /** Performs @p actions in order. @p packet is the packet whose arrival caused them; null if another event did. */
    void perform(const admission::Actions &actions, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::DeliverPacket &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::AcceptFlow &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::PassPacket &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::ParkPacket &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::AcceptParked &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::HandOverParked &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::RefusePacket &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::RefuseParked &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::DropParked &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::ResetUnowned &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::DropPacket &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::CedeFlow &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::SendHint &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::OpenUpstream &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::SendToAgent &action, const flow::PacketView *packet, TimePoint now);
    void perform(const admission::ReportDrained &action, const flow::PacketView *packet, TimePoint now);

    /**
     * Handles a packet for a relay in TIME-WAIT, whose flow admission has already forgotten. Returns false if admission
     * has to decide on the packet: there is no such relay, or the packet is the first one of a new connection that
     * reuses the caller's port, which ends the old relay.
     */
    bool deliverToLingering(const flow::PacketView &packet);
    void applyTerms(const admission::ServiceTerms &terms);
    void acceptFlow(const flow::FlowKey &key, std::uint32_t sequenceOffset, std::span<const std::byte> packet);
    void sendEnvelope(const protocol::EnvelopeHeader &header, std::span<const std::byte> packet);
    void sendMessage(const Endpoint &destination, const protocol::Message &message);
    void sendReset(std::span<const std::byte> packet);
    void sendToCaller(std::span<std::byte> packet);
    void handleReports(TimePoint now);
    FlowRelay *find(const flow::FlowKey &key) const;
    /** Moves @p relay from m_relays to m_retired. */
    void retire(const FlowRelay &relay);

    AgentDataSettings m_settings;
    protocol::Candidate m_self;
    telemetry::EventLog &m_log;
    DatagramSender &m_sender;
    std::function<void()> m_wake;
    FlowEvents m_events;
    RetryBudget m_retries;
    ParkedPackets m_parked;
    protocol::DatagramCodec m_codec;
    std::vector<std::byte> m_buffer;
    std::deque<admission::Event> m_reports;
    std::vector<FlowRelay *> m_relaysToAdvance;
    FlowRelayContext m_context;
    trace::RandomSeed m_seed;
    admission::FlowAdmission m_admission;
    /** Null if no trace is recorded. */
    std::unique_ptr<trace::TraceRecorder> m_recorder;
    TcpStack m_stack;
    std::unordered_map<flow::FlowKey, std::unique_ptr<FlowRelay>> m_relays;
    /** Relays that expire() has to be called for. */
    std::unordered_set<FlowRelay *> m_watched;
    /**
     * Relays of flows that are over. They are kept until the end of processPendingWork(), because m_relaysToAdvance may
     * still point to them.
     */
    std::vector<std::unique_ptr<FlowRelay>> m_retired;
    Generation m_generation = 0;
    bool m_drained = false;
    std::uint64_t m_droppedParked = 0;
    std::uint64_t m_packetsIn = 0;
    std::uint64_t m_packetsOut = 0;
};

} // namespace samphireswitch::agent
