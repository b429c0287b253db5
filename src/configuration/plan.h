#pragma once

#include "configuration/servicerecord.h"

#include <string>
#include <vector>

namespace samphireswitch::configuration {

/** An address that a service no longer uses once a plan is confirmed. */
struct ReleasedAddress
{
    /** IPv4 address in host byte order. */
    std::uint32_t address = 0;
    /** Name of the service that had the address. */
    std::string service;

    bool operator==(const ReleasedAddress &) const = default;
};

/** A change of the configuration that takes effect when an operator confirms it. */
struct Plan
{
    std::string id;
    /** The generation in force when the plan was computed. */
    Generation base = 0;
    /** Description of the changes, one sentence per entry. */
    std::vector<std::string> lines;
    /** Reasons why the plan cannot be confirmed, one sentence per entry; empty if the plan can be confirmed. */
    std::vector<std::string> refusals;
    /** The records to store. Their fields @c generation and @c plan are set when the plan is confirmed. */
    std::vector<ServiceRecord> records;
    std::vector<ReleasedAddress> releases;

    bool operator==(const Plan &) const = default;
};

/** Maximum number of services and evacuations that a plan may change. The store limits the number of operations in a
 * transaction (128 by default). */
constexpr std::size_t s_maximumChangedServices = 60;

/**
 * Time for which an address cannot be assigned to another service after its service released it. Agents drop packets
 * for an address that belongs to another service, and all agents receive the new record within this time.
 */
constexpr std::chrono::seconds s_addressReservation {10};

} // namespace samphireswitch::configuration
