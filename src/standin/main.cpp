#include "base/endpoint.h"
#include "standin/caller.h"
#include "standin/controlport.h"
#include "standin/fabric.h"
#include "standin/faultproxy.h"
#include "standin/flags.h"
#include "standin/journalcheck.h"
#include "standin/sockets.h"
#include "standin/storestandin.h"
#include "standin/upstream.h"
#include "telemetry/logging.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <limits>
#include <map>
#include <sstream>
#include <string>

namespace samphireswitch::standin {

namespace {

/** Runs a subcommand with its remaining arguments; returns the exit status. */
using Subcommand = std::function<Result<int>(const std::vector<std::string> &arguments)>;

std::chrono::microseconds fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

/** Calls @p stop on SIGTERM and SIGINT, and @p report on SIGUSR1. */
class Signals
{
public:
    Signals(boost::asio::io_context &context, std::function<void()> stop, std::function<void()> report)
        : m_signals(context, SIGTERM, SIGINT, SIGUSR1)
        , m_stop(std::move(stop))
        , m_report(std::move(report))
    {
        wait();
    }

private:
    void wait()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            (signal == SIGUSR1 ? m_report : m_stop)();
            wait();
        });
    }

    boost::asio::signal_set m_signals;
    std::function<void()> m_stop;
    std::function<void()> m_report;
};

void print(const boost::json::object &object)
{
    std::cout << boost::json::serialize(object) << std::endl;
}

Result<std::uint16_t> portFlag(std::uint32_t value, const char *name)
{
    if (value > std::numeric_limits<std::uint16_t>::max()) {
        return boost::leaf::new_error(Error {ResultCode::UsageError, std::string("--") + name + " is above 65535"});
    }
    return static_cast<std::uint16_t>(value);
}

Result<void> openControl(ControlPort &control, boost::asio::io_context &context, ControlPort::Handler handler)
{
    if (FLAGS_control.empty()) {
        return {};
    }
    BOOST_LEAF_AUTO(endpoint, parseEndpoint(FLAGS_control));
    return control.listen(context, endpoint, std::move(handler));
}

Result<int> runFabric(const std::vector<std::string> &)
{
    FabricSettings settings;
    BOOST_LEAF_ASSIGN(settings.listen, parseEndpoint(FLAGS_listen));
    BOOST_LEAF_ASSIGN(settings.balancers, parseEndpoints(FLAGS_balancers));
    std::istringstream services(FLAGS_services);
    for (std::string item; std::getline(services, item, ',');) {
        BOOST_LEAF_AUTO(address, parseAddress(item));
        settings.services.insert(address);
    }
    settings.delay = fromMilliseconds(FLAGS_delay_ms);
    settings.seed = FLAGS_seed;

    boost::asio::io_context context;
    Fabric fabric(context, std::move(settings));
    ControlPort control;
    if (auto result =
            openControl(control, context, [&](const std::string &command) { return fabric.execute(command); });
        !result) {
        return result.error();
    }
    if (auto result = fabric.start(); !result) {
        return result.error();
    }
    const Signals signals(
        context, [&] { context.stop(); }, [&] { print(fabric.counts()); });
    context.run();
    print(fabric.counts());
    return 0;
}

Result<int> runUpstream(const std::vector<std::string> &)
{
    UpstreamSettings settings;
    settings.host = FLAGS_host;
    BOOST_LEAF_ASSIGN(settings.address, parseAddress(FLAGS_address));
    BOOST_LEAF_ASSIGN(settings.requestPort, portFlag(FLAGS_request_port, "request_port"));
    BOOST_LEAF_ASSIGN(settings.feedPort, portFlag(FLAGS_feed_port, "feed_port"));
    settings.slots = FLAGS_slots;
    settings.feedInterval = std::chrono::milliseconds(FLAGS_feed_interval_ms);
    settings.coldStartFactor = FLAGS_cold_start_factor;
    settings.coldStart = std::chrono::milliseconds(FLAGS_cold_start_ms);
    settings.failFast = FLAGS_fail_fast;
    settings.closedPort = FLAGS_closed_port;
    BOOST_LEAF_AUTO(journal, Journal::open(FLAGS_journal));

    boost::asio::io_context context;
    Upstream upstream(context, std::move(settings), std::move(journal));
    if (auto result = upstream.start(); !result) {
        return result.error();
    }
    const Signals signals(
        context, [&] { context.stop(); }, [] {});
    context.run();
    upstream.finish();
    return 0;
}

