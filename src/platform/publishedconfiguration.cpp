#include "platform/publishedconfiguration.h"

#include "platform/configurationdocument.h"

namespace samphireswitch::platform {

PublishedConfiguration::PublishedConfiguration(const Endpoint &server, std::chrono::milliseconds timeLimit)
    : m_client(server, timeLimit)
{
}

using configuration::ConfigurationReading;

Result<ConfigurationReading> PublishedConfiguration::read(const configuration::ConfigurationTable &inForce,
                                                          TimePoint startedAt)
{
    BOOST_LEAF_AUTO(answer, m_client.read(std::string(s_configurationKey)));
    if (answer.values.empty()) {
        return ConfigurationReading {};
    }
    m_watchFrom = answer.revision;
    const store::KeyValue &item = answer.values.front();
    if (item.modRevision == m_known.revision && isInForce(m_known, inForce)) {
        return confirmationOf(m_known, startedAt);
    }
    BOOST_LEAF_AUTO(document, decodeConfiguration(item.value));
    auto patch = configuration::wholeConfiguration(document.generation, std::move(document.records));
    m_known = {item.modRevision, patch.generation, patch.contentHash};
    if (isInForce(m_known, inForce)) {
        return confirmationOf(m_known, startedAt);
    }
    if (patch.generation < inForce.generation()) {
        return ConfigurationReading {};
    }
    return ConfigurationReading {configuration::ConfigurationUpdate {std::move(patch), startedAt}};
}

bool PublishedConfiguration::isInForce(const KnownDocument &document, const configuration::ConfigurationTable &inForce)
{
    return document.generation == inForce.generation() && document.contentHash == inForce.contentHash();
}

ConfigurationReading PublishedConfiguration::confirmationOf(const KnownDocument &document, TimePoint startedAt)
{
    return configuration::ConfigurationConfirmation {document.generation, document.contentHash, startedAt};
}

Result<void> PublishedConfiguration::waitForChange(std::chrono::milliseconds limit)
{
    BOOST_LEAF_CHECK(m_client.watch(std::string(s_configurationKey), m_watchFrom, limit));
    return {};
}

} // namespace samphireswitch::platform
