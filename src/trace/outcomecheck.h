#pragma once

#include "trace/traceline.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace samphireswitch::trace {

enum class ViolationKind {
    /** The replay returned other actions than the recorded ones. */
    ActionsDiffer,
    /** A flow was opened at an upstream twice, by one agent or by two (guarantee 5). */
    OpenedTwice,
    /** A flow was opened at an upstream after it had been refused (guarantee 4). */
    OpenedAfterRefusal,
    /** A new flow was accepted while the host drains (guarantee 6). */
    AcceptedWhileDraining,
    /** A flow of another address or port than the service's was accepted (guarantee 2). */
    AcceptedForeign,
    /** A parked packet was neither accepted, handed over, refused nor dropped. */
    ParkedForever,
    /** An agent reset a flow that it or another agent had established (guarantee 1). */
    EstablishedReset,
};

/** Name of the kind as in the enumeration. */
std::string_view violationName(ViolationKind kind);

struct Violation
{
    ViolationKind kind = ViolationKind::ActionsDiffer;
    std::string file;
    /** From 1. */
    std::size_t line = 0;
    std::string detail;
};

/** Checks the outcomes of all agents of a service that the design states. Traces are given one after another. */
class OutcomeCheck
{
public:
    /** The entries that follow are of this file. */
    void startTrace(const std::string &file, const TraceHeader &header);
    void add(const TraceEntry &entry, std::size_t line);
    /** Ends the current trace. */
    void endTrace();
    /** Compares the traces with each other. */
    void finish();

    const std::vector<Violation> &violations() const;

private:
    /** A caller's connection; the first sequence number tells it from others with the same ports. */
    using Flow = std::pair<flow::FlowKey, std::uint32_t>;

    struct Place
    {
        std::string file;
        std::size_t line = 0;
        /** System clock. */
        std::chrono::nanoseconds time {0};
    };

    struct Interval
    {
        Place begin;
        std::optional<Place> end;
    };

    struct Parked
    {
        std::uint32_t sequence = 0;
        Place place;
        std::chrono::milliseconds deadline {0};
    };

    /** What is known of the agent whose trace is read. */
    struct AgentState
    {
        std::optional<admission::ServiceTerms> terms;
        bool drainOrdered = false;
        std::map<flow::FlowKey, std::uint32_t> accepted;
        std::map<flow::FlowKey, Parked> parked;
        std::map<Flow, Place> refused;
        std::map<flow::FlowKey, std::size_t> established;
    };

    void applyEvent(const admission::Event &event);
    void apply(const admission::Action &action, const admission::PacketArrived *packet);
    void accept(const flow::FlowKey &key, std::uint32_t sequence);
    void open(const flow::FlowKey &key);
    void close(const flow::FlowKey &key);
    void checkParked();
    std::optional<Parked> takeParked(const flow::FlowKey &key);
    void report(ViolationKind kind, const Place &place, std::string detail);

    AgentState m_agent;
    Place m_place;
    std::chrono::nanoseconds m_systemStart {0};
    std::map<Flow, Place> m_opened;
    std::map<flow::FlowKey, std::vector<Interval>> m_intervals;
    std::vector<std::pair<flow::FlowKey, Place>> m_resets;
    std::vector<Violation> m_violations;
};

} // namespace samphireswitch::trace
