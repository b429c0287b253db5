#include "platform/publishedconfiguration.h"

#include "base/attempt.h"
#include "base/hash.h"
#include "configuration/evacuation.h"
#include "configuration/recordcheck.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphireswitch::platform {

namespace {

using configuration::ConfigurationReading;
using configuration::ConfigurationTable;
using configuration::ServiceRecord;

// A store that was restored from an older copy may lack evacuations until the operator has written them again.
constexpr std::chrono::milliseconds s_restoreTime {2000};
// Peers take over an evacuation once it is confirmed later than the content before.
constexpr std::chrono::milliseconds s_repeatedReadDelay = configuration::s_laterConfirmation;

void appendEvacuations(const std::vector<std::string> &domains,
                       Generation generation,
                       std::vector<ServiceRecord> &records)
{
    for (const std::string &domain : domains) {
        ServiceRecord record = configuration::evacuationOf(domain, records);
        record.generation = generation;
        records.push_back(std::move(record));
    }
}

/** The services and pools of @p table. */
std::vector<ServiceRecord> declaredRecords(const ConfigurationTable &table)
{
    std::vector<ServiceRecord> records;
    for (const auto &[name, record] : table.services()) {
        if (record.isServiceInForce()) {
            records.push_back(record);
        }
    }
    return records;
}

/** Why other processes would reject some of @p records; nothing if they accept all of them. */
std::optional<std::string> invalidRecord(const std::vector<ServiceRecord> &records)
{
    for (const ServiceRecord &record : records) {
        const auto problems = configuration::problemsOf(record);
        if (!problems.empty()) {
            return "the configuration is not used because of '" + record.name + "': " + problems.front();
        }
    }
    return std::nullopt;
}

bool isInForce(Generation generation, std::uint64_t contentHash, const ConfigurationTable &inForce)
{
    return generation == inForce.generation() && contentHash == inForce.contentHash();
}

ConfigurationReading confirmationOf(const ConfigurationTable &inForce, TimePoint startedAt)
{
    return configuration::ConfigurationConfirmation {inForce.generation(), inForce.contentHash(), startedAt};
}

ConfigurationReading updateOf(configuration::ConfigurationPatch patch, TimePoint startedAt, bool isPartlyConfirmed)
{
    return configuration::ConfigurationUpdate {.content = std::move(patch),
                                               .confirmedAt = startedAt,
                                               .isOwnRead = true,
                                               .isPartlyConfirmed = isPartlyConfirmed};
}

} // namespace

PublishedConfiguration::PublishedConfiguration(const Endpoint &server, std::chrono::milliseconds timeLimit)
    : m_client(server, timeLimit)
{
}

Result<ConfigurationReading> PublishedConfiguration::read(const ConfigurationTable &inForce, TimePoint startedAt)
{
    BOOST_LEAF_AUTO(answer, m_client.readPrefix(std::string(s_operatorPrefix), Freshness::Newest));
    observeRevision(answer.revision, startedAt);
    m_readsAgainSoon = false;
    const OperatorEntries entries = operatorEntries(answer);
    if (isKnown(entries, inForce)) {
        logProblems(entries.problems);
        return confirmationOf(inForce, startedAt);
    }
    std::vector<std::string> problems = entries.problems;
    auto document = decode(entries, problems);
    logProblems(std::move(problems));
    const Evacuations evacuations = evacuationsFor(entries, inForce, startedAt);
    if (!document) {
        return readingWithoutDocument(evacuations, inForce, startedAt);
    }
    return readingOf(std::move(*document), hashText(*entries.document), evacuations, inForce, startedAt);
}

void PublishedConfiguration::observeRevision(store::Revision revision, TimePoint startedAt)
{
    // A new reader cannot tell whether the store has been restored.
    if (!m_watchFrom || revision < *m_watchFrom) {
        m_takesBackFrom = startedAt + s_restoreTime;
    }
    m_watchFrom = revision;
}

PublishedConfiguration::Evacuations PublishedConfiguration::evacuationsFor(const OperatorEntries &entries,
                                                                           const ConfigurationTable &inForce,
                                                                           TimePoint startedAt) const
{
    if (startedAt >= m_takesBackFrom) {
        return {entries.evacuatedDomains};
    }
    Evacuations evacuations;
    std::ranges::set_union(
        entries.evacuatedDomains, configuration::evacuatedDomains(inForce), std::back_inserter(evacuations.domains));
    evacuations.hasUnlisted = evacuations.domains.size() > entries.evacuatedDomains.size();
    return evacuations;
}

