#include "commands/confirmcommand.h"

#include "base/attempt.h"
#include "control/controlclient.h"
#include "store/configurationstore.h"

#include <algorithm>

namespace samphireswitch::commands {

namespace {

using configuration::ConfigurationDelta;
using control::ControlClient;
using control::OfferAnswer;

/** The generation that a balancer has in force; 0 if it does not respond. */
Generation generationOf(const Endpoint &balancer, std::chrono::milliseconds timeLimit)
{
    const ControlClient client(balancer, timeLimit);
    const auto status = attempt([&] { return client.status(); });
    const auto *value = std::get_if<protocol::Status>(&status);
    return value == nullptr ? 0 : value->generation;
}

void offer(const Endpoint &balancer, const ConfigurationDelta &delta, const Options &options, std::ostream &out)
{
    const ControlClient client(balancer, options.timeLimit);
    const auto answer = attempt([&] { return client.offerConfiguration(delta); });
    out << "  balancer " << toString(balancer) << ": ";
    if (const Error *error = std::get_if<Error>(&answer)) {
        out << error->message << "; it will learn the configuration from the store or from its peers\n";
        return;
    }
    const OfferAnswer &offered = std::get<OfferAnswer>(answer);
    if (offered.generation >= delta.to) {
        out << "generation " << offered.generation << " is in force\n";
        return;
    }
    out << "still at generation " << offered.generation << " (" << resultCodeName(offered.code) << ")\n";
}

/** Offers what the balancer that is furthest behind lacks; the others skip what they have. */
Result<void> offerToAll(store::ConfigurationStore &store, const Options &options, std::ostream &out)
{
    std::vector<Generation> generations;
    for (const Endpoint &balancer : options.balancers) {
        generations.push_back(generationOf(balancer, options.timeLimit));
    }
    BOOST_LEAF_AUTO(delta, store.changesSince(*std::ranges::min_element(generations)));
    for (const Endpoint &balancer : options.balancers) {
        offer(balancer, delta, options, out);
    }
    return {};
}

} // namespace

Result<int> runConfirm(const Options &options, const std::string &id, std::ostream &out)
{
    store::ConfigurationStore store(*options.store, options.timeLimit);
    BOOST_LEAF_AUTO(plan, store.loadPlan(id));
    BOOST_LEAF_AUTO(generation, store.confirm(plan));
    out << "Plan " << id << " is confirmed as generation " << generation << ".\n";
    if (options.balancers.empty()) {
        return 0;
    }
    const auto offered = attempt([&] { return offerToAll(store, options, out); });
    if (const Error *error = std::get_if<Error>(&offered)) {
        out << "  not offered to the balancers, which will learn it from the store: " << error->message << '\n';
    }
    return 0;
}

} // namespace samphireswitch::commands
