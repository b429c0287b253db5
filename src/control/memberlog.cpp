#include "control/memberlog.h"

#include "telemetry/logging.h"

namespace samphireswitch::control {

namespace {

const char *stateName(const protocol::MemberRecord &record)
{
    if (record.liveness == protocol::Liveness::Dead) {
        return "dead";
    }
    if (record.liveness == protocol::Liveness::Suspect) {
        return "suspect";
    }
    if (record.liveness == protocol::Liveness::Unconfirmed) {
        return "unconfirmed";
    }
    switch (record.state) {
    case protocol::MemberState::Active:
        return "active";
    case protocol::MemberState::Draining:
        return "draining";
    case protocol::MemberState::Left:
        return "left";
    case protocol::MemberState::Stopping:
        return "stopping";
    }
    return "unknown";
}

void logChange(const protocol::MemberRecord &record, const char *before)
{
    telemetry::logEvent(telemetry::Severity::Info,
                        "member-changed",
                        {{"member", record.name},
                         {"before", before},
                         {"now", stateName(record)},
                         {"version", record.version},
                         {"incarnation", record.incarnation}});
}

} // namespace

void MemberLog::update(const membership::MembershipTable &members)
{
    std::map<std::uint64_t, protocol::MemberRecord> current;
    for (const protocol::MemberRecord &record : members.records()) {
        const auto known = m_known.find(record.id);
        const bool isRun = known != m_known.end() && known->second.incarnation == record.incarnation;
        const char *before = known == m_known.end() ? "unknown" : stateName(known->second);
        if (!isRun || before != stateName(record)) {
            logChange(record, before);
        }
        current[record.id] = record;
    }
    m_known = std::move(current);
}

} // namespace samphireswitch::control
