#pragma once

#include "configuration/configurationtable.h"
#include "control/gossipevent.h"
#include "membership/membershiptable.h"

#include <cstdint>
#include <memory>

namespace samphireswitch::control {

/** Immutable copy of the state of the control thread, for the other threads of the process. */
struct ControlSnapshot
{
    std::shared_ptr<const configuration::ConfigurationTable> configuration =
        std::make_shared<configuration::ConfigurationTable>();
    std::shared_ptr<const membership::MembershipTable> members =
        std::make_shared<membership::MembershipTable>(membership::MembershipSettings {}, 0);
    /** Record of this process, which is not part of the members. */
    protocol::MemberRecord self;
};

/** Traffic of the control thread since its start. Bytes are those of the UDP payload. */
struct ControlCounters
{
    std::uint64_t datagramsIn = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t datagramsOut = 0;
    std::uint64_t bytesOut = 0;
    /** Received datagrams that could not be decoded. They are included in the datagrams received. */
    std::uint64_t malformed = 0;
    /** Events that other threads posted and that were dropped because the ring of their source was full. */
    std::uint64_t eventsDropped = 0;
    /** Messages of peers with the same configuration generation and another content. */
    std::uint64_t configurationConflicts = 0;
    /** How often the content of the generation in force was wrong and was replaced. */
    std::uint64_t configurationRepairs = 0;
};

} // namespace samphireswitch::control
