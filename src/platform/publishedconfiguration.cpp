#include "platform/publishedconfiguration.h"

#include "configuration/snapshotdelta.h"
#include "platform/configurationdocument.h"

namespace samphireswitch::platform {

PublishedConfiguration::PublishedConfiguration(const Endpoint &server, std::chrono::milliseconds timeLimit)
    : m_client(server, timeLimit)
{
}

Result<configuration::ConfigurationDelta>
PublishedConfiguration::changesSince(const configuration::ConfigurationTable &inForce)
{
    BOOST_LEAF_AUTO(answer, m_client.read(std::string(s_configurationKey)));
    if (answer.values.empty()) {
        return configuration::ConfigurationDelta {inForce.generation(), inForce.generation(), {}};
    }
    m_watchFrom = answer.revision;
    BOOST_LEAF_AUTO(document, decodeConfiguration(answer.values.front().value));
    return configuration::deltaToSnapshot(inForce, document.generation, document.records);
}

Result<void> PublishedConfiguration::waitForChange(std::chrono::milliseconds limit)
{
    BOOST_LEAF_CHECK(m_client.watch(std::string(s_configurationKey), m_watchFrom, limit));
    return {};
}

} // namespace samphireswitch::platform
