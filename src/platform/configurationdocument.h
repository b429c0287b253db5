#pragma once

#include "base/identifiers.h"
#include "base/resultcode.h"
#include "configuration/servicerecord.h"

#include <string_view>
#include <vector>

namespace samphireswitch::platform {

/** The operator's configuration as one document of the platform's store holds it. */
struct ConfigurationDocument
{
    /** The operator's version, which is the generation of the configuration. */
    Generation generation = 0;
    /** One record a route, and one a pool. */
    std::vector<configuration::ServiceRecord> records;
};

/** Key of the document. */
constexpr std::string_view s_configurationKey = "op/config";

/**
 * Decodes the document. A platform's route is a service here (an address and a port), and a platform's service is a
 * pool of upstreams. Fails with ResultCode::StoreAnswerMalformed.
 */
Result<ConfigurationDocument> decodeConfiguration(std::string_view text);

} // namespace samphireswitch::platform
