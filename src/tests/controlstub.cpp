#include "tests/controlstub.h"

#include "protocol/configurationcodec.h"
#include "tests/resulterror.h"

#include <capnp/ez-rpc.h>

#include <algorithm>

namespace samphireswitch {

namespace {

using protocol::wire::Control;

constexpr std::uint32_t s_loopback = 0x7f000001;
constexpr std::size_t s_eventsInAnswer = 2;

class Server final : public Control::Server
{
public:
    Server(std::mutex &mutex, ControlStub::Content &content)
        : m_mutex(mutex)
        , m_content(content)
    {
    }

    kj::Promise<void> status(StatusContext context) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_content.hangs) {
            return kj::NEVER_DONE;
        }
        protocol::writeStatus(m_content.status, context.getResults().initStatus());
        return kj::READY_NOW;
    }

    kj::Promise<void> configurationSince(ConfigurationSinceContext context) override
    {
        const std::lock_guard lock(m_mutex);
        configuration::ConfigurationDelta delta {context.getParams().getGeneration(), m_content.status.generation, {}};
        if (m_content.isFaulty) {
            delta.records.emplace_back();
        }
        protocol::writeConfigurationDelta(delta, context.getResults().initDelta());
        return kj::READY_NOW;
    }

    kj::Promise<void> offerConfiguration(OfferConfigurationContext context) override
    {
        const auto delta = protocol::readConfigurationDelta(context.getParams().getDelta());
        const std::lock_guard lock(m_mutex);
        m_content.offers.push_back(*delta);
        m_content.status.generation = std::max(m_content.status.generation, delta->to);
        context.getResults().setGeneration(m_content.status.generation);
        context.getResults().setCode(m_content.isFaulty ? 999 : 0);
        return kj::READY_NOW;
    }

    kj::Promise<void> membersDiffering(MembersDifferingContext context) override
    {
        const std::lock_guard lock(m_mutex);
        const auto &members = m_content.status.members;
        protocol::writeMemberRecords(members, context.getResults().initRecords(static_cast<unsigned>(members.size())));
        return kj::READY_NOW;
    }

    kj::Promise<void> events(EventsContext context) override
    {
        const std::lock_guard lock(m_mutex);
        std::vector<telemetry::EventRecord> events;
        std::ranges::copy_if(m_content.events, std::back_inserter(events), [&](const auto &event) {
            return event.sequence > context.getParams().getSince();
        });
        events.resize(std::min(events.size(), s_eventsInAnswer));
        context.getResults().setNext(events.empty() ? context.getParams().getSince() : events.back().sequence);
        protocol::writeEvents(events, context.getResults().initEvents(static_cast<unsigned>(events.size())));
        return kj::READY_NOW;
    }

private:
    std::mutex &m_mutex;
    ControlStub::Content &m_content;
};

} // namespace

ControlStub::ControlStub(Content content)
    : m_content(std::move(content))
{
    std::promise<Endpoint> started;
    auto endpoint = started.get_future();
    m_thread = std::thread([this, promise = std::move(started)]() mutable { serve(std::move(promise)); });
    m_endpoint = endpoint.get();
}

ControlStub::~ControlStub()
{
    m_stop->fulfill();
    m_thread.join();
}

Endpoint ControlStub::endpoint() const
{
    return m_endpoint;
}

std::vector<configuration::ConfigurationDelta> ControlStub::offers() const
{
    const std::lock_guard lock(m_mutex);
    return m_content.offers;
}

void ControlStub::setStatus(const protocol::Status &status)
{
    const std::lock_guard lock(m_mutex);
    m_content.status = status;
}

void ControlStub::serve(std::promise<Endpoint> started)
{
    capnp::EzRpcServer server(kj::heap<Server>(m_mutex, m_content), "127.0.0.1", 0);
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    m_stop = kj::mv(stop.fulfiller);
    const auto port = server.getPort().wait(server.getWaitScope());
    started.set_value({s_loopback, static_cast<std::uint16_t>(port)});
    stop.promise.wait(server.getWaitScope());
}

} // namespace samphireswitch
