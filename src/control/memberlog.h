#pragma once

#include "membership/membershiptable.h"
#include "protocol/messages.h"

#include <cstdint>
#include <map>

namespace samphireswitch::control {

/** Writes a log line for each change in what a process believes of another one. */
class MemberLog
{
public:
    /** Logs what differs from the members of the last call. */
    void update(const membership::MembershipTable &members);

private:
    std::map<std::uint64_t, protocol::MemberRecord> m_known;
};

} // namespace samphireswitch::control
