#include "commands/survey.h"

#include "control/controlclient.h"

#include <algorithm>
#include <map>

namespace samphireswitch::commands {

namespace {

using protocol::MemberRecord;
using protocol::MemberRole;
using protocol::Status;

ProcessReport askProcess(const Endpoint &control, std::string name, std::chrono::milliseconds timeLimit)
{
    const control::ControlClient client(control, timeLimit);
    ProcessReport report {control, std::move(name), attempt([&] { return client.status(); })};
    if (const Status *status = std::get_if<Status>(&report.status)) {
        report.name = status->name;
    }
    return report;
}

/** Agents and balancers have identities of different origin, so that the role belongs to the key. */
using MemberKey = std::pair<MemberRole, std::uint64_t>;

void mergeMembers(const ProcessReport &report, std::map<MemberKey, MemberRecord> &members)
{
    const Status *status = std::get_if<Status>(&report.status);
    if (status == nullptr) {
        return;
    }
    for (const MemberRecord &record : status->members) {
        const auto [known, isAdded] = members.emplace(MemberKey {record.role, record.id}, record);
        if (!isAdded && isNewer(record, known->second)) {
            known->second = record;
        }
    }
}

int roleOrder(const ProcessReport &report)
{
    const Status *status = std::get_if<Status>(&report.status);
    return status != nullptr && status->role == MemberRole::Balancer ? 0 : 1;
}

const ProcessReport *findReport(const Survey &survey, const Endpoint &control)
{
    const auto report = std::ranges::find(survey.processes, control, &ProcessReport::control);
    return report == survey.processes.end() ? nullptr : &*report;
}

/** True if the agent responded and holds no connection. */
bool isIdle(const Survey &survey, const MemberRecord &agent)
{
    const ProcessReport *report = findReport(survey, agent.control);
    const Status *status = report == nullptr ? nullptr : std::get_if<Status>(&report->status);
    if (status == nullptr) {
        return false;
    }
    const auto held =
        std::ranges::find(status->counters, protocol::s_connectionsHeldCounter, [](const protocol::Counter &counter) {
            return std::string_view(counter.name);
        });
    return held != status->counters.end() && held->value == 0;
}

} // namespace

Survey surveyDeployment(const std::vector<Endpoint> &balancers, std::chrono::milliseconds timeLimit)
{
    Survey survey;
    std::map<MemberKey, MemberRecord> members;
    for (const Endpoint &balancer : balancers) {
        survey.processes.push_back(askProcess(balancer, {}, timeLimit));
        mergeMembers(survey.processes.back(), members);
    }
    for (const auto &[key, record] : members) {
        (isGone(record) ? survey.absent : survey.present).push_back(record);
    }
    for (const MemberRecord &record : survey.present) {
        if (findReport(survey, record.control) == nullptr) {
            survey.processes.push_back(askProcess(record.control, record.name, timeLimit));
        }
    }
    std::ranges::sort(survey.processes, [](const ProcessReport &first, const ProcessReport &second) {
        return std::pair(roleOrder(first), first.name) < std::pair(roleOrder(second), second.name);
    });
    return survey;
}

std::set<std::string> idleServices(const Survey &survey, const std::vector<std::string> &names)
{
    std::set<std::string> idle;
    const bool allRespond = std::ranges::all_of(
        survey.processes, [](const ProcessReport &report) { return std::holds_alternative<Status>(report.status); });
    if (!allRespond || survey.processes.empty()) {
        return idle;
    }
    for (const std::string &name : names) {
        const bool hasFlows = std::ranges::any_of(survey.present, [&](const MemberRecord &record) {
            return record.role == MemberRole::Agent && record.service == ServiceId::fromName(name)
                && !isIdle(survey, record);
        });
        if (!hasFlows) {
            idle.insert(name);
        }
    }
    return idle;
}

} // namespace samphireswitch::commands