Result<int> runCaller(const std::vector<std::string> &)
{
    CallerSettings settings;
    settings.name = FLAGS_name;
    BOOST_LEAF_ASSIGN(settings.address, parseAddress(FLAGS_address));
    BOOST_LEAF_ASSIGN(settings.fabric, parseEndpoint(FLAGS_fabric));
    BOOST_LEAF_ASSIGN(settings.service, parseAddress(FLAGS_service));
    BOOST_LEAF_ASSIGN(settings.requestPort, portFlag(FLAGS_request_port, "request_port"));
    BOOST_LEAF_ASSIGN(settings.feedPort, portFlag(FLAGS_feed_port, "feed_port"));
    BOOST_LEAF_ASSIGN(settings.firstPort, portFlag(FLAGS_first_port, "first_port"));
    BOOST_LEAF_ASSIGN(settings.portCount, portFlag(FLAGS_port_count, "port_count"));
    settings.seed = FLAGS_seed;
    settings.duration = std::chrono::milliseconds(FLAGS_duration_ms);
    settings.rate = FLAGS_rate;
    settings.surgeRate = FLAGS_surge_rate;
    settings.surgeStart = std::chrono::milliseconds(FLAGS_surge_start_ms);
    settings.surgeDuration = std::chrono::milliseconds(FLAGS_surge_duration_ms);
    settings.meanWork = fromMilliseconds(FLAGS_work_ms);
    settings.fixedWork = FLAGS_fixed_work;
    settings.stragglerShare = FLAGS_straggler_share;
    settings.stragglerFactor = FLAGS_straggler_factor;
    settings.uploadShare = FLAGS_upload_share;
    settings.uploadSize = FLAGS_upload_bytes;
    settings.answerSize = FLAGS_answer_bytes;
    settings.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    settings.feeds = FLAGS_feeds;
    settings.feedRate = FLAGS_feed_rate;
    BOOST_LEAF_AUTO(journal, Journal::open(FLAGS_journal));

    boost::asio::io_context context;
    Caller caller(context, std::move(settings), std::move(journal));
    if (auto result = caller.start(); !result) {
        return result.error();
    }
    const Signals signals(
        context, [&] { caller.stopArrivals(); }, [&] { print(caller.summary()); });
    context.run();
    print(caller.summary());
    return 0;
}

Result<int> runFaultProxy(const std::vector<std::string> &)
{
    BOOST_LEAF_AUTO(listen, parseEndpoint(FLAGS_listen));
    BOOST_LEAF_AUTO(targets, parseEndpoints(FLAGS_forward));
    if (targets.empty()) {
        return boost::leaf::new_error(Error {ResultCode::UsageError, "--forward names no target"});
    }
    boost::asio::io_context context;
    FaultProxy proxy(context, targets, FLAGS_seed);
    ControlPort control;
    if (auto result = openControl(control, context, [&](const std::string &command) { return proxy.execute(command); });
        !result) {
        return result.error();
    }
    if (auto result = proxy.listen(listen); !result) {
        return result.error();
    }
    const Signals signals(
        context, [&] { context.stop(); }, [] {});
    context.run();
    return 0;
}

Result<int> runJournalCheck(const std::vector<std::string> &paths)
{
    JournalCheck check;
    for (const std::string &path : paths) {
        if (auto result = check.read(path); !result) {
            return result.error();
        }
    }
    const boost::json::object report = check.report({FLAGS_allowed_lost, FLAGS_allowed_broken_feeds});
    print(report);
    return report.at("broken").as_array().empty() ? 0 : 1;
}

Result<int> runStore(const std::vector<std::string> &)
{
    BOOST_LEAF_AUTO(listen, parseEndpoint(FLAGS_listen));
    return runStoreStandIn(listen);
}

const std::map<std::string, Subcommand> &subcommands()
{
    static const std::map<std::string, Subcommand> s_subcommands {{"fabric", runFabric},
                                                                  {"upstream", runUpstream},
                                                                  {"caller", runCaller},
                                                                  {"faultproxy", runFaultProxy},
                                                                  {"journal-check", runJournalCheck},
                                                                  {"store", runStore}};
    return s_subcommands;
}

int run(const std::vector<std::string> &arguments)
{
    const auto subcommand = arguments.empty() ? subcommands().end() : subcommands().find(arguments.front());
    if (subcommand == subcommands().end()) {
        std::cerr << "usage: samphireswitch-standin SUBCOMMAND [flags]; subcommands:";
        for (const auto &[name, function] : subcommands()) {
            std::cerr << " " << name;
        }
        std::cerr << std::endl;
        return static_cast<int>(ResultCode::UsageError);
    }
    telemetry::startLogging(subcommand->first, telemetry::Severity::Info);
    const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
    return boost::leaf::try_handle_all([&]() -> Result<int> { return subcommand->second(rest); },
                                       [](const Error &error) {
                                           telemetry::log(telemetry::Severity::Error, error.message);
                                           return error.code == ResultCode::UsageError ? 2 : 1;
                                       },
                                       [] {
                                           telemetry::log(telemetry::Severity::Error, "unknown error");
                                           return 1;
                                       });
}

} // namespace

} // namespace samphireswitch::standin

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("samphireswitch-standin SUBCOMMAND [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return samphireswitch::standin::run(std::vector<std::string>(argv + 1, argv + argc));
}
