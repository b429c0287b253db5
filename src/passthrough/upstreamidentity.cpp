#include "passthrough/upstreamidentity.h"

namespace samphireswitch::passthrough {

namespace {

// Longest quoted value: other writers choose it.
constexpr std::size_t s_longestQuote = 64;

std::string difference(std::string_view field, const std::string &reported, const std::string &expected)
{
    return "the " + std::string(field) + " is '" + reported.substr(0, s_longestQuote) + "' and not '" + expected + "'";
}

} // namespace

std::optional<std::string> UpstreamIdentity::mismatch(const UpstreamReport &report) const
{
    if (!service.empty() && report.service != service) {
        return difference("service", report.service, service);
    }
    if (report.endpoint != endpoint) {
        return difference("address", toString(report.endpoint), toString(endpoint));
    }
    if (report.failureDomain != failureDomain) {
        return difference("failure domain", report.failureDomain, failureDomain);
    }
    return std::nullopt;
}

} // namespace samphireswitch::passthrough
