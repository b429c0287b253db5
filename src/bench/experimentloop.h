#pragma once

#include "admission/flowadmission.h"
#include "bench/experimentstatistics.h"
#include "bench/experimentworkload.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <variant>
#include <vector>

namespace samphireswitch::bench {

enum class ChangeKind {
    /** The host is not a member before. */
    Join,
    /** The agent receives the order at once, the balancers a second later. */
    Drain,
    /** From now on the upstream closes each connection after 1 ms without an answer. */
    FailFast,
    /** From now on the upstream answers each request after 1 ms with an error. */
    AnswerErrors,
};

struct Change
{
    TimePoint at;
    ChangeKind kind = ChangeKind::Join;
    std::uint32_t host = 0;
};

struct Deployment
{
    ServiceShape shape;
    std::chrono::milliseconds deadline {0};
    std::vector<Change> changes;
    admission::AdmissionSettings settings;
};

enum class OutcomeKind { Lost, Answered, Refused, Failed };

/** What the caller saw, and where and when the request was served. */
struct Outcome
{
    OutcomeKind kind = OutcomeKind::Lost;
    TimePoint end;
    std::uint32_t host = 0;
    /** When the upstream connection was opened. */
    TimePoint served;
};

struct RunResult
{
    std::vector<Outcome> outcomes;
    UsageRecorder usage;
    /** Envelopes between agents. */
    std::uint64_t envelopes = 0;
    std::uint64_t waitingMessages = 0;
    /** Offers of slots, and offers that were declined. */
    std::uint64_t offers = 0;
    std::uint64_t declinedOffers = 0;
    std::uint64_t decisions = 0;
    /** Time spent in FlowAdmission::handle(). */
    std::chrono::nanoseconds decisionTime {0};
    /** New flows that a host accepted after its drain was ordered. */
    std::uint64_t acceptedWhileDraining = 0;
    std::uint32_t drainReports = 0;
};

/**
 * Drives the FlowAdmission objects of one service in virtual time. Delays are constants and nothing is lost. Balancers
 * are reduced to the candidate chain and the hints that they received.
 */
class ExperimentLoop
{
public:
    ExperimentLoop(const Deployment &deployment, const std::vector<Request> &requests, std::uint64_t seed);

    RunResult run();

private:
    static constexpr std::size_t s_balancers = 4;

    enum class StepKind {
        Arrive,
        RepeatSyn,
        GiveUp,
        AgentEvent,
        Timer,
        SynAck,
        Refusal,
        Response,
        UpstreamDone,
        Change
    };
    enum class CallerState : std::uint8_t { SynSent, Established, Done };

    struct Step
    {
        TimePoint at;
        std::uint64_t order = 0;
        StepKind kind = StepKind::Arrive;
        std::uint32_t host = 0;
        std::uint32_t request = 0;
        /** Index of the event in the pool, sequence number of a SYN-ACK, or index of the change. */
        std::uint32_t detail = 0;
    };

    struct LaterFirst
    {
        bool operator()(const Step &left, const Step &right) const
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };

    struct Caller
    {
        CallerState state = CallerState::SynSent;
        bool complete = false;
        std::uint32_t acknowledgement = 0;
        /** The owner that each balancer was told, plus one; 0 without a hint. */
        std::array<std::uint16_t, s_balancers> hints {};
    };

    struct Host
    {
        std::unique_ptr<admission::FlowAdmission> admission;
        TimePoint timer = TimePoint::max();
        TimePoint usageSince = s_start;
        std::uint32_t busy = 0;
        std::uint32_t feeds = 0;
        bool member = true;
        bool draining = false;
        bool failsFast = false;
        bool answersErrors = false;
    };

    void schedule(TimePoint at, StepKind kind, std::uint32_t host, std::uint32_t request, std::uint32_t detail = 0);
    void scheduleEvent(TimePoint at, std::uint32_t host, admission::Event event);
    void take(const Step &step);
    void takeEvent(const Step &step);
    void takeSynAck(const Step &step);
    void takeUpstreamDone(const Step &step);
    void applyChange(const Change &change);
    void updateMembers();
    void finish(std::uint32_t request, OutcomeKind kind);

    void spray(std::uint32_t request, admission::PacketArrived packet);
    admission::PacketArrived packetOf(std::uint32_t request) const;
    protocol::CandidateChain chainFor(const flow::FlowKey &key, bool firstPacket) const;
    void sendEnvelope(const admission::PacketArrived &packet);

    void handle(std::uint32_t host, const admission::Event &event);
    void updateUsage(std::uint32_t host);
    void accepted(std::uint32_t host, const flow::FlowKey &key, std::uint32_t offset);

    using Packet = const admission::PacketArrived *;
    void perform(std::uint32_t host, Packet packet, const admission::DeliverPacket &action);
    void perform(std::uint32_t host, Packet packet, const admission::AcceptFlow &action);
    void perform(std::uint32_t host, Packet packet, const admission::PassPacket &action);
    void perform(std::uint32_t host, Packet packet, const admission::ParkPacket &action);
    void perform(std::uint32_t host, Packet packet, const admission::AcceptParked &action);
    void perform(std::uint32_t host, Packet packet, const admission::HandOverParked &action);
    void perform(std::uint32_t host, Packet packet, const admission::RefusePacket &action);
    void perform(std::uint32_t host, Packet packet, const admission::RefuseParked &action);
    void perform(std::uint32_t host, Packet packet, const admission::DropParked &action);
    void perform(std::uint32_t host, Packet packet, const admission::ResetUnowned &action);
    void perform(std::uint32_t host, Packet packet, const admission::DropPacket &action);
    void perform(std::uint32_t host, Packet packet, const admission::CedeFlow &action);
    void perform(std::uint32_t host, Packet packet, const admission::SendHint &action);
    void perform(std::uint32_t host, Packet packet, const admission::OpenUpstream &action);
    void perform(std::uint32_t host, Packet packet, const admission::SendToAgent &action);
    void perform(std::uint32_t host, Packet packet, const admission::ReportDrained &action);

    const Deployment &m_deployment;
    const std::vector<Request> &m_requests;
    std::mt19937_64 m_random;
    TimePoint m_now = s_start;
    std::uint64_t m_order = 0;
    std::priority_queue<Step, std::vector<Step>, LaterFirst> m_steps;
    std::deque<admission::Event> m_events;
    std::vector<std::uint32_t> m_freeEvents;
    std::vector<Host> m_hosts;
    std::vector<Caller> m_callers;
    std::vector<protocol::Candidate> m_members;
    std::size_t m_eligible = 0;
    RunResult m_result;
};

} // namespace samphireswitch::bench
