#pragma once

#include "base/resultcode.h"
#include "base/time.h"
#include "configuration/configurationreplica.h"
#include "platform/configurationdocument.h"
#include "platform/operatorentries.h"
#include "platform/storeclient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphireswitch::platform {

/**
 * The operator's configuration and evacuations in the platform's store, for readers. All calls block and fail with the
 * codes of StoreClient. Belongs to one thread.
 *
 * An evacuation is a record of the generation of the document. A document that is missing, cannot be read or holds an
 * invalid record changes nothing but the evacuations.
 */
class PublishedConfiguration
{
public:
    PublishedConfiguration(const Endpoint &server, std::chrono::milliseconds timeLimit);

    /**
     * Reads the document and the evacuations and compares them with the configuration @p inForce. @p startedAt is the
     * time of the call. An update from a document holds the whole configuration: which records it changes is decided
     * where the configuration in force is kept, because that may change during the read.
     */
    Result<configuration::ConfigurationReading> read(const configuration::ConfigurationTable &inForce,
                                                     TimePoint startedAt);

    /** Returns when the configuration may have changed or should be read again, at the latest after @p limit. */
    Result<void> waitForChange(std::chrono::milliseconds limit);

private:
    /** Identity of a configuration that was read. */
    struct KnownContent
    {
        std::uint64_t documentHash = 0;
        std::vector<std::string> evacuatedDomains;
        Generation generation = 0;
        std::uint64_t contentHash = 0;
        std::uint64_t contentHashWithoutEvacuations = 0;
    };

    /** The evacuations to apply. Adds to them what is in force and should not be taken back yet. */
    struct Evacuations
    {
        std::vector<std::string> domains;
        /** Whether some of the domains are not in the store. */
        bool hasUnlisted = false;
    };

    /** Decides from when on evacuations are taken back that the store does not hold. */
    void observeRevision(store::Revision revision, TimePoint startedAt);
    Evacuations evacuationsFor(const OperatorEntries &entries,
                               const configuration::ConfigurationTable &inForce,
                               TimePoint startedAt) const;
    /** Whether @p entries have been read before, and have led to the configuration @p inForce. */
    bool isKnown(const OperatorEntries &entries, const configuration::ConfigurationTable &inForce) const;
    /** The document, or nothing and a reason in @p problems. */
    static std::optional<ConfigurationDocument> decode(const OperatorEntries &entries,
                                                       std::vector<std::string> &problems);
    /** The result of a read with a document. */
    configuration::ConfigurationReading readingOf(ConfigurationDocument document,
                                                  std::uint64_t documentHash,
                                                  const Evacuations &evacuations,
                                                  const configuration::ConfigurationTable &inForce,
                                                  TimePoint startedAt);
    /** The result of a read without a document: the records in force with the evacuations that were read. */
    configuration::ConfigurationReading readingWithoutDocument(const Evacuations &evacuations,
                                                               const configuration::ConfigurationTable &inForce,
                                                               TimePoint startedAt);
    /** Logs @p problems if they differ from those of the read before. */
    void logProblems(std::vector<std::string> problems);

    StoreClient m_client;
    /** The last content that came from a document. It need not be decoded again to be confirmed. */
    KnownContent m_known;
    /** Revision from which the next watch starts; nothing before the first read. */
    std::optional<store::Revision> m_watchFrom;
    /** Before this time, evacuations stay in force although the store does not hold them. */
    TimePoint m_takesBackFrom;
    bool m_readsAgainSoon = false;
    std::vector<std::string> m_problems;
};

} // namespace samphireswitch::platform
