#pragma once

#include "host.h"
#include "judge.h"
#include "record.h"
#include "requesters.h"
#include "soak/fabric.h"
#include "soak/machinelayout.h"
#include "soak/operator.h"
#include "soak/processgroup.h"
#include "soak/promisecheck.h"
#include "soak/storeserver.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphireswitch::review {

struct WorldOptions
{
    std::string program;
    std::string templates;
    std::string directory;
    std::string record;
    unsigned balancers = 3;
    unsigned machines = 6;
    unsigned zones = 2;
    /** The disruption is left out if this is false. */
    bool hasTrouble = true;
};

/** What may differ from one start of a host to another. */
struct HostStart
{
    /** `sequence` of the first status report. */
    unsigned firstSequence = 0;
    /** How far the machine's time of day is ahead at the start. */
    std::chrono::milliseconds clockAhead {0};
};

/** A small deployment on loopback: the store, the operator, routers, balancers, agents with their hosts, requesters. */
class World
{
public:
    explicit World(const WorldOptions &options);

    /** Starts everything and calls @p ready when all balancers are in rotation and machines had time to settle. */
    bool start(std::function<void()> ready);

    /** Runs until finish() is called; returns whether it was called in time. */
    bool run();

    /** Stops the balancers and agents. */
    void finish();

    void after(std::chrono::milliseconds delay, std::function<void()> action);

    /** Starts a machine with an agent and a host, which begins @p hostDelay after the agent. */
    void addMachine(unsigned number, std::chrono::milliseconds hostDelay, const HostStart &start = {});
    /** Starts a balancer on a new machine. */
    void addBalancer(unsigned number);
    /** Kills an agent with SIGKILL and starts it again after @p delay. */
    void killAgent(unsigned number, std::chrono::milliseconds delay);
    /** The case cannot be judged, since what it needs did not come about. */
    void fail(const std::string &reason);
    bool hasFailed() const;

    Host &host(unsigned number);
    Requesters &requesters();
    Judge &judge();
    Record &record();
    bool hasTrouble() const;
    /** Address and port of the route of the larger service, whose requests may run once only. */
    static Endpoint route();

private:
    void waitUntilReady(std::function<void()> ready);
    void startProcess(const std::string &name, bool isFirst);
    /** Copies the templates of the deploy file for the next start of @p name. */
    void writeTemplates(const std::string &name);

    WorldOptions m_options;
    Record m_record;
    Judge m_judge;
    boost::asio::io_context m_context;
    soak::PromiseCheck m_check;
    soak::MachineLayout m_layout;
    soak::StoreServer m_store;
    soak::Operator m_operator;
    soak::ProcessGroup m_processes;
    soak::Fabric m_fabric;
    Requesters m_requesters;
    std::map<unsigned, std::unique_ptr<Host>> m_hosts;
    std::vector<std::string> m_names;
    bool m_isFinished = false;
    bool m_hasFailed = false;
};

} // namespace samphireswitch::review
