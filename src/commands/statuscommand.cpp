#include "commands/statuscommand.h"

#include "commands/survey.h"
#include "protocol/counterlabel.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace samphireswitch::commands {

namespace {

using protocol::MemberRecord;
using protocol::MemberRole;
using protocol::MemberState;
using protocol::Status;

std::string_view roleName(MemberRole role)
{
    return role == MemberRole::Balancer ? "balancer" : "agent";
}

void printMembers(const Status &status, std::ostream &out)
{
    if (status.members.empty()) {
        return;
    }
    out << "    members:";
    for (const MemberRecord &member : status.members) {
        out << ' ' << member.name << '=' << stateName(member.state) << ',' << livenessName(member.liveness);
    }
    out << '\n';
}

void printProcess(const ProcessReport &report, std::ostream &out)
{
    out << (report.name.empty() ? "process" : report.name) << " at " << toString(report.control);
    if (const Error *error = std::get_if<Error>(&report.status)) {
        out << ": no status: " << error->message << '\n';
        return;
    }
    const Status &status = std::get<Status>(report.status);
    out << " (" << roleName(status.role) << ", " << status.failureDomain << "): " << status.state << ", generation "
        << status.generation << '\n';
    out << "    counters:";
    for (const protocol::Counter &counter : status.counters) {
        out << ' ' << counter.name << '=' << counter.value;
    }
    out << '\n';
    printMembers(status, out);
    for (const std::string &line : status.waitingFor) {
        out << "    waits for " << line << '\n';
    }
}

/** The number of processes at each generation, newest first. */
void printGenerations(const Survey &survey, std::ostream &out)
{
    std::map<Generation, int, std::greater<>> processes;
    for (const ProcessReport &report : survey.processes) {
        if (const Status *status = std::get_if<Status>(&report.status)) {
            ++processes[status->generation];
        }
    }
    for (const auto &[generation, count] : processes) {
        out << "Generation " << generation << " is in force on " << count << " of " << survey.processes.size()
            << " processes.\n";
    }
}

/** The failure domain in the label of a counter with the name s_evacuatedAgentsCounter; nothing for other counters. */
std::optional<std::string> evacuatedDomainOf(const protocol::Counter &counter)
{
    return protocol::labelValue(counter.name, protocol::s_evacuatedAgentsCounter, protocol::s_failureDomainLabel);
}

/** Each evacuated failure domain with the number of processes at which the evacuation is in force. */
void printEvacuations(const Survey &survey, std::ostream &out)
{
    std::map<std::string, int> processes;
    for (const ProcessReport &report : survey.processes) {
        const Status *status = std::get_if<Status>(&report.status);
        if (status == nullptr) {
            continue;
        }
        for (const protocol::Counter &counter : status->counters) {
            if (const auto domain = evacuatedDomainOf(counter)) {
                ++processes[*domain];
            }
        }
    }
    for (const auto &[domain, count] : processes) {
        out << "Failure domain " << domain << " is evacuated at " << count << " of " << survey.processes.size()
            << " processes.\n";
    }
}

} // namespace

Result<int> runStatus(const Options &options, std::ostream &out)
{
    const Survey survey = surveyDeployment(options.balancers, options.timeLimit);
    for (const ProcessReport &report : survey.processes) {
        printProcess(report, out);
    }
    for (const MemberRecord &member : survey.absent) {
        out << member.name << " at " << toString(member.control) << " (" << roleName(member.role) << ", "
            << member.failureDomain
            << "): " << (member.state == MemberState::Left ? stateName(member.state) : livenessName(member.liveness))
            << '\n';
    }
    printGenerations(survey, out);
    printEvacuations(survey, out);
    const auto silent = std::ranges::count_if(
        survey.processes, [](const ProcessReport &report) { return std::holds_alternative<Error>(report.status); });
    if (silent != 0) {
        return boost::leaf::new_error(
            Error {ResultCode::PeerUnavailable, std::to_string(silent) + " processes do not respond"});
    }
    return 0;
}

} // namespace samphireswitch::commands
