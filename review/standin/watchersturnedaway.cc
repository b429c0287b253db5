#include "cases.h"

#include <algorithm>
#include <string>
#include <vector>

namespace review {

namespace {

constexpr unsigned s_balancers = 6;
// `platform_down nodes`: for a share of 0.35 of the machines, so for two of six balancers, and for 9 s.
constexpr std::size_t s_mostTurnedAway = 2;
constexpr Milliseconds s_turnedAwayTime {9000};
constexpr unsigned s_hosts = 2;
constexpr Milliseconds s_calmTime {5000};
constexpr Milliseconds s_beforeChange {500};
// `config_apply_ms`, and a margin.
constexpr Milliseconds s_applyTime {3300};
constexpr Milliseconds s_requestInterval {500};
constexpr Milliseconds s_limit {5000};

} // namespace

Verdict watchersTurnedAway(Deployment &deployment)
{
    const Route entry {"entry", {0xc6120002, 443}, "tally", "non_idempotent"};
    const Route dropped {"dropped", {0xc6120003, 443}, "tally", "non_idempotent"};
    const Route added {"added", {0xc6120004, 443}, "tally", "non_idempotent"};
    for (unsigned number = 0; number < s_balancers; ++number) {
        deployment.addEdge("a");
    }
    std::vector<Machine *> sides;
    sides.reserve(s_hosts);
    for (unsigned number = 0; number < s_hosts; ++number) {
        sides.push_back(&deployment.addSide("a", "tally"));
    }
    deployment.writeConfiguration({entry, dropped}, [] {});
    for (Machine *edge : deployment.edges()) {
        deployment.start(*edge, true);
    }
    for (Machine *side : sides) {
        deployment.start(*side, true);
        deployment.startHost(deployment.hostOn(*side, "host-of-" + side->name));
    }
    if (!deployment.waitUntilServing(entry.address)) {
        return Verdict::NotRun;
    }
    deployment.loop.runFor(s_calmTime);
    const std::vector<Address> watched = deployment.store.watchedAddresses();
    const auto isWatcher = [&](const Machine &machine) {
        return std::ranges::find(watched, deployment.storeAddress(machine)) != watched.end();
    };
    if (watched.size() > s_mostTurnedAway) {
        deployment.record.line(std::to_string(watched.size()) + " balancers watch the store");
        return Verdict::NotRun;
    }
    std::vector<Machine *> served;
    for (Machine *edge : deployment.edges()) {
        if (!isWatcher(*edge)) {
            served.push_back(edge);
            continue;
        }
        if (hasTrouble()) {
            deployment.record.line("the store turns " + edge->name + " away");
            deployment.store.setTurnedAway(deployment.storeAddress(*edge), true);
        }
    }
    const TimePoint began = Clock::now();
    deployment.loop.runFor(s_beforeChange);
    bool isConfirmed = false;
    deployment.writeConfiguration({entry, added}, [&] { isConfirmed = true; });
    deployment.loop.runUntil([&] { return isConfirmed; }, s_limit);
    deployment.loop.runFor(s_applyTime);
    std::vector<const Attempt *> toAdded;
    std::vector<const Attempt *> toDropped;
    unsigned sent = 0;
    while (Clock::now() - began < s_turnedAwayTime) {
        const Address balancer = deployment.packetAddress(*served[sent % served.size()]);
        const std::string suffix = std::to_string(++sent);
        toAdded.push_back(&deployment.requesters->send("added-" + suffix, added.address, balancer));
        toDropped.push_back(&deployment.requesters->send("dropped-" + suffix, dropped.address, balancer));
        deployment.loop.runFor(s_requestInterval);
    }
    for (const Address &address : watched) {
        deployment.store.setTurnedAway(address, false);
    }
    deployment.loop.runUntil([&] { return !deployment.requesters->hasAttemptsUnderWay(); }, s_limit);
    unsigned violations = 0;
    for (const Attempt *attempt : toAdded) {
        if (attempt->outcome == Outcome::Refused) {
            ++violations;
            deployment.record.line("BROKEN: " + attempt->id + " was refused, although the route is there");
        }
    }
    for (const Attempt *attempt : toDropped) {
        if (attempt->outcome == Outcome::Answered) {
            ++violations;
            deployment.record.line("BROKEN: " + attempt->id + " was run with a dropped route");
        }
    }
    return violations > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace review
