#include "control/memberlog.h"

#include "telemetry/logging.h"

#include <string_view>

namespace samphireswitch::control {

namespace {

/** The state of a member that is alive, or else its liveness. */
std::string_view statusName(const protocol::MemberRecord &record)
{
    return record.liveness == protocol::Liveness::Alive ? stateName(record.state) : livenessName(record.liveness);
}

void logChange(const protocol::MemberRecord &record, std::string_view before)
{
    telemetry::logEvent(telemetry::Severity::Info,
                        "member-changed",
                        {{"member", record.name},
                         {"before", before},
                         {"now", statusName(record)},
                         {"version", record.version},
                         {"incarnation", record.incarnation}});
}

} // namespace

void MemberLog::update(const membership::MembershipTable &members)
{
    std::map<std::uint64_t, protocol::MemberRecord> current;
    for (const protocol::MemberRecord &record : members.records()) {
        const auto known = m_known.find(record.id);
        const bool isSameIncarnation = known != m_known.end() && known->second.incarnation == record.incarnation;
        const std::string_view before = known == m_known.end() ? "unknown" : statusName(known->second);
        if (!isSameIncarnation || before != statusName(record)) {
            logChange(record, before);
        }
        current[record.id] = record;
    }
    m_known = std::move(current);
}

} // namespace samphireswitch::control
