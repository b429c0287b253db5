#include "control/rpcnode.h"

#include "base/socketaddress.h"
#include "protocol/configurationcodec.h"
#include "protocol/datagramcodec.h"
#include "telemetry/logging.h"

#include <boost/lockfree/spsc_queue.hpp>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <netinet/in.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <set>
#include <utility>

namespace samphireswitch::control {

namespace {

using protocol::wire::Control;

constexpr std::size_t s_pullRingCapacity = 256;
constexpr auto s_pullTimeout = 2 * kj::SECONDS;
// An offer waits until the control thread has applied it, for at most s_offerPolls intervals (1 s).
constexpr auto s_offerPollInterval = 5 * kj::MILLISECONDS;
constexpr int s_offerPolls = 200;
// Limits the size of one answer. The client requests the next page from the last sequence that it received.
constexpr std::size_t s_eventsInAnswer = 2000;

/** Calls @p function with the value of @p result, or logs the error. */
template<typename T, typename Function>
void handleOrLog(Result<T> result, Function function)
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(value, std::move(result));
            function(std::move(value));
            return {};
        },
        [](const Error &error) { telemetry::log(telemetry::Severity::Warning, error.message); },
        []() {});
}

/** Implements the RPC interface `Control` for peers and for the commands of operators. */
class ControlServer final : public Control::Server
{
public:
    ControlServer(const RpcSources &sources, telemetry::EventLog &events, kj::Timer &timer)
        : m_sources(sources)
        , m_events(events)
        , m_timer(timer)
    {
    }

    kj::Promise<void> status(StatusContext context) override
    {
        protocol::writeStatus(m_sources.status(), context.getResults().initStatus());
        return kj::READY_NOW;
    }

    kj::Promise<void> configurationSince(ConfigurationSinceContext context) override
    {
        const auto parameters = context.getParams();
        // Read before the snapshot: a newer content with the confirmation of an older one looks older than it is, which
        // does no harm.
        const auto confirmedAt = m_sources.configurationConfirmedAt();
        const auto configuration = m_sources.snapshot()->configuration;
        const ServiceId service {parameters.getService()};
        const auto followed = service.value == 0 ? std::nullopt : std::optional(service);
        if (!parameters.hasBucketHashes()) {
            const auto delta = configuration->wholeDelta(followed);
            protocol::writeConfigurationDelta(delta, context.getResults().initDelta());
            return kj::READY_NOW;
        }
        handleOrLog(protocol::readContentHashes(parameters.getBucketHashes()), [&](const auto &hashes) {
            const auto patch = configuration->patchFor(hashes, followed);
            protocol::writeConfigurationPatch(patch, ageOf(confirmedAt), context.getResults().initDelta());
        });
        return kj::READY_NOW;
    }

    kj::Promise<void> offerConfiguration(OfferConfigurationContext context) override
    {
        Generation offered = 0;
        ResultCode code = ResultCode::Ok;
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(delta, protocol::readConfigurationDelta(context.getParams().getDelta()));
                offered = delta.to;
                m_sources.post(ConfigurationReceived {std::move(delta)});
                return {};
            },
            [&](const Error &error) { code = error.code; },
            [&]() { code = ResultCode::MessageMalformed; });
        if (code != ResultCode::Ok) {
            answerOffer(context, code);
            return kj::READY_NOW;
        }
        return awaitGeneration(context, offered, s_offerPolls);
    }

    kj::Promise<void> membersDiffering(MembersDifferingContext context) override
    {
        const auto given = context.getParams().getBucketHashes();
        const auto snapshot = m_sources.snapshot();
        const auto members = snapshot->members;
        std::vector<protocol::MemberRecord> records;
        if (given.size() == protocol::s_digestBucketCount) {
            membership::BucketHashes hashes {};
            for (unsigned bucket = 0; bucket < given.size(); ++bucket) {
                hashes[bucket] = given[bucket];
            }
            records = members->recordsDiffering(hashes, snapshot->self, Clock::now());
        } else {
            records = members->records();
            records.push_back(snapshot->self);
        }
        const auto count = static_cast<unsigned>(records.size());
        protocol::writeMemberRecords(records, context.getResults().initRecords(count));
        return kj::READY_NOW;
    }

    kj::Promise<void> events(EventsContext context) override
    {
        auto events = m_events.eventsSince(context.getParams().getSince());
        if (events.size() > s_eventsInAnswer) {
            events.resize(s_eventsInAnswer);
        }
        auto results = context.getResults();
        results.setNext(events.empty() ? context.getParams().getSince() : events.back().sequence);
        protocol::writeEvents(events, results.initEvents(static_cast<unsigned>(events.size())));
        return kj::READY_NOW;
    }

