#include "cases.h"

#include <string>
#include <vector>

namespace review {

namespace {

// The name decides which balancers of the failure domain are chosen to watch the store.
const std::string s_zone = "d";
constexpr unsigned s_lostBalancers = 3;
constexpr unsigned s_hosts = 2;
constexpr Milliseconds s_calmTime {4000};
// The new machine is there before the leases of the lost ones (9 s) have ended.
constexpr Milliseconds s_replacementTime {2000};
// `contact_ms`, and a margin.
constexpr Milliseconds s_contactTime {4500};
// `config_apply_ms`, and a margin.
constexpr Milliseconds s_applyTime {3300};
constexpr Milliseconds s_requestInterval {500};
constexpr unsigned s_requests = 30;
constexpr Milliseconds s_limit {5000};

} // namespace

Verdict balancersReplaced(Deployment &deployment)
{
    const Route entry {"entry", {0xc6120002, 443}, "tally", "non_idempotent"};
    const Route dropped {"dropped", {0xc6120003, 443}, "tally", "non_idempotent"};
    const Route added {"added", {0xc6120004, 443}, "tally", "non_idempotent"};
    for (unsigned number = 0; number < s_lostBalancers; ++number) {
        deployment.addEdge(s_zone);
    }
    const std::vector<Machine *> lost = deployment.edges();
    std::vector<Machine *> sides;
    sides.reserve(s_hosts);
    for (unsigned number = 0; number < s_hosts; ++number) {
        sides.push_back(&deployment.addSide(s_zone, "tally"));
    }
    deployment.writeConfiguration({entry, dropped}, [] {});
    for (Machine *edge : lost) {
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
    if (hasTrouble()) {
        for (Machine *edge : lost) {
            deployment.kill(*edge);
            deployment.record.line(edge->name + " loses power and does not come back");
        }
    }
    deployment.loop.runFor(s_replacementTime);
    Machine &replacement = deployment.addEdge(s_zone);
    deployment.start(replacement, false);
    deployment.loop.runFor(s_contactTime);
    bool isConfirmed = false;
    deployment.writeConfiguration({entry, added}, [&] { isConfirmed = true; });
    deployment.loop.runUntil([&] { return isConfirmed; }, s_limit);
    deployment.loop.runFor(s_applyTime);
    std::vector<const Attempt *> toAdded;
    std::vector<const Attempt *> toDropped;
    const Address balancer = deployment.packetAddress(replacement);
    for (unsigned number = 1; number <= s_requests; ++number) {
        const std::string suffix = std::to_string(number);
        deployment.requesters->send("entry-" + suffix, entry.address, balancer);
        toAdded.push_back(&deployment.requesters->send("added-" + suffix, added.address, balancer));
        toDropped.push_back(&deployment.requesters->send("dropped-" + suffix, dropped.address, balancer));
        deployment.loop.runFor(s_requestInterval);
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
