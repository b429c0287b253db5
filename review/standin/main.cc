#include "cases.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <string>

/** Runs one case: CASE RECORD. The exit status is that of the case. */
int main(int argc, char **argv)
{
    using review::Verdict;
    const std::map<std::string, Verdict (*)(review::Deployment &)> cases {
        {"change-taken-back", review::changeTakenBack},
        {"balancers-replaced", review::balancersReplaced},
        {"watchers-turned-away", review::watchersTurnedAway},
        {"agents-stand-still", review::agentsStandStill},
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: standin CASE RECORD\n";
        return static_cast<int>(Verdict::NotRun);
    }
    signal(SIGPIPE, SIG_IGN);
    Verdict verdict = Verdict::NotRun;
    try {
        review::Deployment deployment(argv[2]);
        verdict = found->second(deployment);
        deployment.record.line(verdict == Verdict::Broken     ? "the rule was broken"
                                   : verdict == Verdict::Held ? "the rule held"
                                                              : "the case could not run");
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
    }
    std::cout << argv[1] << ": "
              << (verdict == Verdict::Broken     ? "the rule was broken"
                      : verdict == Verdict::Held ? "the rule held"
                                                 : "the case could not run")
              << '\n';
    return static_cast<int>(verdict);
}
