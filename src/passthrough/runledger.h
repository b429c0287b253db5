#pragma once

#include "passthrough/servedruns.h"
#include "passthrough/upstreamreport.h"

#include <optional>

namespace samphireswitch::passthrough {

/**
 * Decides what the store's list of served runs shows of the upstream that runs beside this process of the agent:
 * whether it can hold flows that an earlier process has handed to it, and whether it may get new flows from this one.
 * Runs are compared for equality only. Neither the number of a report nor a time of day counts: upstreams count from 0
 * or from 1, and clocks are set.
 */
class RunLedger
{
public:
    /** Without @p isEnabled no list is kept: every run may get new flows, and nothing is shown of earlier ones. */
    explicit RunLedger(bool isEnabled);

    /** The store had @p earlier when it was read after the start of this process. */
    void earlierRunsRead(const ServedRuns &earlier);

    /** A report of @p run has arrived, be it the current run or an outdated one. */
    void reported(const UpstreamRun &run);

    /** The system has reported that no process takes packets at the upstream's address: the runs so far have ended. */
    void upstreamRefused();

    /** The upstream has sent a packet or a report that contradicts the refusal. */
    void upstreamRuns();

    /** The upstream has shown a flow that no process is known to have handed to it. Counts until it refuses a packet.
     */
    void contradicted();

    /** The store has @p recorded. */
    void runsRecorded(const ServedRuns &recorded);

    /** Whether the store lists @p run, so that a later process of the agent will know that it may hold flows. */
    bool mayGetNewFlows(const UpstreamRun &run) const;

    /** Whether @p departure names a run that the store listed at the start of this process. */
    bool isListed(const UpstreamDeparture &departure) const;

    /**
     * Whether the upstream holds no flow of an earlier process: the store lists every run that may hold one, and no run
     * that has reported to this process since its start, or since the latest refused packet, is among them.
     */
    bool showsUnservedRun() const;

    /**
     * The list that the store should have; nothing while no run has reported or the store has not been read.
     * @p knowsAllFlows tells that the flows of earlier processes are known or have ended.
     */
    std::optional<ServedRuns> listToRecord(bool knowsAllFlows) const;

private:
    bool m_isEnabled;
    /** Empty until the store has been read. */
    std::optional<ServedRuns> m_earlier;
    /** Runs that have reported to this process. */
    ServedRuns m_reported;
    /** Those of them that have reported since the latest refused packet. */
    ServedRuns m_running;
    ServedRuns m_recorded;
    bool m_isContradicted = false;
};

} // namespace samphireswitch::passthrough
