#include "commands/options.h"

#include "configuration/inidocument.h"
#include "configuration/valueparser.h"

#include <gflags/gflags.h>

DEFINE_string(store, "", "address of the store, a.b.c.d:port");
DEFINE_string(balancers, "", "control addresses of balancers, a.b.c.d:port, separated by commas");
DEFINE_string(time_limit, "2s", "longest time of one call to the store or to a process, for example 500ms or 2s");
DEFINE_bool(prune, false, "remove the services that the file does not name");
DEFINE_string(close, "", "services that may be left without an active host, separated by commas");
DEFINE_string(flow, "", "only events of this flow, for example 10.1.0.1:40000>10.20.0.1:8001, or a part of it");
DEFINE_string(request, "", "only events whose flow or detail contains this text");
DEFINE_string(service, "", "only events of this service");
DEFINE_string(host, "", "only events of this host");
DEFINE_uint64(generation, 0, "only events of this configuration generation; 0 for all");
DEFINE_string(against, "", "file with the configuration in force, in place of --store");
DEFINE_string(kind,
              "",
              "balancer, agent, declaration or document; found out from the sections of the file if not given");

namespace samphireswitch::commands {

namespace {

using configuration::DurationValue;
using configuration::EndpointListValue;
using configuration::EndpointValue;
using configuration::NameValue;

constexpr DurationValue s_timeLimitRange {std::chrono::milliseconds(10), std::chrono::minutes(5)};

/** Collects what is wrong with the flags. */
class OptionReader
{
public:
    Result<Options> read()
    {
        Options options;
        if (!FLAGS_store.empty()) {
            options.store = parsed("store", FLAGS_store, EndpointValue {});
        }
        options.balancers = parsed("balancers", FLAGS_balancers, EndpointListValue {0});
        options.timeLimit = parsed("time_limit", FLAGS_time_limit, s_timeLimitRange);
        options.prune = FLAGS_prune;
        options.closing = readNames("close", FLAGS_close);
        options.flow = FLAGS_flow;
        options.request = FLAGS_request;
        options.service = FLAGS_service;
        options.host = FLAGS_host;
        options.generation = FLAGS_generation;
        options.against = FLAGS_against;
        options.kind = FLAGS_kind;
        if (!options.kind.empty() && options.kind != "balancer" && options.kind != "agent"
            && options.kind != "declaration" && options.kind != "document") {
            m_problems.push_back("--kind: '" + options.kind
                                 + "' is not accepted; accepted: balancer, agent, declaration, document");
        }
        if (!m_problems.empty()) {
            return boost::leaf::new_error(Error {ResultCode::UsageError, configuration::joinLines(m_problems)});
        }
        return options;
    }

private:
    template<typename Kind>
    typename Kind::Type parsed(const std::string &name, const std::string &text, const Kind &kind)
    {
        auto value = kind.parse(text);
        if (!value) {
            m_problems.push_back("--" + name + ": '" + text + "' is not accepted; accepted: " + kind.acceptedForm());
        }
        return value.value_or(typename Kind::Type {});
    }

    std::set<std::string> readNames(const std::string &flag, const std::string &text)
    {
        std::set<std::string> names;
        std::size_t start = 0;
        while (start < text.size()) {
            const std::size_t end = std::min(text.find(',', start), text.size());
            names.insert(parsed(flag, text.substr(start, end - start), NameValue {}));
            start = end + 1;
        }
        return names;
    }

    std::vector<std::string> m_problems;
};

} // namespace

Result<Options> readOptions()
{
    return OptionReader().read();
}

Result<void> setFlag(const std::string &name, const std::string &value)
{
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
        return boost::leaf::new_error(
            Error {ResultCode::UsageError, "--" + name + ": '" + value + "' is not accepted; " + describeFlag(name)});
    }
    return {};
}

bool isBoolFlag(const std::string &name)
{
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.type == "bool";
}

std::string describeFlag(std::string_view name)
{
    const gflags::CommandLineFlagInfo info = gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
    const bool hasDefault = !info.default_value.empty() && info.type != "bool";
    return "--" + info.name + ": " + info.description + (hasDefault ? " (default: " + info.default_value + ")" : "");
}

} // namespace samphireswitch::commands
