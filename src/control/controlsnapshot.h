#pragma once

#include "configuration/configurationtable.h"
#include "control/gossipevent.h"
#include "membership/membershiptable.h"

#include <cstdint>
#include <memory>

namespace samphireswitch::control {

/** What the control thread knows, for the other threads of the process. */
struct ControlSnapshot
{
    std::shared_ptr<const configuration::ConfigurationTable> configuration =
        std::make_shared<configuration::ConfigurationTable>();
    std::shared_ptr<const membership::MembershipTable> members =
        std::make_shared<membership::MembershipTable>(membership::MembershipSettings {}, 0);
    protocol::MemberRecord self;
};

/** Traffic of the control thread since its start, in datagrams and bytes of UDP payload. */
struct ControlCounters
{
    std::uint64_t datagramsIn = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t datagramsOut = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t malformed = 0;
    /** Events of other threads that were dropped because a ring was full. */
    std::uint64_t eventsDropped = 0;
};

} // namespace samphireswitch::control
