#pragma once

#include "configuration/servicerecord.h"

#include <string>
#include <vector>

namespace samphireswitch::configuration {

/** An address that a service gives up with a plan. */
struct ReleasedAddress
{
    /** IPv4 address in host byte order. */
    std::uint32_t address = 0;
    std::string service;

    bool operator==(const ReleasedAddress &) const = default;
};

/** What will happen to the configuration if operators confirm it. */
struct Plan
{
    std::string id;
    /** The generation that the plan was made on. */
    Generation base = 0;
    /** What will happen, one sentence each. */
    std::vector<std::string> lines;
    /** Why the plan cannot be confirmed, one sentence each; empty if it can. */
    std::vector<std::string> refusals;
    /** The records to store. Their generation and plan are set when the plan is confirmed. */
    std::vector<ServiceRecord> records;
    std::vector<ReleasedAddress> releases;

    bool operator==(const Plan &) const = default;
};

/** Most services that one plan may change: the store limits the operations of one transaction (128 by default). */
constexpr std::size_t s_maximumChangedServices = 60;

/** How long an address stays reserved after a service gave it up. Agents drop packets for addresses that they know to
 * be another service's, and every agent has the new record within this time. */
constexpr std::chrono::seconds s_addressReservation {10};

} // namespace samphireswitch::configuration
