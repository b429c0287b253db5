#include "settings/settings.h"

#include "configuration/inidocument.h"
#include "configuration/keytable.h"
#include "configuration/valueparser.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace samphireswitch::settings {

namespace {

using configuration::AddressValue;
using configuration::BoolValue;
using configuration::DurationValue;
using configuration::EndpointListValue;
using configuration::EndpointValue;
using configuration::IniDocument;
using configuration::IniSection;
using configuration::IntegerValue;
using configuration::Key;
using configuration::LabelValue;
using configuration::NameValue;
using configuration::optionalKey;
using configuration::PathValue;
using configuration::requiredKey;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Links of 1 Tbit/s; thousandths of their rate still fit into 32 bits.
constexpr double s_maximumLinkMbps = 1'000'000;
constexpr double s_maximumProcessors = 1024;

struct SeverityValue
{
    using Type = telemetry::Severity;

    static std::string acceptedForm()
    {
        return "debug, info, warning or error";
    }

    static std::optional<Type> parse(std::string_view text)
    {
        auto severity = telemetry::Severity::Info;
        return telemetry::parseSeverity(text, severity) ? std::optional(severity) : std::nullopt;
    }
};

struct DeliveryValue
{
    using Type = Delivery;

    static std::string acceptedForm()
    {
        return "terminated or passthrough";
    }

    static std::optional<Type> parse(std::string_view text)
    {
        if (text == "terminated") {
            return Delivery::Terminated;
        }
        return text == "passthrough" ? std::optional(Delivery::Passthrough) : std::nullopt;
    }
};

struct StoreProtocolValue
{
    using Type = StoreProtocol;

    static std::string acceptedForm()
    {
        return "etcd or platform";
    }

    static std::optional<Type> parse(std::string_view text)
    {
        if (text == "etcd") {
            return StoreProtocol::Etcd;
        }
        return text == "platform" ? std::optional(StoreProtocol::Platform) : std::nullopt;
    }
};

struct UpstreamPacingValue
{
    using Type = UpstreamPacing;

    static std::string acceptedForm()
    {
        return "adaptive or off";
    }

    static std::optional<Type> parse(std::string_view text)
    {
        if (text == "adaptive") {
            return UpstreamPacing::Adaptive;
        }
        return text == "off" ? std::optional(UpstreamPacing::Off) : std::nullopt;
    }
};

/** An endpoint, or empty for none, which has port 0. */
struct OptionalEndpointValue
{
    using Type = Endpoint;

    static std::string acceptedForm()
    {
        return EndpointValue::acceptedForm() + ", or empty";
    }

    static std::optional<Type> parse(std::string_view text)
    {
        return text.empty() ? std::optional(Endpoint {}) : EndpointValue::parse(text);
    }
};

/** A decimal number without sign, stored in thousandths; empty text is 0, which means that the value is not known. */
struct ThousandthsValue
{
    using Type = std::uint32_t;

    double maximum = 0;

    std::string acceptedForm() const
    {
        return "a decimal number from 0 to " + std::to_string(static_cast<std::uint64_t>(maximum)) + ", or empty";
    }

