#include "commands/plancommand.h"

#include "commands/inforce.h"
#include "commands/survey.h"
#include "configuration/planner.h"
#include "store/configurationstore.h"

#include <array>
#include <cstdio>
#include <random>

namespace samphireswitch::commands {

namespace {

using configuration::ConfigurationTable;
using configuration::Plan;
using configuration::PlanRequest;

/** Identities are random, so that two operators never make the same one. */
std::string makePlanId()
{
    std::random_device random;
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "plan-%08x%08x", random(), random());
    return text.data();
}

std::set<std::string> findIdle(const Options &options, const ConfigurationTable &table)
{
    if (options.balancers.empty()) {
        return {};
    }
    std::vector<std::string> names;
    for (const auto &[name, record] : table.services()) {
        names.push_back(name);
    }
    return idleServices(surveyDeployment(options.balancers, options.timeLimit), names);
}

void print(const Plan &plan, std::ostream &out)
{
    out << "Compared with generation " << plan.base << ":\n";
    for (const std::string &line : plan.lines) {
        out << "  " << line << '\n';
    }
    for (const std::string &refusal : plan.refusals) {
        out << "  refused: " << refusal << '\n';
    }
}

/** Saves the plan, again if the answer was lost; the same plan may be saved twice. */
Result<void> save(store::ConfigurationStore &store, const Plan &plan)
{
    const auto first = attempt([&] { return store.savePlan(plan); });
    const Error *error = std::get_if<Error>(&first);
    if (error == nullptr) {
        return {};
    }
    if (error->code != ResultCode::StoreUnavailable) {
        return boost::leaf::new_error(*error);
    }
    return store.savePlan(plan);
}

} // namespace

Result<int> runPlan(const Options &options, const std::string &path, std::ostream &out)
{
    BOOST_LEAF_AUTO(declaration, configuration::loadDeclaration(path));
    store::ConfigurationStore store(*options.store, options.timeLimit);
    BOOST_LEAF_AUTO(table, readTable(store));
    PlanRequest request;
    request.id = makePlanId();
    request.prune = options.prune;
    request.closing = options.closing;
    request.idle = findIdle(options, table);
    BOOST_LEAF_ASSIGN(request.released, store.releasedAddresses());
    const Plan plan = configuration::Planner(table).plan(declaration, request);
    print(plan, out);
    if (!plan.refusals.empty()) {
        return boost::leaf::new_error(
            Error {ResultCode::PlanRefused, "the plan cannot be confirmed and was not stored"});
    }
    if (plan.records.empty()) {
        out << "Nothing changes; no plan was stored.\n";
        return 0;
    }
    auto saved = save(store, plan);
    if (!saved) {
        return saved.error();
    }
    out << "Nothing has taken effect. To put the plan in force: samphireswitch confirm " << plan.id << '\n';
    return 0;
}

} // namespace samphireswitch::commands
