#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"
#include "telemetry/logging.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace samphireswitch::settings {

/** Where callers' connections end. */
enum class Delivery {
    /** At the agent, which speaks ordinary TCP to the upstream. */
    Terminated,
    /** At the upstream; the agent carries packets. */
    Passthrough,
};

/** The protocol of the store. */
enum class StoreProtocol {
    /** etcd v3, JSON over HTTP. */
    Etcd,
    /** The metadata store of the users' platform. */
    Platform,
};

/** How many requests an agent hands to its upstream at the same time. */
enum class UpstreamPacing {
    /** As many as the upstream has slots. */
    Off,
    /** At most as many as the upstream's answers show that it can bear; see passthrough::UpstreamPace. */
    Adaptive,
};

/** Settings that both processes have. */
struct ProcessSettings
{
    std::string name;
    std::string failureDomain;
    telemetry::Severity logLevel = telemetry::Severity::Info;

    /** Where envelopes, hints and packets arrive. */
    Endpoint dataAddress;
    /** UDP for datagrams of the control plane, TCP for RPC. */
    Endpoint controlAddress;
    Endpoint metricsAddress;

    /** Time between two announcements of this process. */
    std::chrono::milliseconds announceInterval {0};
    /** Silence after which a member gets no new work. */
    std::chrono::milliseconds suspectAfter {0};
    /** Silence after which a member is no longer tried. */
    std::chrono::milliseconds deadAfter {0};
};

struct BalancerSettings : ProcessSettings
{
    Delivery delivery = Delivery::Terminated;
    /** Where agents send hints. Port 0: to the data address, whose packets can then be told apart. */
    Endpoint hintAddress;
    /** Where the platform asks whether this balancer takes packets. Port 0: it does not ask. */
    Endpoint readinessAddress;
    /** Longest time that a balancer forwards after the order to stop. */
    std::chrono::milliseconds leaveLimit {0};
    /** Control addresses of balancers to contact first. Empty for the first balancer of a deployment. */
    std::vector<Endpoint> seeds;
    /** Number of flows for which a hint is kept. */
    std::uint64_t hintCapacity = 0;
    Endpoint storeEndpoint;
    StoreProtocol storeProtocol = StoreProtocol::Etcd;
    /** Time between two digests to a random peer. */
    std::chrono::milliseconds gossipInterval {0};
    /** Rate of the machine's network link in kilobits a second; 0 if it is not known. */
    std::uint32_t linkRate = 0;
    /** Share of a processor that the machine grants, in thousandths; 0 if it is not known. */
    std::uint32_t processorShare = 0;
};

struct AgentSettings : ProcessSettings
{
    Delivery delivery = Delivery::Terminated;
    /** Name of the host in the declarations. */
    std::string host;
    /** Service that the upstream of this host serves. */
    std::string service;
    /** Where packets to callers are sent. */
    Endpoint fabricAddress;
    /** IPv4 address of the upstream in host byte order; the ports are those of the service. */
    std::uint32_t upstreamAddress = 0;
    /** Control addresses of balancers to announce to first. */
    std::vector<Endpoint> balancers;
    /** Time after which an incomplete handshake is discarded. */
    std::chrono::milliseconds halfOpenTimeout {0};
    /** How long a flow must have had no owner before it is reset. */
    std::chrono::milliseconds noOwnerGrace {0};
    /** File to which the agent records its decisions; empty for none. */
    std::string traceFile;
};

/** Settings of an agent whose upstream ends the callers' connections itself. */
struct PassthroughAgentSettings : ProcessSettings
{
    Delivery delivery = Delivery::Passthrough;
    /** Name of the host. */
    std::string host;
    /** Pool that the upstream serves until it says otherwise. */
    std::string service;
    /** Where the upstream takes packets. */
    Endpoint upstreamAddress;
    /** Where the upstream sends its packets to. */
    Endpoint outboundAddress;
    /** Where the upstream sends its reports to. */
    Endpoint reportAddress;
    /** Control addresses of balancers to announce to first. */
    std::vector<Endpoint> balancers;
    /** The store that lists the balancers. */
    Endpoint storeEndpoint;
    StoreProtocol storeProtocol = StoreProtocol::Platform;
    /**
     * The whole system starts, so that no other process knows of flows. True also after a restart with the settings of
     * the first start.
     */
    bool startsEmpty = false;
    /** Busy agents compare expected waits instead of the shares of busy slots. All agents of a pool have the same. */
    bool comparesWaits = false;
    UpstreamPacing upstreamPacing = UpstreamPacing::Off;
    /** Silence of the upstream after which it gets no new flows. */
    std::chrono::milliseconds reportTimeout {0};
    /** Longest time that an agent waits for requests under way after the order to stop. */
    std::chrono::milliseconds leaveLimit {0};
    /** Minimum time between two writes of the open flows to the store; 0 if they are not kept there. */
    std::chrono::milliseconds storedFlowsInterval {0};
};

using AnyAgentSettings = std::variant<AgentSettings, PassthroughAgentSettings>;

/**
 * Read and check a settings file. Fail with ResultCode::FileNotReadable, or with ResultCode::InvalidSettings and a
 * message with one line per problem: file, line, section, key, what is wrong and the accepted form.
 */
Result<BalancerSettings> loadBalancerSettings(const std::string &path);
Result<AgentSettings> loadAgentSettings(const std::string &path);
/** The key `delivery` of the section `agent` tells which kind of agent the file is for. */
Result<AnyAgentSettings> loadAnyAgentSettings(const std::string &path);

/** As above, for a text that was already read. @p fileName is used in the messages only. */
Result<BalancerSettings> parseBalancerSettings(const std::string &text, const std::string &fileName);
Result<AgentSettings> parseAgentSettings(const std::string &text, const std::string &fileName);
Result<AnyAgentSettings> parseAnyAgentSettings(const std::string &text, const std::string &fileName);

/** Every key with its accepted form and default, one line each, for `--help` of a process. */
std::string describeBalancerSettings();
std::string describeAgentSettings();
std::string describePassthroughAgentSettings();

} // namespace samphireswitch::settings
