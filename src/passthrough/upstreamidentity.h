#pragma once

#include "base/endpoint.h"
#include "passthrough/upstreamreport.h"

#include <optional>
#include <string>

namespace samphireswitch::passthrough {

/** What the settings of an agent say of its upstream. A report that says otherwise comes from another writer. */
struct UpstreamIdentity
{
    /** Pool that the upstream serves; empty if the settings do not name it. */
    std::string service;
    /** Address on which the upstream serves requests. */
    Endpoint endpoint;
    std::string failureDomain;

    /** The field in which @p report differs, with both values; nothing if it matches. */
    std::optional<std::string> mismatch(const UpstreamReport &report) const;
};

} // namespace samphireswitch::passthrough