private:
    static std::optional<std::chrono::milliseconds> ageOf(const std::optional<TimePoint> &time)
    {
        return time ? std::optional(std::chrono::ceil<std::chrono::milliseconds>(Clock::now() - *time)) : std::nullopt;
    }

    void answerOffer(OfferConfigurationContext &context, ResultCode code)
    {
        context.getResults().setGeneration(m_sources.snapshot()->configuration->generation());
        context.getResults().setCode(static_cast<std::uint32_t>(code));
    }

    kj::Promise<void> awaitGeneration(OfferConfigurationContext context, Generation offered, int pollsLeft)
    {
        const bool inForce = m_sources.snapshot()->configuration->generation() >= offered;
        if (inForce || pollsLeft == 0) {
            answerOffer(context, inForce ? ResultCode::Ok : ResultCode::GenerationGap);
            return kj::READY_NOW;
        }
        return m_timer.afterDelay(s_offerPollInterval).then([this, context, offered, pollsLeft]() mutable {
            return awaitGeneration(context, offered, pollsLeft - 1);
        });
    }

    const RpcSources &m_sources;
    telemetry::EventLog &m_events;
    kj::Timer &m_timer;
};

/** A connection to a peer for one call. The client uses the stream and has to be destroyed first. */
struct PeerConnection
{
    explicit PeerConnection(kj::Own<kj::AsyncIoStream> connected)
        : stream(kj::mv(connected))
        , client(*stream)
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
};

/** Identifies a pull in progress by the peer and the index of the request in PullRequest. */
using PullKey = std::pair<Endpoint, std::size_t>;

} // namespace

class RpcNode::Private final : private kj::TaskSet::ErrorHandler
{
public:
    Private(const Endpoint &listenAddress, RpcSources rpcSources, telemetry::EventLog &eventLog)
        : address(listenAddress)
        , sources(std::move(rpcSources))
        , events(eventLog)
    {
    }

