#include "passthrough/upstreamidentity.h"

#include <gtest/gtest.h>

namespace samphireswitch::passthrough {

namespace {

const UpstreamIdentity s_identity {"tally", {0x0a010017, 8165}, "ghiffa"};

UpstreamReport report()
{
    UpstreamReport result;
    result.id = "i-1";
    result.service = "tally";
    result.endpoint = {0x0a010017, 8165};
    result.failureDomain = "ghiffa";
    return result;
}

} // namespace

// Guards against an upstream whose reports are refused, so that it never gets a flow.
TEST(UpstreamIdentityTest, ReportOfTheUpstreamMatches)
{
    EXPECT_FALSE(s_identity.mismatch(report()));
    UpstreamIdentity unnamed = s_identity;
    unnamed.service.clear();
    EXPECT_FALSE(unnamed.mismatch(report()));
}

// Guards against a report of another writer that is taken for one of the upstream (review/8): for a service that nobody
// named, for the upstream's own service at the address of no host, or from elsewhere.
TEST(UpstreamIdentityTest, ReportForAnotherServiceAddressOrFailureDomainDiffers)
{
    UpstreamReport other = report();
    other.service = std::string(5000, 'x');
    ASSERT_TRUE(s_identity.mismatch(other));
    EXPECT_LT(s_identity.mismatch(other)->size(), 200U);
    other = report();
    other.endpoint.port = 1;
    EXPECT_EQ(s_identity.mismatch(other), "the address is '10.1.0.23:1' and not '10.1.0.23:8165'");
    other = report();
    other.failureDomain = "cannero";
    EXPECT_TRUE(s_identity.mismatch(other));
}

} // namespace samphireswitch::passthrough
