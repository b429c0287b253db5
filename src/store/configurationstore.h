#pragma once

#include "base/resultcode.h"
#include "configuration/plan.h"
#include "configuration/servicerecord.h"
#include "store/recordjson.h"
#include "store/storeclient.h"
#include "store/storewatch.h"

#include <chrono>
#include <string>
#include <vector>

namespace samphireswitch::store {

/**
 * The operators' configuration in the store. All calls block, at most for the time limit (confirm() for a few of
 * them), and fail with the codes of StoreClient. Belongs to one thread.
 */
class ConfigurationStore
{
public:
    ConfigurationStore(const Endpoint &server, std::chrono::milliseconds timeLimit);

    /**
     * What a process at generation @p since lacks. If the store has nothing newer, no configuration at all, or (after
     * it was restored from a backup) an older one, the delta has no records and `to` equals @p since.
     */
    Result<configuration::ConfigurationDelta> changesSince(Generation since);

    /**
     * Returns when the configuration may have changed, at the latest after @p limit. Also returns when a watch was lost
     * or compacted, because changes may have been missed. Fails when the store is unavailable, only after @p limit, so
     * that a loop of calls does not load the store.
     */
    Result<void> waitForChange(std::chrono::milliseconds limit);

    /** Stores a plan under its identity. Storing the same plan again succeeds. */
    Result<void> savePlan(const configuration::Plan &plan);

    /** Fails with ResultCode::PlanNotFound. */
    Result<configuration::Plan> loadPlan(const std::string &id);

    /** Addresses that were given up less than configuration::s_addressReservation ago. */
    Result<std::vector<configuration::ReleasedAddress>> releasedAddresses();

    /**
     * Puts @p plan in force and returns its generation. For a plan that is in force already, returns the generation
     * that it got. Fails with ResultCode::PlanOutdated if another plan changed something that this one touches (the
     * message names generation and plan), PlanRefused if the plan breaks a rule, StoreConflict if other plans won
     * every attempt, and StoreUnavailable if it remains unknown whether the plan took effect; repeat it then.
     */
    Result<Generation> confirm(const configuration::Plan &plan);

private:
    struct HeadState
    {
        Head head;
        /** Revision of the last write of head, 0 if there is none. */
        Revision modRevision = 0;
        /** Revision of the store at the time of the read. */
        Revision storeRevision = 0;
    };

    Result<HeadState> fetchHead();
    /** The records with a generation above @p since at revision @p at of the store, and `minimum` or later. */
    Result<std::vector<configuration::ServiceRecord>> readRecords(Generation since, Revision at, Revision minimum);
    Result<configuration::ConfigurationDelta> changesOnce(Generation since);
    /** One attempt; 0 if another write came first. */
    Result<Generation> confirmOnce(const configuration::Plan &plan);
    /** The generation that @p plan got, 0 if it is not in force. */
    Result<Generation> confirmedGeneration(const configuration::Plan &plan, const HeadState &state);
    Result<void> checkConflicts(const configuration::Plan &plan, const HeadState &state);
    Result<void> checkReservations(const configuration::Plan &plan);
    Result<std::vector<PutRequest>> putsOf(const configuration::Plan &plan, const Head &head);
    Result<void> openWatch();

    StoreClient m_client;
    StoreWatch m_watch;
    /** Generation and revision of the newest head that was read. */
    Generation m_knownGeneration = 0;
    Revision m_knownRevision = 0;
    /** Revision from which the next watch starts; 0 until head was read. */
    Revision m_watchFrom = 0;
};

} // namespace samphireswitch::store
