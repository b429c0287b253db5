#pragma once

#include "base/time.h"
#include "standin/deployment.h"
#include "standin/runreport.h"

#include <set>
#include <string>

namespace samphireswitch::standin {

/**
 * Runs a deployment with a surge, the drain of a host and the death of a balancer, and prints what callers noticed.
 * Functions throw std::runtime_error if a process or command fails.
 */
class Demo
{
public:
    /** @p declaration is the text of the deployment's declaration, @p directory gets all files of the run. */
    Demo(const std::string &declaration, const std::string &directory);

    /** Returns whether all guarantees held. */
    bool run();

private:
    void announce(const std::string &text) const;
    void startServing();
    void startCallers();
    void drainHost();
    void killBalancer();
    void waitForCallers();
    bool report();
    void reportService(const DeclaredService &service, const RunReport &runReport);
    std::set<std::string> hostsOf(const std::string &service) const;

    std::string m_declaration;
    Deployment m_deployment;
    TimePoint m_processStart;
    JournalTime m_loadStart {0};
    JournalTime m_drainTime {0};
    std::string m_drainedHost;
};

} // namespace samphireswitch::standin
