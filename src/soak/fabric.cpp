#include "soak/fabric.h"

#include "soak/httpcall.h"
#include "standin/sockets.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace samphireswitch::soak {

namespace {

using boost::system::error_code;

// PROTOCOL.md, Ingress: asked twice a second; out of rotation after two misses.
constexpr std::chrono::milliseconds s_readinessInterval {500};
constexpr std::chrono::milliseconds s_readinessLimit {400};
constexpr unsigned s_mostMisses = 2;
constexpr unsigned s_ready = 200;
constexpr std::uint64_t s_routerSeed = 0x726f75746572ULL;

} // namespace

Fabric::Fabric(boost::asio::io_context &context,
               std::vector<FabricBalancer> balancers,
               PromiseCheck &check,
               RouterSettings settings)
    : m_context(context)
    , m_check(check)
    , m_settings(std::move(settings))
    , m_socket(context)
    , m_timer(context)
{
    for (FabricBalancer &balancer : balancers) {
        add(std::move(balancer));
    }
}

void Fabric::add(FabricBalancer balancer)
{
    m_targets.push_back({std::move(balancer), standin::FaultRules(m_settings.seed + m_targets.size()), 0, false, true});
}

void Fabric::remove(const std::string &balancer)
{
    for (Target &target : m_targets) {
        target.isPresent = target.isPresent && target.balancer.name != balancer;
    }
}

Result<void> Fabric::start(const Endpoint &endpoint)
{
    BOOST_LEAF_CHECK(standin::bindTo(m_socket, standin::toUdp(endpoint)));
    askAll();
    return {};
}

void Fabric::send(const flow::FlowKey &key, bool isFirst, const std::string &bytes, TimePoint now)
{
    const std::vector<Target *> targets = rotation(key.source);
    Target &target = *targets[flow::hashFlow(key, s_routerSeed) % targets.size()];
    m_check.packetSent(key, target.balancer.name, isFirst, now);
    if (target.rules.isCut(standin::Direction::ToTarget)) {
        return;
    }
    for (const standin::PlannedCopy &copy : target.rules.planDatagram(standin::Direction::ToTarget, isFirst)) {
        if (copy.delay.count() == 0) {
            transmit(target.balancer.packets, bytes);
            continue;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, copy.delay);
        timer->async_wait([this, timer, bytes, endpoint = target.balancer.packets](const error_code &) {
            transmit(endpoint, bytes);
        });
    }
}

void Fabric::disturb(const std::string &balancer, const std::string &command)
{
    for (Target &target : m_targets) {
        if (target.balancer.name == balancer) {
            target.rules.execute(command);
        }
    }
}

bool Fabric::isComplete() const
{
    return std::ranges::all_of(m_targets,
                               [](const Target &target) { return target.isInRotation || !target.isPresent; });
}

void Fabric::askAll()
{
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        if (!m_targets[index].isPresent) {
            continue;
        }
        startHttpCall(m_context,
                      m_targets[index].balancer.readiness,
                      {"GET", "/api/ready", {}},
                      s_readinessLimit,
                      [this, index](unsigned status) { answered(index, status); });
    }
    m_timer.expires_after(s_readinessInterval);
    m_timer.async_wait([this](const error_code &error) {
        if (!error) {
            askAll();
        }
    });
}

void Fabric::answered(std::size_t index, unsigned status)
{
    Target &target = m_targets[index];
    if (status == s_ready) {
        target.misses = 0;
        target.isInRotation = true;
        return;
    }
    ++target.misses;
    target.isInRotation = target.isInRotation && target.misses < s_mostMisses;
}

std::vector<Fabric::Target *> Fabric::rotationOf(const std::vector<Target *> &targets)
{
    std::vector<Target *> ready = targets;
    std::erase_if(ready, [](const Target *target) { return !target->isInRotation; });
    // With fewer than half in rotation the platform uses all.
    return 2 * ready.size() < targets.size() ? targets : ready;
}

std::vector<Fabric::Target *> Fabric::rotation(const Endpoint &caller)
{
    std::vector<Target *> all;
    for (Target &target : m_targets) {
        if (target.isPresent) {
            all.push_back(&target);
        }
    }
    if (!m_settings.isZoned) {
        return rotationOf(all);
    }
    const std::string &domain = m_settings.failureDomains[caller.address % m_settings.failureDomains.size()];
    std::vector<Target *> near = all;
    std::erase_if(near, [&domain](const Target *target) { return target->balancer.failureDomain != domain; });
    const bool isNoneReady = std::ranges::none_of(near, &Target::isInRotation);
    return rotationOf(isNoneReady ? all : near);
}

void Fabric::transmit(const Endpoint &target, const std::string &bytes)
{
    error_code ignored;
    m_socket.send_to(boost::asio::buffer(bytes), standin::toUdp(target), 0, ignored);
}

} // namespace samphireswitch::soak
