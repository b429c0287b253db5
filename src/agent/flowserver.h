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
 * The flows of an agent: gives events to FlowAdmission, carries out its actions and runs the relays. Belongs to one
 * thread. Everything that is sent goes to the DatagramSender, which the calling code flushes.
 */
class FlowServer
{
public:
    /** @p wake is called when settle() has to be called soon, from the event loop of @p io. */
    FlowServer(const AgentDataSettings &settings,
               telemetry::EventLog &log,
               boost::asio::io_context &io,
               DatagramSender &sender,
               std::function<void()> wake);
    ~FlowServer();

    FlowServer(const FlowServer &) = delete;
    FlowServer &operator=(const FlowServer &) = delete;

    /** Decides on a packet of a caller and carries out the decision. Returns false if the packet is malformed. */
    bool receive(const protocol::Envelope &envelope, TimePoint now);

    /** Gives an event that belongs to no packet to admission and carries out the actions. */
    void handle(const admission::Event &event, TimePoint now);

    /** Finishes the work that packets and upstreams have started. */
    void settle(TimePoint now);

    /** Runs the timers of the TCP stack; due every TcpStack::s_tickInterval. */
    void tick(TimePoint now);

    /** Ends flows that have waited too long; due a few times a second. */
    void expire(TimePoint now);

    /** When TimerExpired is due. */
    std::optional<TimePoint> nextTimer() const;

    /** There are connections that need tick(). */
    bool hasConnections() const;

    /** Fills in everything but the counts of datagrams that the FlowServer does not see. */
    AgentDataStatus status() const;

private:
    /** Lets admission handle @p event and records it, if a trace is asked for. */
    admission::Actions decide(const admission::Event &event, TimePoint now);
    /** @p packet is the one that the actions are about, or null if they follow from another event. */
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

    /** Takes a packet of a flow that admission no longer knows; returns false for all other packets. */
    bool deliverToLingering(const flow::PacketView &packet);
    void applyTerms(const admission::ServiceTerms &terms);
    void acceptFlow(const flow::FlowKey &key, std::uint32_t sequenceOffset, std::span<const std::byte> packet);
    void sendEnvelope(const protocol::EnvelopeHeader &header, std::span<const std::byte> packet);
    void sendMessage(const Endpoint &destination, const protocol::Message &message);
    void sendReset(std::span<const std::byte> packet);
    void sendToCaller(std::span<std::byte> packet);
    void handleReports(TimePoint now);
    FlowRelay *find(const flow::FlowKey &key) const;
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
    std::vector<FlowRelay *> m_ready;
    FlowRelayContext m_context;
    trace::RandomSeed m_seed;
    admission::FlowAdmission m_admission;
    /** Null if no trace is recorded. */
    std::unique_ptr<trace::TraceRecorder> m_recorder;
    TcpStack m_stack;
    std::unordered_map<flow::FlowKey, std::unique_ptr<FlowRelay>> m_relays;
    /** Relays for which expire() has something to do. */
    std::unordered_set<FlowRelay *> m_watched;
    /** Relays that are over, but may still be in the list of relays to advance. */
    std::vector<std::unique_ptr<FlowRelay>> m_retired;
    Generation m_generation = 0;
    bool m_drained = false;
    std::uint64_t m_droppedParked = 0;
    std::uint64_t m_packetsIn = 0;
    std::uint64_t m_packetsOut = 0;
};

} // namespace samphireswitch::agent