    std::optional<Type> parse(std::string_view text) const
    {
        if (text.empty()) {
            return Type {0};
        }
        double number = 0;
        const auto [end, status] =
            std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
        const bool isWhole = status == std::errc() && end == text.data() + text.size();
        if (!isWhole || !(number >= 0 && number <= maximum)) {
            return std::nullopt;
        }
        constexpr double thousandths = 1000;
        return static_cast<Type>(std::lround(number * thousandths));
    }
};

template<typename Settings>
struct Section
{
    std::string name;
    std::vector<Key<Settings>> keys;
};

/** The keys of a section that all kinds of process have, followed by those of one kind. */
template<typename S>
Section<S> joined(std::string name, std::vector<Key<S>> common, const std::vector<Key<S>> &own)
{
    common.insert(common.end(), own.begin(), own.end());
    return {std::move(name), std::move(common)};
}

template<typename S>
Section<S> processSection()
{
    return {"process",
            {
                requiredKey<S>("name", NameValue {}, &S::name),
                requiredKey<S>("failure_domain", LabelValue {}, &S::failureDomain),
                optionalKey<S>("log_level", "info", SeverityValue {}, &S::logLevel),
            }};
}

template<typename S>
Section<S> timingSection(const std::vector<Key<S>> &own)
{
    return joined<S>(
        "timing",
        {
            optionalKey<S>(
                "announce_interval", "900ms", DurationValue {milliseconds(50), seconds(10)}, &S::announceInterval),
            optionalKey<S>("suspect_after", "2s", DurationValue {milliseconds(100), minutes(1)}, &S::suspectAfter),
            optionalKey<S>("dead_after", "10s", DurationValue {milliseconds(200), minutes(10)}, &S::deadAfter),
        },
        own);
}

/** All sections and keys of a settings file. */
template<typename Settings>
const std::vector<Section<Settings>> &sections();

template<>
const std::vector<Section<BalancerSettings>> &sections()
{
    using S = BalancerSettings;
    static const std::vector<Section<S>> s_sections {
        processSection<S>(),
        {"balancer",
         {
             requiredKey<S>("data_address", EndpointValue {}, &S::dataAddress),
             requiredKey<S>("control_address", EndpointValue {}, &S::controlAddress),
             requiredKey<S>("metrics_address", EndpointValue {}, &S::metricsAddress),
             optionalKey<S>("seeds", "", EndpointListValue {0}, &S::seeds),
             optionalKey<S>(
                 "hint_capacity", "524288", IntegerValue<std::uint64_t> {1024, 16'777'216}, &S::hintCapacity),
             optionalKey<S>("delivery", "terminated", DeliveryValue {}, &S::delivery),
             optionalKey<S>("hint_address", "", OptionalEndpointValue {}, &S::hintAddress),
             optionalKey<S>("readiness_address", "", OptionalEndpointValue {}, &S::readinessAddress),
             optionalKey<S>("link_mbps", "", ThousandthsValue {s_maximumLinkMbps}, &S::linkRate),
             optionalKey<S>("processor_share", "", ThousandthsValue {s_maximumProcessors}, &S::processorShare),
         }},
        {"store",
         {
             requiredKey<S>("endpoint", EndpointValue {}, &S::storeEndpoint),
             optionalKey<S>("protocol", "etcd", StoreProtocolValue {}, &S::storeProtocol),
         }},
        timingSection<S>({
            optionalKey<S>("gossip_interval", "2s", DurationValue {milliseconds(50), minutes(1)}, &S::gossipInterval),
            optionalKey<S>("leave_limit", "5s", DurationValue {milliseconds(100), minutes(1)}, &S::leaveLimit),
        }),
    };
    return s_sections;
}

template<>
const std::vector<Section<PassthroughAgentSettings>> &sections()
{
    using S = PassthroughAgentSettings;
    static const std::vector<Section<S>> s_sections {
        processSection<S>(),
        {"agent",
         {
             requiredKey<S>("delivery", DeliveryValue {}, &S::delivery),
             requiredKey<S>("host", NameValue {}, &S::host),
             requiredKey<S>("service", NameValue {}, &S::service),
             requiredKey<S>("data_address", EndpointValue {}, &S::dataAddress),
             requiredKey<S>("control_address", EndpointValue {}, &S::controlAddress),
             requiredKey<S>("metrics_address", EndpointValue {}, &S::metricsAddress),
             requiredKey<S>("upstream_address", EndpointValue {}, &S::upstreamAddress),
             requiredKey<S>("outbound_address", EndpointValue {}, &S::outboundAddress),
             requiredKey<S>("report_address", EndpointValue {}, &S::reportAddress),
             optionalKey<S>("balancers", "", EndpointListValue {0}, &S::balancers),
             optionalKey<S>("starts_empty", "false", BoolValue {}, &S::startsEmpty),
             optionalKey<S>("compare_waits", "false", BoolValue {}, &S::comparesWaits),
             optionalKey<S>("upstream_pace", "off", UpstreamPacingValue {}, &S::upstreamPacing),
         }},
        {"store",
         {
             requiredKey<S>("endpoint", EndpointValue {}, &S::storeEndpoint),
             optionalKey<S>("protocol", "platform", StoreProtocolValue {}, &S::storeProtocol),
             optionalKey<S>(
                 "stored_flows_interval", "2s", DurationValue {milliseconds(0), minutes(10)}, &S::storedFlowsInterval),
         }},
        timingSection<S>({
            optionalKey<S>(
                "report_timeout", "3600ms", DurationValue {milliseconds(200), minutes(10)}, &S::reportTimeout),
            optionalKey<S>("leave_limit", "1500ms", DurationValue {milliseconds(0), minutes(1)}, &S::leaveLimit),
        }),
    };
    return s_sections;
}

template<>
const std::vector<Section<AgentSettings>> &sections()
{
    using S = AgentSettings;
    static const std::vector<Section<S>> s_sections {
        processSection<S>(),
        {"agent",
         {
             requiredKey<S>("host", NameValue {}, &S::host),
             requiredKey<S>("service", NameValue {}, &S::service),
             requiredKey<S>("data_address", EndpointValue {}, &S::dataAddress),
             requiredKey<S>("control_address", EndpointValue {}, &S::controlAddress),
             requiredKey<S>("metrics_address", EndpointValue {}, &S::metricsAddress),
             optionalKey<S>("delivery", "terminated", DeliveryValue {}, &S::delivery),
             requiredKey<S>("fabric_address", EndpointValue {}, &S::fabricAddress),
             requiredKey<S>("upstream_address", AddressValue {}, &S::upstreamAddress),
             requiredKey<S>("balancers", EndpointListValue {1}, &S::balancers),
             optionalKey<S>("trace_file", "", PathValue {}, &S::traceFile),
         }},
        timingSection<S>({
            optionalKey<S>(
                "half_open_timeout", "15s", DurationValue {milliseconds(100), minutes(2)}, &S::halfOpenTimeout),
            optionalKey<S>("no_owner_grace", "3s", DurationValue {milliseconds(100), minutes(1)}, &S::noOwnerGrace),
        }),
    };
    return s_sections;
}

template<typename Settings>
bool isKnownSection(const std::string &name)
{
    return std::ranges::any_of(sections<Settings>(), [&](const auto &section) { return section.name == name; });
}

/** Rules over several keys. They are checked only when every single value is accepted. */
void checkTogether(const ProcessSettings &settings, const std::string &fileName, std::vector<std::string> &problems)
{
    if (settings.suspectAfter < 2 * settings.announceInterval) {
        problems.push_back(fileName
                           + ": [timing] suspect_after: one lost announcement would make a member suspect; accepted: "
                             "at least twice announce_interval");
    }
    if (settings.deadAfter <= settings.suspectAfter) {
        problems.push_back(fileName + ": [timing] dead_after: accepted: more than suspect_after");
    }
    // Data and control are both UDP, control and metrics are both TCP.
    if (settings.dataAddress == settings.controlAddress) {
        problems.push_back(fileName + ": control_address: it equals data_address; accepted: different ports");
    }
    if (settings.metricsAddress == settings.controlAddress) {
        problems.push_back(fileName + ": metrics_address: it equals control_address; accepted: different ports");
    }
}

/** Rules of one kind of process. */
void checkKind(const BalancerSettings &settings, const std::string &fileName, std::vector<std::string> &problems)
{
    const bool isPassthrough = settings.delivery == Delivery::Passthrough;
    if (isPassthrough && settings.hintAddress.port == 0) {
        problems.push_back(
            fileName
            + ": [balancer] hint_address: with delivery = passthrough, hints cannot be told from packets at "
              "the data address; accepted: an address of its own");
    }
    if (settings.hintAddress == settings.dataAddress || settings.hintAddress == settings.controlAddress) {
        problems.push_back(fileName + ": [balancer] hint_address: accepted: an address that is used for nothing else");
    }
}

void checkKind(const AgentSettings &settings, const std::string &fileName, std::vector<std::string> &problems)
{
    if (settings.delivery == Delivery::Passthrough) {
        problems.push_back(fileName + ": [agent] delivery: the other keys are those of delivery = terminated");
    }
}

void checkKind(const PassthroughAgentSettings &settings,
               const std::string &fileName,
               std::vector<std::string> &problems)
{
    if (settings.outboundAddress == settings.dataAddress) {
        problems.push_back(fileName + ": [agent] outbound_address: it equals data_address; accepted: different ports");
    }
    if (settings.storeProtocol != StoreProtocol::Platform) {
        problems.push_back(fileName + ": [store] protocol: with delivery = passthrough, accepted: platform");
    }
}

template<typename Settings>
Result<Settings> parse(const std::string &text, const std::string &fileName)
{
    const IniDocument document(text, fileName);
    std::vector<std::string> problems = document.problems();
    std::string known;
    Settings settings;
    for (const Section<Settings> &section : sections<Settings>()) {
        known += " [" + section.name + ']';
        configuration::readSection(document, section.name, section.keys, settings, problems);
    }
    for (const IniSection &section : document.sections()) {
        if (!isKnownSection<Settings>(section.name)) {
            problems.push_back(document.position(section.line, section.name, {})
                               + "the section is unknown; accepted:" + known);
        }
    }
    if (problems.empty()) {
        checkTogether(settings, fileName, problems);
        checkKind(settings, fileName, problems);
    }
    if (!problems.empty()) {
        return boost::leaf::new_error(Error {ResultCode::InvalidSettings, configuration::joinLines(problems)});
    }
    return settings;
}

template<typename Settings>
Result<Settings> load(const std::string &path)
{
    const auto text = configuration::readTextFile(path);
    if (!text) {
        return boost::leaf::new_error(
            Error {ResultCode::FileNotReadable, path + ": the file does not exist, cannot be read or is too large"});
    }
    return parse<Settings>(*text, path);
}

template<typename Settings>
std::string describe()
{
    std::string text;
    for (const Section<Settings> &section : sections<Settings>()) {
        for (const Key<Settings> &key : section.keys) {
            text += "  [" + section.name + "] " + key.name + ": " + key.acceptedForm;
            text += key.defaultText ? " (default: " + (key.defaultText->empty() ? "empty" : *key.defaultText) + ")\n"
                                    : " (required)\n";
        }
    }
    return text;
}

} // namespace

