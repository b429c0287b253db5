#include "cases.h"

#include <signal.h>

#include <algorithm>
#include <string>
#include <vector>

namespace review {

namespace {

constexpr unsigned s_boards = 80;
constexpr unsigned s_tallyHosts = 6;
// All machines start within 0.3 s of each other.
constexpr Milliseconds s_startSpread {280};
constexpr Milliseconds s_openInterval {20};
constexpr Milliseconds s_calmTime {4000};
// `node_freeze`: an agent stands still for 5 s at most. All times count from the stop of the first agent.
constexpr Milliseconds s_secondStops {4060};
constexpr Milliseconds s_requestsBegin {4400};
constexpr Milliseconds s_firstWakes {5000};
// More than `contact_ms` after the first agent has woken.
constexpr Milliseconds s_secondWakes {9050};
constexpr Milliseconds s_requestInterval {8};
constexpr Milliseconds s_afterwards {3000};
constexpr Milliseconds s_limit {5000};

} // namespace

Verdict agentsStandStill(Deployment &deployment)
{
    const Route board {"board", {0xc6120001, 443}, "tally", "idempotent"};
    const Route photo {"photo", {0xc6120003, 443}, "leaf-inspect", "upload"};
    Machine &edge = deployment.addEdge("a");
    Machine &otherEdge = deployment.addEdge("b");
    std::vector<Machine *> sides;
    for (unsigned number = 0; number < s_tallyHosts; ++number) {
        sides.push_back(&deployment.addSide(number % 2 == 0 ? "a" : "b", "tally"));
    }
    Machine &second = deployment.addSide("a", "leaf-inspect");
    sides.push_back(&second);
    sides.push_back(&deployment.addSide("b", "leaf-inspect"));
    deployment.writeConfiguration({board, photo}, [] {});
    deployment.start(otherEdge, true);
    Machine &first = *sides.front();
    std::vector<Address> takenByFirst;
    for (Machine *side : sides) {
        deployment.start(*side, true);
        Host &host = deployment.startHost(deployment.hostOn(*side, "host-of-" + side->name));
        if (side == &first) {
            host.tookFlow = [&](const Packet &packet) { takenByFirst.push_back(packet.source); };
        }
    }
    deployment.loop.runFor(s_startSpread);
    deployment.start(edge, true);
    if (!deployment.waitUntilServing(board.address)) {
        return Verdict::NotRun;
    }
    takenByFirst.clear();
    std::vector<const Attempt *> boards;
    for (unsigned number = 1; number <= s_boards; ++number) {
        boards.push_back(&deployment.requesters->sendOnKeptFlow(
            "board-" + std::to_string(number), board.address, deployment.packetAddress(edge)));
        deployment.loop.runFor(s_openInterval);
    }
    deployment.loop.runFor(s_calmTime);
    std::vector<const Attempt *> ofFirst;
    for (const Attempt *attempt : boards) {
        const bool isTaken = std::ranges::find(takenByFirst, attempt->source) != takenByFirst.end();
        if (isTaken && attempt->outcome == Outcome::Answered) {
            ofFirst.push_back(attempt);
        }
    }
    deployment.record.line(std::to_string(ofFirst.size()) + " boards are open at the host of " + first.name);
    const TimePoint began = Clock::now();
    const auto runUntil = [&](Milliseconds time) {
        deployment.loop.runFor(std::chrono::ceil<Milliseconds>(began + time - Clock::now()));
    };
    const auto setStill = [&](const Machine &machine, bool isStill) {
        if (hasTrouble()) {
            deployment.sendSignal(machine, isStill ? SIGSTOP : SIGCONT);
            deployment.record.line("the agent of " + machine.name + (isStill ? " stands still" : " goes on"));
        }
    };
    setStill(first, true);
    runUntil(s_secondStops);
    setStill(second, true);
    runUntil(s_requestsBegin);
    for (const Attempt *attempt : ofFirst) {
        deployment.requesters->sendAgain(*attempt, attempt->id + "-again");
        deployment.loop.runFor(s_requestInterval);
    }
    runUntil(s_firstWakes);
    setStill(first, false);
    runUntil(s_secondWakes - Milliseconds(100));
    std::vector<const Attempt *> inUse;
    for (const Attempt *attempt : ofFirst) {
        if (attempt->outcome == Outcome::Answered) {
            inUse.push_back(attempt);
        }
    }
    deployment.record.line(std::to_string(inUse.size()) + " of these boards are open and were answered again");
    runUntil(s_secondWakes);
    setStill(second, false);
    deployment.loop.runFor(s_afterwards);
    unsigned resets = 0;
    for (const Attempt *attempt : inUse) {
        // A reset from an agent that stood still is excused.
        const bool isExcused = attempt->resetBy == first.ip || attempt->resetBy == second.ip;
        if (attempt->outcome == Outcome::ResetWhileIdle && !isExcused) {
            ++resets;
            deployment.record.line("BROKEN: the open flow of " + attempt->id + " was reset, and not by its host");
        }
    }
    return resets > 0 ? Verdict::Broken : inUse.empty() ? Verdict::NotRun : Verdict::Held;
}

} // namespace review
