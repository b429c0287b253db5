#include "control/controlclient.h"

#include "protocol/configurationcodec.h"

#include <capnp/ez-rpc.h>
#include <kj/async-io.h>
#include <kj/exception.h>
#include <kj/timer.h>

#include <string>

namespace samphireswitch::control {

namespace {

using protocol::wire::Control;

/**
 * Opens a connection, sends the request that @p prepare creates, and returns what @p read makes of the answer. Fails
 * with ResultCode::PeerUnavailable if the connection fails or no answer arrives within @p timeLimit.
 */
template<typename Prepare, typename Read>
auto call(const Endpoint &server, std::chrono::milliseconds timeLimit, Prepare prepare, Read read)
    -> decltype(read(prepare(std::declval<Control::Client &>()).send().wait(std::declval<kj::WaitScope &>())))
{
    try {
        capnp::EzRpcClient client(toString(server).c_str());
        auto control = client.getMain<Control>();
        auto request = prepare(control);
        kj::Timer &timer = client.getIoProvider().getTimer();
        auto answer = timer.timeoutAfter(timeLimit.count() * kj::MILLISECONDS, request.send().dropPipeline());
        return read(answer.wait(client.getWaitScope()));
    } catch (const kj::Exception &exception) {
        return boost::leaf::new_error(
            Error {ResultCode::PeerUnavailable,
                   "the process at " + toString(server) + " does not respond: " + exception.getDescription().cStr()});
    }
}

Result<ResultCode> readCode(std::uint32_t number)
{
    const auto code = static_cast<ResultCode>(number);
    if (resultCodeName(code) == "Unknown") {
        return boost::leaf::new_error(Error {ResultCode::MessageMalformed,
                                             "the answer contains the unknown result code " + std::to_string(number)});
    }
    return code;
}

} // namespace

ControlClient::ControlClient(const Endpoint &server, std::chrono::milliseconds timeLimit)
    : m_server(server)
    , m_timeLimit(timeLimit)
{
}

Result<protocol::Status> ControlClient::status() const
{
    return call(
        m_server,
        m_timeLimit,
        [](Control::Client &control) { return control.statusRequest(); },
        [](const auto &answer) { return protocol::readStatus(answer.getStatus()); });
}

Result<configuration::ConfigurationDelta> ControlClient::configurationSince(Generation generation) const
{
    // In the RPC interface, the service 0 stands for all services.
    return configurationSince(generation, ServiceId {});
}

Result<configuration::ConfigurationDelta> ControlClient::configurationSince(Generation generation,
                                                                            ServiceId service) const
{
    return call(
        m_server,
        m_timeLimit,
        [&](Control::Client &control) {
            auto request = control.configurationSinceRequest();
            request.setGeneration(generation);
            request.setService(service.value);
            return request;
        },
        [](const auto &answer) { return protocol::readConfigurationDelta(answer.getDelta()); });
}

Result<OfferAnswer> ControlClient::offerConfiguration(const configuration::ConfigurationDelta &delta) const
{
    return call(
        m_server,
        m_timeLimit,
        [&](Control::Client &control) {
            auto request = control.offerConfigurationRequest();
            protocol::writeConfigurationDelta(delta, request.initDelta());
            return request;
        },
        [](const auto &answer) -> Result<OfferAnswer> {
            BOOST_LEAF_AUTO(code, readCode(answer.getCode()));
            return OfferAnswer {answer.getGeneration(), code};
        });
}

Result<std::vector<protocol::MemberRecord>> ControlClient::members() const
{
    return call(
        m_server,
        m_timeLimit,
        [](Control::Client &control) { return control.membersDifferingRequest(); },
        [](const auto &answer) { return protocol::readMemberRecords(answer.getRecords()); });
}

Result<EventPage> ControlClient::events(std::uint64_t since) const
{
    return call(
        m_server,
        m_timeLimit,
        [&](Control::Client &control) {
            auto request = control.eventsRequest();
            request.setSince(since);
            return request;
        },
        [](const auto &answer) -> Result<EventPage> {
            BOOST_LEAF_AUTO(events, protocol::readEvents(answer.getEvents()));
            return EventPage {std::move(events), answer.getNext()};
        });
}

const Endpoint &ControlClient::server() const
{
    return m_server;
}

} // namespace samphireswitch::control