Result<BalancerSettings> loadBalancerSettings(const std::string &path)
{
    return load<BalancerSettings>(path);
}

Result<AgentSettings> loadAgentSettings(const std::string &path)
{
    return load<AgentSettings>(path);
}

Result<AnyAgentSettings> loadAnyAgentSettings(const std::string &path)
{
    const auto text = configuration::readTextFile(path);
    if (!text) {
        return boost::leaf::new_error(
            Error {ResultCode::FileNotReadable, path + ": the file does not exist, cannot be read or is too large"});
    }
    return parseAnyAgentSettings(*text, path);
}

Result<AnyAgentSettings> parseAnyAgentSettings(const std::string &text, const std::string &fileName)
{
    const IniDocument document(text, fileName);
    const IniSection *section = document.find("agent");
    const configuration::IniEntry *delivery = section == nullptr ? nullptr : section->find("delivery");
    if (delivery != nullptr && delivery->value == "passthrough") {
        BOOST_LEAF_AUTO(settings, parse<PassthroughAgentSettings>(text, fileName));
        return AnyAgentSettings {std::move(settings)};
    }
    BOOST_LEAF_AUTO(settings, parse<AgentSettings>(text, fileName));
    return AnyAgentSettings {std::move(settings)};
}

Result<BalancerSettings> parseBalancerSettings(const std::string &text, const std::string &fileName)
{
    return parse<BalancerSettings>(text, fileName);
}

Result<AgentSettings> parseAgentSettings(const std::string &text, const std::string &fileName)
{
    return parse<AgentSettings>(text, fileName);
}

std::string describeBalancerSettings()
{
    return describe<BalancerSettings>();
}

std::string describeAgentSettings()
{
    return describe<AgentSettings>();
}

std::string describePassthroughAgentSettings()
{
    return describe<PassthroughAgentSettings>();
}

} // namespace samphireswitch::settings
