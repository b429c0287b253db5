#pragma once

#include "base/time.h"
#include "flow/flowkey.h"
#include "record.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireswitch::review {

/**
 * The rule FLOW (a) of RULES.md. A reset counts only if no machine at all was disturbed in the last `contact_ms`, which
 * excuses more than the rule.
 */
class Judge
{
public:
    explicit Judge(Record &record);

    /** An unplanned disturbance of @p machine, at this moment. */
    void disturbed(const std::string &machine);

    /** @p host has the end of the handshake of the flow. */
    void flowOpened(const flow::FlowKey &key, const std::string &host);

    /** The requester or its host has begun to close the flow, or has given it up. */
    void flowEnded(const flow::FlowKey &key);

    /** The requester of an open flow got a reset of the system's own from the process of @p sender. */
    void resetArrived(const flow::FlowKey &key, const std::string &sender);

    bool isBroken() const;

private:
    struct OpenFlow
    {
        std::string host;
        TimePoint openedAt;
    };

    Record &m_record;
    std::map<flow::FlowKey, OpenFlow> m_flows;
    std::optional<TimePoint> m_disturbedAt;
    unsigned m_broken = 0;
};

} // namespace samphireswitch::review
