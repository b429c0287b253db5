#pragma once

#include "base/resultcode.h"
#include "base/time.h"
#include "configuration/configurationreplica.h"
#include "platform/storeclient.h"

#include <chrono>
#include <cstdint>

namespace samphireswitch::platform {

/**
 * The operator's configuration in the platform's store, for readers. All calls block and fail with the codes of
 * StoreClient. Belongs to one thread.
 */
class PublishedConfiguration
{
public:
    PublishedConfiguration(const Endpoint &server, std::chrono::milliseconds timeLimit);

    /**
     * Reads the document and compares it with the configuration @p inForce. @p startedAt is the time of the call. An
     * update holds the whole document: which records it changes is decided where the configuration in force is kept,
     * because that may change during the read.
     */
    Result<configuration::ConfigurationReading> read(const configuration::ConfigurationTable &inForce,
                                                     TimePoint startedAt);

    /** Returns when the configuration may have changed, at the latest after @p limit. */
    Result<void> waitForChange(std::chrono::milliseconds limit);

private:
    /** Identity of a document that was read. */
    struct KnownDocument
    {
        store::Revision revision = 0;
        Generation generation = 0;
        std::uint64_t contentHash = 0;
    };

    static bool isInForce(const KnownDocument &document, const configuration::ConfigurationTable &inForce);
    static configuration::ConfigurationReading confirmationOf(const KnownDocument &document, TimePoint startedAt);

    StoreClient m_client;
    /** The last document that was decoded. The same revision of it need not be decoded again to be confirmed. */
    KnownDocument m_known;
    /** Revision from which the next watch starts. */
    store::Revision m_watchFrom = 0;
};

} // namespace samphireswitch::platform
