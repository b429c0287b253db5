#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"
#include "telemetry/logging.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace samphireswitch::settings {

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
    /** Control addresses of balancers to contact first. Empty for the first balancer of a deployment. */
    std::vector<Endpoint> seeds;
    /** Number of flows for which a hint is kept. */
    std::uint64_t hintCapacity = 0;
    Endpoint storeEndpoint;
    /** Time between two digests to a random peer. */
    std::chrono::milliseconds gossipInterval {0};
};

struct AgentSettings : ProcessSettings
{
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

/**
 * Read and check a settings file. Fail with ResultCode::FileNotReadable, or with ResultCode::InvalidSettings and a
 * message with one line per problem: file, line, section, key, what is wrong and the accepted form.
 */
Result<BalancerSettings> loadBalancerSettings(const std::string &path);
Result<AgentSettings> loadAgentSettings(const std::string &path);

/** As above, for a text that was already read. @p fileName is used in the messages only. */
Result<BalancerSettings> parseBalancerSettings(const std::string &text, const std::string &fileName);
Result<AgentSettings> parseAgentSettings(const std::string &text, const std::string &fileName);

/** Every key with its accepted form and default, one line each, for `--help` of a process. */
std::string describeBalancerSettings();
std::string describeAgentSettings();

} // namespace samphireswitch::settings