    ~Private()
    {
        for (const int descriptor : {listener, wakeupEvent}) {
            if (descriptor >= 0) {
                close(descriptor);
            }
        }
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void serve();
    void notify() const;
    kj::Promise<void> processWakeups(kj::AsyncInputStream &stream);
    kj::Promise<void> startPull(kj::AsyncIoProvider &provider, const PullRequest &request);
    kj::Promise<void> pullFrom(kj::Own<PeerConnection> connection, const PullConfiguration &request);
    kj::Promise<void> pullFrom(kj::Own<PeerConnection> connection, const PullMembers &request);
    void taskFailed(kj::Exception &&exception) override;

    Endpoint address;
    RpcSources sources;
    telemetry::EventLog &events;
    int listener = -1;
    int wakeupEvent = -1;
    std::atomic<bool> stopRequested {false};
    boost::lockfree::spsc_queue<PullRequest, boost::lockfree::capacity<s_pullRingCapacity>> pulls;

    // The members below are used only by the thread that executes run().
    std::uint64_t wakeupCount = 0;
    std::set<PullKey> activePulls;
    kj::AsyncIoProvider *provider = nullptr;
    kj::Timer *timer = nullptr;
    kj::TaskSet *tasks = nullptr;
};

void RpcNode::Private::serve()
{
    auto io = kj::setupAsyncIo();
    provider = io.provider.get();
    timer = &provider->getTimer();
    kj::TaskSet taskSet(*this);
    tasks = &taskSet;
    capnp::TwoPartyServer server(kj::heap<ControlServer>(sources, events, *timer));
    auto receiver = io.lowLevelProvider->wrapListenSocketFd(listener);
    taskSet.add(server.listen(*receiver));
    auto wakeupStream = io.lowLevelProvider->wrapInputFd(wakeupEvent);
    processWakeups(*wakeupStream).wait(io.waitScope);
    tasks = nullptr;
}

void RpcNode::Private::notify() const
{
    const std::uint64_t one = 1;
    // A write to an eventfd blocks only if its counter would overflow, which is not possible here.
    [[maybe_unused]] const auto written = write(wakeupEvent, &one, sizeof(one));
}

kj::Promise<void> RpcNode::Private::processWakeups(kj::AsyncInputStream &stream)
{
    return stream.read(&wakeupCount, sizeof(wakeupCount)).then([this, &stream]() -> kj::Promise<void> {
        if (stopRequested) {
            return kj::READY_NOW;
        }
        PullRequest request;
        while (pulls.pop(request)) {
            const Endpoint peer = std::visit([](const auto &kind) { return kind.from; }, request);
            const PullKey key {peer, request.index()};
            if (!activePulls.insert(key).second) {
                continue;
            }
            auto pull = timer->timeoutAfter(s_pullTimeout, startPull(*provider, request));
            tasks->add(pull.catch_([](kj::Exception &&) {}).then([this, key]() { activePulls.erase(key); }));
        }
        return processWakeups(stream);
    });
}

kj::Promise<void> RpcNode::Private::startPull(kj::AsyncIoProvider &io, const PullRequest &request)
{
    const Endpoint peer = std::visit([](const auto &kind) { return kind.from; }, request);
    const sockaddr_in socketAddress = toSocketAddress(peer);
    auto target = io.getNetwork().getSockaddr(&socketAddress, sizeof(socketAddress));
    auto connected = target->connect().attach(kj::mv(target));
    return connected.then([this, request](kj::Own<kj::AsyncIoStream> stream) {
        auto connection = kj::heap<PeerConnection>(kj::mv(stream));
        return std::visit([&](const auto &kind) { return pullFrom(kj::mv(connection), kind); }, request);
    });
}

kj::Promise<void> RpcNode::Private::pullFrom(kj::Own<PeerConnection> connection, const PullConfiguration &pull)
{
    auto call = connection->client.bootstrap().castAs<Control>().configurationSinceRequest();
    call.setGeneration(pull.since);
    call.setService(pull.service.value);
    protocol::writeContentHashes(pull.hashes, call.initBucketHashes(static_cast<unsigned>(pull.hashes.size())));
    // The peer answers later than this, so that the confirmation is not taken for a more recent one.
    const TimePoint requestedAt = Clock::now();
    return call.send()
        .then([this, requestedAt](capnp::Response<Control::ConfigurationSinceResults> response) {
            handleOrLog(protocol::readConfigurationAnswer(response.getDelta()), [&](auto answer) {
                ConfigurationReceived received {std::move(answer.content)};
                if (answer.confirmedAge) {
                    received.confirmedAt = requestedAt - *answer.confirmedAge;
                }
                sources.post(received);
            });
        })
        .attach(kj::mv(connection));
}

kj::Promise<void> RpcNode::Private::pullFrom(kj::Own<PeerConnection> connection, const PullMembers &pull)
{
    auto call = connection->client.bootstrap().castAs<Control>().membersDifferingRequest();
    auto hashes = call.initBucketHashes(static_cast<unsigned>(pull.hashes.size()));
    unsigned bucket = 0;
    for (const std::uint64_t hash : pull.hashes) {
        hashes.set(bucket, hash);
        ++bucket;
    }
    return call.send()
        .then([this](capnp::Response<Control::MembersDifferingResults> response) {
            handleOrLog(protocol::readMemberRecords(response.getRecords()), [this](auto records) {
                sources.post(MembersReceived {std::move(records), MembersSource::Peer});
            });
        })
        .attach(kj::mv(connection));
}

void RpcNode::Private::taskFailed(kj::Exception &&exception)
{
    telemetry::log(telemetry::Severity::Warning, std::string("RPC: ") + exception.getDescription().cStr());
}

RpcNode::RpcNode(const Endpoint &address, RpcSources sources, telemetry::EventLog &events)
    : m_d(std::make_unique<Private>(address, std::move(sources), events))
{
}

RpcNode::~RpcNode() = default;

Result<void> RpcNode::open()
{
    m_d->wakeupEvent = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    m_d->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    const sockaddr_in address = toSocketAddress(m_d->address);
    // SO_REUSEADDR lets a restarted process bind while connections of its predecessor are in TIME_WAIT.
    setsockopt(m_d->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const bool bound = m_d->listener >= 0 && m_d->wakeupEvent >= 0
        && bind(m_d->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
        && listen(m_d->listener, SOMAXCONN) == 0;
    if (!bound) {
        return boost::leaf::new_error(Error {
            ResultCode::SocketError, "cannot listen on TCP " + toString(m_d->address) + ": " + std::strerror(errno)});
    }
    return {};
}

void RpcNode::run()
{
    m_d->serve();
}

void RpcNode::requestStop()
{
    m_d->stopRequested = true;
    m_d->notify();
}

void RpcNode::pull(const PullRequest &request)
{
    if (m_d->pulls.push(request)) {
        m_d->notify();
    }
}

} // namespace samphireswitch::control
