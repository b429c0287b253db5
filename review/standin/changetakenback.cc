#include "cases.h"

#include <vector>

namespace review {

namespace {

constexpr unsigned s_rounds = 16;
// `platform_slow`: the store's answers, of 4 ms, take up to 60 times as long, for 1.9 s of at most 4.5 s.
constexpr Milliseconds s_usualAnswer {4};
constexpr Milliseconds s_shortestSlowAnswer {200};
constexpr Milliseconds s_longestSlowAnswer {240};
constexpr Milliseconds s_slowTime {1900};
// The change comes at another time in each round, since balancers read the store every 1.5 s.
constexpr Milliseconds s_beforeChange {100};
constexpr Milliseconds s_changeStep {50};
// Without trouble, the operator restores the route after a change is in force everywhere.
constexpr Milliseconds s_calmPause {1500};
// `contact_ms` after the disturbance, and a margin. `config_apply_ms` (3 s) has passed by then.
constexpr Milliseconds s_contactTime {4200};
constexpr Milliseconds s_limit {10000};

} // namespace

Verdict changeTakenBack(Deployment &deployment)
{
    const Route board {"board", {0xc6120001, 443}, "tally"};
    const Route entry {"entry", {0xc6120002, 443}, "tally", "non_idempotent"};
    const std::vector<Route> whole {board, entry};
    for (const char *zone : {"a", "b", "c", "d"}) {
        deployment.addEdge(zone);
    }
    std::vector<Machine *> sides;
    for (const char *zone : {"a", "b"}) {
        sides.push_back(&deployment.addSide(zone, "tally"));
    }
    deployment.writeConfiguration(whole, [] {});
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
    bool isBroken = false;
    for (unsigned round = 1; round <= s_rounds && !isBroken; ++round) {
        const Route added {"added-" + std::to_string(round), {0xc6120100 + round, 443}, "tally", "non_idempotent"};
        if (hasTrouble()) {
            deployment.record.line("the store is slow");
            deployment.store.setAnswerTime(s_shortestSlowAnswer, s_longestSlowAnswer);
        }
        const Milliseconds beforeChange = s_beforeChange + round * s_changeStep;
        deployment.loop.runFor(beforeChange);
        bool isRestored = false;
        deployment.writeConfiguration({board, added}, [&] {
            deployment.loop.after(hasTrouble() ? Milliseconds(0) : s_calmPause,
                                  [&] { deployment.writeConfiguration(whole, [&] { isRestored = true; }); });
        });
        deployment.loop.runUntil([&] { return isRestored; }, s_limit);
        deployment.loop.runFor(s_slowTime - beforeChange - 2 * s_longestSlowAnswer);
        deployment.store.setAnswerTime(s_usualAnswer, s_usualAnswer);
        deployment.record.line("the store is calm");
        deployment.loop.runFor(s_contactTime);
        for (const Machine *edge : deployment.edges()) {
            const std::string suffix = std::to_string(round) + "-" + edge->name;
            const Address balancer = deployment.packetAddress(*edge);
            const Attempt &kept = deployment.requesters->send("entry-" + suffix, entry.address, balancer);
            const Attempt &dropped = deployment.requesters->send("added-" + suffix, added.address, balancer);
            deployment.loop.runUntil(
                [&] { return kept.outcome != Outcome::UnderWay && dropped.outcome != Outcome::UnderWay; }, s_limit);
            if (kept.outcome != Outcome::Answered) {
                deployment.record.line("BROKEN: " + kept.id + " is " + toString(kept.outcome)
                                       + ", although the route is there");
                isBroken = true;
            }
            if (dropped.outcome == Outcome::Answered) {
                deployment.record.line("BROKEN: " + dropped.id + " was run with a dropped route");
                isBroken = true;
            }
        }
    }
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
