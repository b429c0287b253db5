#pragma once

#include "host.h"
#include "loop.h"
#include "packet.h"
#include "record.h"
#include "requester.h"
#include "store.h"

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

/** A route of the operator's configuration. */
struct Route
{
    std::string name;
    Address address;
    std::string service;
    std::string type = "idempotent";

    bool operator==(const Route &) const = default;
};

/** An `edge` or `side` machine with one process of the project. */
struct Machine
{
    std::string name;
    std::string zone;
    std::uint32_t ip = 0;
    /** Service of the host on a `side` machine; empty on an `edge` machine. */
    std::string service;
    pid_t process = -1;
};

/** A small deployment on loopback: processes of the project, and stand-ins of store, hosts and requesters. */
class Deployment
{
public:
    /** Addresses are on a random network of loopback. Throws std::runtime_error if it cannot be used. */
    explicit Deployment(const std::string &recordPath);
    /** Ends all processes that were started, and removes the temporary folder. */
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    Machine &addEdge(const std::string &zone);
    Machine &addSide(const std::string &zone, const std::string &service);

    /** Starts the process of @p machine by the command of deploy/system.toml. */
    void start(Machine &machine, bool isFirstStart);
    void sendSignal(const Machine &machine, int signal);
    /** Ends the process with SIGKILL and waits for its end. */
    void kill(Machine &machine);

    /** Settings of a host on @p machine. */
    HostSettings hostOn(const Machine &machine, const std::string &id) const;
    Host &startHost(const HostSettings &settings);

    /** The operator writes a configuration with these routes and a higher version. */
    void writeConfiguration(const std::vector<Route> &routes, const Loop::Handler &confirmed);

    /** Waits until every balancer is ready and answers a request to @p probe. Returns false after 20 s. */
    bool waitUntilServing(const Address &probe);

    Address packetAddress(const Machine &machine) const;
    /** The address at which the store serves @p machine. */
    Address storeAddress(const Machine &machine) const;
    std::vector<Machine *> edges();

    Loop loop;
    Record record;
    Store store;
    std::unique_ptr<Requesters> requesters;

private:
    std::string writeSettings(const Machine &machine, bool isFirstStart) const;

    std::uint32_t m_network = 0;
    std::string m_directory;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::uint64_t m_version = 0;
    unsigned m_probes = 0;
};

/** Whether the disruption of a case is played: unless TROUBLE is 0. */
bool hasTrouble();

} // namespace review
