#include "platform/siteday.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <filesystem>
#include <string_view>
#include <utility>

namespace samphireswitch::platform {

namespace {

using std::chrono::milliseconds;

using Seconds = std::chrono::duration<double>;

milliseconds toMilliseconds(Seconds time)
{
    return std::chrono::round<milliseconds>(time);
}

double numberIn(const toml::table &table, std::string_view key, double otherwise = 0)
{
    return table[key].value<double>().value_or(otherwise);
}

std::string textIn(const toml::table &table, std::string_view key)
{
    return table[key].value<std::string>().value_or(std::string());
}

bool hasWord(const std::string &text, std::string_view word)
{
    return (' ' + text + ' ').find(' ' + std::string(word) + ' ') != std::string::npos;
}

/** Calls @p visit with each table in the array @p node; does nothing if there is none. */
template<typename Visit>
void forEachTable(toml::node_view<const toml::node> node, const Visit &visit)
{
    const toml::array *array = node.as_array();
    if (array == nullptr) {
        return;
    }
    for (const toml::node &entry : *array) {
        if (const toml::table *table = entry.as_table()) {
            visit(*table);
        }
    }
}

/** The action of an entry; nothing if this project has none that fits. */
std::optional<DayAction> actionOf(const std::string &kind, const std::string &variant)
{
    static constexpr std::array<std::pair<std::string_view, DayAction>, 13> s_actions {
        {{"roll_term", DayAction::RestartBalancers},
         {"add_nodes", DayAction::AddBalancers},
         {"release", DayAction::MoveUpstreams},
         {"scale_out", DayAction::AddUpstreams},
         {"scale_in", DayAction::RemoveUpstreams},
         {"replace_with_reuse", DayAction::ReuseAddresses},
         {"hup", DayAction::ReloadSettings},
         {"node_kill", DayAction::KillBalancers},
         {"after_ack_kill", DayAction::KillBalancers},
         {"node_cut", DayAction::CutBalancers},
         {"core_cut", DayAction::CutBalancersFromStore},
         {"platform_slow", DayAction::SlowStore},
         {"platform_compact", DayAction::ForgetStoreHistory}}};
    if (kind == "platform_down") {
        return hasWord(variant, "nodes") ? DayAction::TurnMachinesAway : DayAction::StopStore;
    }
    if (kind == "platform_lost") {
        return DayAction::LoseStoreAnswers;
    }
    if (kind == "config_change" || kind == "config_storm") {
        return hasWord(variant, "route") ? DayAction::ChangeRoutes : DayAction::PublishConfiguration;
    }
    if (kind == "herd_kill" || kind == "kill_all") {
        return DayAction::KillProcesses;
    }
    if (kind == "power_off_all") {
        return hasWord(variant, "all") ? DayAction::LosePower : DayAction::KillBalancers;
    }
    const auto found = std::ranges::find(s_actions, kind, &std::pair<std::string_view, DayAction>::first);
    return found == s_actions.end() ? std::nullopt : std::optional(found->second);
}

/** Share that an entry without one stands for. */
double usualShare(DayAction action)
{
    switch (action) {
    case DayAction::MoveUpstreams:
        return 0.5;
    case DayAction::AddUpstreams:
    case DayAction::ReloadSettings:
        return 0.3;
    case DayAction::RemoveUpstreams:
    case DayAction::ReuseAddresses:
        return 0.15;
    case DayAction::TurnMachinesAway:
        return 0.35;
    case DayAction::KillBalancers:
    case DayAction::CutBalancers:
        return 0.1;
    default:
        return 1;
    }
}

std::optional<unsigned> countIn(const toml::table &entry, const std::string &kind, DayAction action)
{
    if (const auto count = entry["count"].value<std::int64_t>()) {
        return static_cast<unsigned>(*count);
    }
    if (kind == "config_storm") {
        return static_cast<unsigned>(numberIn(entry, "for_s", 5) / std::max(0.01, numberIn(entry, "gap_s", 1)));
    }
    const bool isSingle =
        kind == "config_change" || kind == "after_ack_kill" || action == DayAction::CutBalancersFromStore;
    return isSingle ? std::optional(1U) : std::nullopt;
}

void appendEvent(const toml::table &entry, double usualBegin, SiteDay &day)
{
    constexpr double usualDuration = 5;
    const std::string kind = textIn(entry, "kind");
    const auto action = actionOf(kind, textIn(entry, "how"));
    if (!action) {
        day.unknownEntries.push_back(kind);
        return;
    }
    DayEvent event;
    event.action = *action;
    event.begin = toMilliseconds(Seconds(numberIn(entry, "at", usualBegin)));
    event.duration = toMilliseconds(Seconds(numberIn(entry, "for_s", numberIn(entry, "down_s", usualDuration))));
    event.gap = toMilliseconds(Seconds(numberIn(entry, "gap_s", 1)));
    event.share = numberIn(entry, "share", usualShare(*action));
    event.count = countIn(entry, kind, *action);
    const bool isInSteps = *action == DayAction::RestartBalancers || *action == DayAction::MoveUpstreams;
    event.atOnce = isInSteps ? std::max(1U, static_cast<unsigned>(numberIn(entry, "x", 1))) : 1;
    event.pool = textIn(entry, "service");
    day.events.push_back(event);
}

void readMachine(const toml::table &machine, SiteDay &day)
{
    const auto count = static_cast<std::size_t>(numberIn(machine, "count", 1));
    const std::string domain = textIn(machine, "zone");
    if (textIn(machine, "class") == "side") {
        day.agentProcessorShare = numberIn(machine, "cpu_share");
        day.upstreams.insert(day.upstreams.end(), count, {domain, textIn(machine, "app")});
        return;
    }
    day.balancerProcessorShare = numberIn(machine, "cpu_share");
    day.balancers.insert(day.balancers.end(), count, domain);
    const auto spare = static_cast<std::size_t>(numberIn(machine, "spare"));
    day.spareBalancers.insert(day.spareBalancers.end(), spare, domain);
}

SiteRequests requestsOf(const toml::table &kind)
{
    SiteRequests requests;
    requests.name = textIn(kind, "name");
    requests.pool = textIn(kind, "service");
    requests.isIdempotent = textIn(kind, "kind").empty();
    requests.keepsFlows = textIn(kind, "habit") != "fresh";
    requests.bodySize = static_cast<unsigned>(kind["req_bytes"]["mean"].value<double>().value_or(0));
    requests.answerSize = static_cast<unsigned>(kind["resp_bytes"]["mean"].value<double>().value_or(600));
    requests.work = milliseconds(std::llround(kind["work_ms"]["mean"].value<double>().value_or(1)));
    requests.budget = milliseconds(std::llround(numberIn(kind, "deadline_ms", 4000)));
    return requests;
}

/** Adds the load that the callers of one failure domain bring. */
void addLoad(const toml::table &callers, std::vector<SiteRequests> &kinds)
{
    const toml::table *mix = callers["mix"].as_table();
    if (mix == nullptr) {
        return;
    }
    double whole = 0;
    for (const SiteRequests &kind : kinds) {
        whole += numberIn(*mix, kind.name);
    }
    const double flows = numberIn(callers, "clients") * numberIn(callers, "users", 1);
    for (SiteRequests &kind : kinds) {
        kind.perSecond += whole > 0 ? numberIn(callers, "per_s") * numberIn(*mix, kind.name) / whole : 0;
        kind.flows += kind.keepsFlows ? static_cast<unsigned>(flows) : 0;
    }
}

void readDeployment(const toml::table &site, SiteDay &day)
{
    forEachTable(site["zones"],
                 [&day](const toml::table &zone) { day.failureDomains.push_back(textIn(zone, "name")); });
    forEachTable(site["machines"], [&day](const toml::table &machine) { readMachine(machine, day); });
    forEachTable(site["services"], [&day](const toml::table &pool) {
        day.pools.push_back({textIn(pool, "name"),
                             static_cast<unsigned>(numberIn(pool, "slots", 1)),
                             static_cast<unsigned>(numberIn(pool, "queue")),
                             milliseconds(std::llround(numberIn(pool, "idle_close_ms")))});
    });
    forEachTable(site["classes"], [&day](const toml::table &kind) { day.requests.push_back(requestsOf(kind)); });
    day.reportInterval = milliseconds(std::llround(site["discovery"]["beat_ms"].value<double>().value_or(1000)));
    day.callerDistance = milliseconds(std::llround(site["net"]["client_ms"].value<double>().value_or(0)));
}

Result<toml::table> parseFile(const std::string &path)
{
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error &error) {
        return boost::leaf::new_error(
            Error {ResultCode::InvalidDeclaration, path + ": " + std::string(error.description())});
    }
}

} // namespace

