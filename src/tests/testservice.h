#pragma once

#include "configuration/servicerecord.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace samphireswitch::tests {

/** A service with a request port and a feed port, as an operator declares it. */
inline configuration::ServiceRecord
declaredService(const std::string &name, std::uint32_t address, std::vector<configuration::HostRecord> hosts)
{
    configuration::ServiceRecord record;
    record.name = name;
    record.address = address;
    record.requestPort = 8001;
    record.feedPort = 8002;
    record.deadline = std::chrono::milliseconds(2000);
    record.slots = 3;
    record.connections = 2000;
    record.hosts = std::move(hosts);
    return record;
}

} // namespace samphireswitch::tests
