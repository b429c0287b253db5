#pragma once

#include "base/published.h"
#include "control/controlsnapshot.h"
#include "protocol/status.h"

#include <cstddef>
#include <map>
#include <string>

namespace samphireswitch::control {

/**
 * The evacuations in force at this process: logs when one begins or ends, and counts them for the metrics. One thread
 * calls update(); appendCounters() may be called from any thread.
 */
class EvacuationLog
{
public:
    /** Logs the differences between the evacuations of @p snapshot and those of the previous call. */
    void update(const ControlSnapshot &snapshot);

    /** Adds the number of evacuations, and for each evacuated domain the number of its agents, to @p status. */
    void appendCounters(protocol::Status &status) const;

private:
    /** Number of known agents by evacuated failure domain. */
    using Evacuations = std::map<std::string, std::size_t>;

    Published<Evacuations> m_inForce;
};

} // namespace samphireswitch::control