bool isFirstPool(const SiteDay &day, const std::string &pool)
{
    return day.pools.empty() || pool == day.pools.front().name;
}

Result<SiteDay> readSiteDay(const std::string &path, const std::string &name)
{
    if (!std::filesystem::exists(path)) {
        return boost::leaf::new_error(Error {ResultCode::FileNotReadable, path + " does not exist"});
    }
    BOOST_LEAF_AUTO(parsed, parseFile(path));
    const toml::table &site = parsed;
    SiteDay day;
    readDeployment(site, day);
    bool isFound = false;
    forEachTable(site["day"], [&](const toml::table &entry) {
        if (textIn(entry, "name") != name) {
            return;
        }
        isFound = true;
        forEachTable(entry["traffic"].is_array() ? entry["traffic"] : site["traffic"],
                     [&day](const toml::table &callers) { addLoad(callers, day.requests); });
        for (const std::string_view list : {"plan", "faults"}) {
            forEachTable(entry[list], [&day](const toml::table &event) { appendEvent(event, 0, day); });
        }
        if (const toml::table *closing = entry["closing"].as_table()) {
            appendEvent(*closing, numberIn(site, "length_s"), day);
        }
    });
    if (!isFound) {
        return boost::leaf::new_error(Error {ResultCode::InvalidDeclaration, path + " has no day '" + name + "'"});
    }
    std::ranges::stable_sort(day.events, {}, &DayEvent::begin);
    return day;
}

} // namespace samphireswitch::platform
