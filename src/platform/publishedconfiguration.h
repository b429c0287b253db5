#pragma once

#include "base/resultcode.h"
#include "configuration/configurationtable.h"
#include "platform/storeclient.h"

#include <chrono>

namespace samphireswitch::platform {

/**
 * The operator's configuration in the platform's store, with the interface of store::ConfigurationStore for readers.
 * All calls block and fail with the codes of StoreClient. Belongs to one thread.
 */
class PublishedConfiguration
{
public:
    PublishedConfiguration(const Endpoint &server, std::chrono::milliseconds timeLimit);

    /** What a process with the configuration @p inForce lacks; no records if nothing. */
    Result<configuration::ConfigurationDelta> changesSince(const configuration::ConfigurationTable &inForce);

    /** Returns when the configuration may have changed, at the latest after @p limit. */
    Result<void> waitForChange(std::chrono::milliseconds limit);

private:
    StoreClient m_client;
    /** Revision from which the next watch starts. */
    store::Revision m_watchFrom = 0;
};

} // namespace samphireswitch::platform
