#include "bench/gossipnetwork.h"

#include "protocol/datagramcodec.h"

namespace samphireswitch::control {

namespace {

constexpr std::chrono::milliseconds s_delay {1};
constexpr std::chrono::milliseconds s_tick {100};
constexpr std::size_t s_seedCount = 3;

} // namespace

GossipNetwork::GossipNetwork(std::uint64_t seed, double loss)
    : now(TimePoint {} + std::chrono::hours(1))
    , m_random(seed)
    , m_loss(loss)
{
}

GossipEngine &GossipNetwork::add(const std::string &name, protocol::MemberRole role, const std::string &service)
{
    protocol::MemberRecord self;
    self.id = hashText(name);
    self.role = role;
    self.incarnation = static_cast<std::uint64_t>((now + incarnationOffset).time_since_epoch().count());
    self.version = 1;
    self.name = name;
    self.control = {1, m_nextPort};
    self.data = {2, m_nextPort};
    ++m_nextPort;
    if (!service.empty()) {
        self.service = ServiceId::fromName(service);
    }
    m_engines[name] = std::make_unique<GossipEngine>(settings, self, m_seeds, std::mt19937_64(m_random()));
    if (role == protocol::MemberRole::Balancer && m_seeds.size() < s_seedCount) {
        m_seeds.push_back(self.control);
    }
    m_byEndpoint[self.control] = m_engines[name].get();
    return *m_engines[name];
}

void GossipNetwork::remove(const std::string &name)
{
    m_byEndpoint.erase(engine(name).self().control);
    m_engines.erase(name);
}

GossipEngine &GossipNetwork::engine(const std::string &name)
{
    return *m_engines.at(name);
}

void GossipNetwork::send(const std::string &name, const GossipEvent &event)
{
    handle(engine(name), event);
}

void GossipNetwork::handle(GossipEngine &engine, const GossipEvent &event)
{
    const std::clock_t started = std::clock();
    const GossipActions actions = engine.handle(event, now);
    m_processorTicks += std::clock() - started;
    perform(engine, actions);
}

std::chrono::duration<double> GossipNetwork::processorTime() const
{
    return std::chrono::duration<double>(static_cast<double>(m_processorTicks) / CLOCKS_PER_SEC);
}

void GossipNetwork::run(std::chrono::milliseconds duration)
{
    const TimePoint end = now + duration;
    while (now < end) {
        for (const auto &[name, engine] : m_engines) {
            handle(*engine, TimerExpired {});
        }
        now += s_tick;
        deliverDue();
    }
}

bool GossipNetwork::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const TimePoint end = now + limit;
    while (now < end) {
        if (condition()) {
            return true;
        }
        run(s_tick);
    }
    return condition();
}

void GossipNetwork::perform(GossipEngine &engine, const GossipActions &actions)
{
    protocol::DatagramCodec codec;
    const Endpoint from = engine.self().control;
    for (const GossipAction &action : actions) {
        if (const auto *send = std::get_if<SendDatagram>(&action)) {
            const std::size_t size = codec.encode(send->message).value().size();
            const GossipEngine *receiver = find(send->to);
            bytesSent += size;
            if (receiver != nullptr && receiver->self().role == engine.self().role) {
                bytesBetweenBalancers += size;
            }
            const bool isUnknown = std::holds_alternative<protocol::ConfirmationNotice>(send->message)
                && (earlierVersions.contains(from) || earlierVersions.contains(send->to));
            if (!isUnknown && !isLost(from, send->to)) {
                DatagramReceived received {from, send->message};
                removeUnknownFields(from, received.message);
                m_deliveries.emplace(now + s_delay, Delivery {send->to, std::move(received)});
            }
            continue;
        }
        if (const auto *pull = std::get_if<PullConfiguration>(&action)) {
            GossipEngine *peer = find(pull->from);
            if (peer == nullptr || isLost(from, pull->from)) {
                continue;
            }
            m_deliveries.emplace(now + 2 * s_delay, Delivery {from, answer(*peer, *pull, from)});
            continue;
        }
        if (const auto *pull = std::get_if<PullMembers>(&action)) {
            GossipEngine *peer = find(pull->from);
            if (peer == nullptr || isLost(from, pull->from)) {
                continue;
            }
            m_deliveries.emplace(
                now + 2 * s_delay,
                Delivery {from,
                          MembersReceived {peer->members().recordsDiffering(pull->hashes, peer->self(), now),
                                           MembersSource::Peer}});
        }
    }
}

ConfigurationReceived
GossipNetwork::answer(const GossipEngine &peer, const PullConfiguration &pull, const Endpoint &requester) const
{
    const configuration::ConfigurationTable &table = peer.configuration();
    if (earlierVersions.contains(peer.self().control)) {
        configuration::ConfigurationDelta delta {pull.since, table.generation(), {}};
        for (const auto &[name, record] : table.services()) {
            if (record.generation > pull.since) {
                delta.records.push_back(record);
            }
        }
        return {std::move(delta)};
    }
    const auto followed = pull.service.value == 0 ? std::nullopt : std::optional(pull.service);
    if (earlierVersions.contains(requester)) {
        return {table.wholeDelta(followed)};
    }
    auto patch = table.patchFor(pull.hashes, followed);
    return {std::move(patch), peer.configurationConfirmedAt()};
}

void GossipNetwork::removeUnknownFields(const Endpoint &from, protocol::Message &message) const
{
    if (!earlierVersions.contains(from)) {
        return;
    }
    if (auto *digest = std::get_if<protocol::Digest>(&message)) {
        digest->content = {};
    } else if (auto *acknowledgement = std::get_if<protocol::AnnounceAck>(&message)) {
        acknowledgement->content = {};
    }
}

void GossipNetwork::deliverDue()
{
    const TimePoint end = now;
    while (!m_deliveries.empty() && m_deliveries.begin()->first <= end) {
        const auto first = m_deliveries.begin();
        now = first->first;
        Delivery delivery = std::move(first->second);
        m_deliveries.erase(first);
        GossipEngine *target = find(delivery.to);
        if (target != nullptr) {
            handle(*target, delivery.event);
        }
    }
    now = end;
}

GossipEngine *GossipNetwork::find(const Endpoint &endpoint)
{
    const auto found = m_byEndpoint.find(endpoint);
    return found == m_byEndpoint.end() ? nullptr : found->second;
}

bool GossipNetwork::isLost(const Endpoint &from, const Endpoint &to)
{
    if (cut && cut(from, to)) {
        return true;
    }
    return std::uniform_real_distribution<>(0, 1)(m_random) < m_loss;
}

} // namespace samphireswitch::control
