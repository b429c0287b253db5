#pragma once

#include "membership/membershiptable.h"
#include "protocol/messages.h"

#include <cstdint>
#include <map>

namespace samphireswitch::control {

/** Logs each change of the state, the liveness or the incarnation of a member, as this process sees it. */
class MemberLog
{
public:
    /** Logs the differences between @p members and the members of the previous call. */
    void update(const membership::MembershipTable &members);

private:
    std::map<std::uint64_t, protocol::MemberRecord> m_known;
};

} // namespace samphireswitch::control
