#pragma once

#include "base/time.h"
#include "control/gossipengine.h"

#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace samphireswitch::control {

/** Delivers the messages of a few GossipEngine objects after a fixed delay, with seeded loss. */
class GossipNetwork
{
public:
    GossipNetwork(std::uint64_t seed, double loss);

    GossipEngine &add(const std::string &name, protocol::MemberRole role, const std::string &service = {});
    void remove(const std::string &name);
    GossipEngine &engine(const std::string &name);

    /** Hands @p event to an engine and carries out its actions. */
    void send(const std::string &name, const GossipEvent &event);

    /** Lets @p duration pass. */
    void run(std::chrono::milliseconds duration);

    /** Runs until @p condition holds; false if it does not within @p limit. */
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);

    /** Processor time that all engines have used for their decisions. */
    std::chrono::duration<double> processorTime() const;

    /** Messages between processes for which this returns true are lost. */
    std::function<bool(const Endpoint &, const Endpoint &)> cut;

    /**
     * Control addresses of processes of the version before content hashes: what they send has none, they answer
     * requests with the records that changed after the generation of the requester, and know no notices.
     */
    std::set<Endpoint> earlierVersions;

    TimePoint now;
    /** Of the engines that are added from now on. */
    GossipSettings settings;
    /** Added to the clock that gives new processes their incarnation. */
    std::chrono::hours incarnationOffset {0};
    std::uint64_t bytesSent = 0;
    /** The part of bytesSent that went from a balancer to a balancer. */
    std::uint64_t bytesBetweenBalancers = 0;

private:
    struct Delivery
    {
        Endpoint to;
        GossipEvent event;
    };

    void handle(GossipEngine &engine, const GossipEvent &event);
    void perform(GossipEngine &engine, const GossipActions &actions);
    void deliverDue();
    /** The answer of @p peer to a request for its configuration. */
    ConfigurationReceived
    answer(const GossipEngine &peer, const PullConfiguration &pull, const Endpoint &requester) const;
    /** Removes from a message what the version of its sender does not know. */
    void removeUnknownFields(const Endpoint &from, protocol::Message &message) const;
    GossipEngine *find(const Endpoint &endpoint);
    bool isLost(const Endpoint &from, const Endpoint &to);

    std::mt19937_64 m_random;
    double m_loss;
    std::uint16_t m_nextPort = 1;
    std::vector<Endpoint> m_seeds;
    std::map<std::string, std::unique_ptr<GossipEngine>> m_engines;
    std::map<Endpoint, GossipEngine *> m_byEndpoint;
    std::clock_t m_processorTicks = 0;
    std::multimap<TimePoint, Delivery> m_deliveries;
};

} // namespace samphireswitch::control