bool PublishedConfiguration::isKnown(const OperatorEntries &entries, const ConfigurationTable &inForce) const
{
    return entries.document && isInForce(m_known.generation, m_known.contentHash, inForce)
        && entries.evacuatedDomains == m_known.evacuatedDomains && hashText(*entries.document) == m_known.documentHash;
}

std::optional<ConfigurationDocument> PublishedConfiguration::decode(const OperatorEntries &entries,
                                                                    std::vector<std::string> &problems)
{
    if (!entries.document) {
        problems.emplace_back("the configuration is missing");
        return std::nullopt;
    }
    auto outcome = attempt([&] { return decodeConfiguration(*entries.document); });
    if (const Error *error = std::get_if<Error>(&outcome)) {
        problems.push_back(error->message);
        return std::nullopt;
    }
    auto &document = std::get<ConfigurationDocument>(outcome);
    if (auto problem = invalidRecord(document.records)) {
        problems.push_back(std::move(*problem));
        return std::nullopt;
    }
    return std::move(document);
}

ConfigurationReading PublishedConfiguration::readingOf(ConfigurationDocument document,
                                                       std::uint64_t documentHash,
                                                       const Evacuations &evacuations,
                                                       const ConfigurationTable &inForce,
                                                       TimePoint startedAt)
{
    const auto declared = configuration::wholeConfiguration(document.generation, document.records);
    appendEvacuations(evacuations.domains, document.generation, document.records);
    auto patch = configuration::wholeConfiguration(document.generation, std::move(document.records));
    m_readsAgainSoon = evacuations.hasUnlisted;
    if (!evacuations.hasUnlisted) {
        m_known = {documentHash, evacuations.domains, patch.generation, patch.contentHash, declared.contentHash};
    }
    if (isInForce(patch.generation, patch.contentHash, inForce)) {
        return evacuations.hasUnlisted ? ConfigurationReading {} : confirmationOf(inForce, startedAt);
    }
    if (patch.generation < inForce.generation()) {
        // A restored store may hold an older document. Its evacuations are orders of now all the same.
        return readingWithoutDocument(evacuations, inForce, startedAt);
    }
    m_readsAgainSoon = m_readsAgainSoon || patch.generation == inForce.generation();
    return updateOf(std::move(patch), startedAt, evacuations.hasUnlisted);
}

ConfigurationReading PublishedConfiguration::readingWithoutDocument(const Evacuations &evacuations,
                                                                    const ConfigurationTable &inForce,
                                                                    TimePoint startedAt)
{
    if (inForce.generation() == 0) {
        return ConfigurationReading {};
    }
    m_readsAgainSoon = evacuations.hasUnlisted;
    // Without a document, only one that was read before can confirm the other records.
    const bool isConfirmed = !evacuations.hasUnlisted && m_known.generation == inForce.generation()
        && m_known.contentHashWithoutEvacuations == configuration::contentHashWithoutEvacuations(inForce);
    if (evacuations.domains == configuration::evacuatedDomains(inForce)) {
        return isConfirmed ? confirmationOf(inForce, startedAt) : ConfigurationReading {};
    }
    std::vector<ServiceRecord> records = declaredRecords(inForce);
    appendEvacuations(evacuations.domains, inForce.generation(), records);
    ConfigurationTable changed;
    if (!changed.apply(configuration::wholeConfiguration(inForce.generation(), std::move(records)))) {
        return ConfigurationReading {};
    }
    m_readsAgainSoon = true;
    // Not the whole configuration: records that peers replace during the read must not come back.
    return updateOf(
        changed.patchFor(inForce.contentHashes(configuration::s_contentBucketCount)), startedAt, !isConfirmed);
}

void PublishedConfiguration::logProblems(std::vector<std::string> problems)
{
    if (problems == m_problems) {
        return;
    }
    for (const std::string &problem : problems) {
        telemetry::logEvent(telemetry::Severity::Warning, "operator-entry-unusable", {{"reason", problem}});
    }
    m_problems = std::move(problems);
}

Result<void> PublishedConfiguration::waitForChange(std::chrono::milliseconds limit)
{
    const auto wait = m_readsAgainSoon ? std::min(limit, s_repeatedReadDelay) : limit;
    BOOST_LEAF_CHECK(m_client.watch(std::string(s_operatorPrefix), m_watchFrom.value_or(0), wait));
    return {};
}

} // namespace samphireswitch::platform
