#include "control/evacuationlog.h"

#include "configuration/evacuation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace samphireswitch::control {

namespace {

protocol::MemberRecord member(std::uint64_t id, protocol::MemberRole role, const std::string &failureDomain)
{
    protocol::MemberRecord record;
    record.id = id;
    record.role = role;
    record.incarnation = 1;
    record.version = 1;
    record.failureDomain = failureDomain;
    return record;
}

/** The state of an agent in Ghiffa that knows another agent there, a balancer there and an agent elsewhere. */
ControlSnapshot snapshotWith(const std::vector<std::string> &evacuated)
{
    std::vector<configuration::ServiceRecord> records;
    records.reserve(evacuated.size());
    for (const std::string &domain : evacuated) {
        records.push_back(configuration::evacuationOf(domain, records));
    }
    configuration::ConfigurationTable table;
    EXPECT_TRUE(table.apply(configuration::wholeConfiguration(3, records)));
    membership::MembershipTable members({}, 1);
    members.merge({member(2, protocol::MemberRole::Agent, "Ghiffa"),
                   member(3, protocol::MemberRole::Balancer, "Ghiffa"),
                   member(4, protocol::MemberRole::Agent, "Cannero")},
                  TimePoint() + std::chrono::hours(1));
    ControlSnapshot snapshot;
    snapshot.configuration = std::make_shared<configuration::ConfigurationTable>(table);
    snapshot.members = std::make_shared<membership::MembershipTable>(members);
    snapshot.self = member(1, protocol::MemberRole::Agent, "Ghiffa");
    return snapshot;
}

std::vector<protocol::Counter> countersOf(const EvacuationLog &log)
{
    protocol::Status status;
    log.appendCounters(status);
    return status.counters;
}

} // namespace

// Guards against an evacuation of which the operator sees no effect, or one that seems to last after its end.
TEST(EvacuationLogTest, CountsEvacuationsAndTheirAgents)
{
    EvacuationLog log;
    EXPECT_EQ(countersOf(log), (std::vector<protocol::Counter> {{"evacuations_in_force", 0}}));
    log.update(snapshotWith({"Ghiffa", "Gifa"}));
    EXPECT_EQ(countersOf(log),
              (std::vector<protocol::Counter> {{"evacuations_in_force", 2},
                                               {"evacuated_agents{failure_domain=\"Ghiffa\"}", 2},
                                               {"evacuated_agents{failure_domain=\"Gifa\"}", 0}}));
    log.update(snapshotWith({"Cannero"}));
    EXPECT_EQ(countersOf(log),
              (std::vector<protocol::Counter> {{"evacuations_in_force", 1},
                                               {"evacuated_agents{failure_domain=\"Cannero\"}", 1}}));
    log.update(snapshotWith({}));
    EXPECT_EQ(countersOf(log).size(), 1U);
}

// Guards against a metrics page that cannot be read because of the name of a failure domain.
TEST(EvacuationLogTest, LabelsAreEscaped)
{
    EvacuationLog log;
    log.update(snapshotWith({R"(a"b\c)"}));
    EXPECT_EQ(countersOf(log).back().name, R"(evacuated_agents{failure_domain="a\"b\\c"})");
}

} // namespace samphireswitch::control
