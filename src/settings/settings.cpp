#include "settings/settings.h"

#include "configuration/inidocument.h"
#include "settings/valueparser.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <span>
#include <variant>

namespace samphireswitch::settings {

namespace {

using configuration::IniDocument;
using configuration::IniEntry;
using configuration::IniSection;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/** Connects a kind of value with the member of @p Settings that it fills. */
template<typename Settings, typename Kind>
struct Field
{
    Kind kind;
    typename Kind::Type Settings::*member = nullptr;
};

template<typename Settings>
using AnyField = std::variant<Field<Settings, NameValue>,
                              Field<Settings, LabelValue>,
                              Field<Settings, SeverityValue>,
                              Field<Settings, AddressValue>,
                              Field<Settings, EndpointValue>,
                              Field<Settings, EndpointListValue>,
                              Field<Settings, IntegerValue>,
                              Field<Settings, DurationValue>>;

/** One key of a settings file. */
template<typename Settings>
struct Key
{
    std::string_view section;
    std::string_view name;
    /** Used when the key is missing; a key without default is required. */
    std::optional<std::string_view> defaultText;
    AnyField<Settings> field;
};

template<typename Settings, typename Kind>
AnyField<Settings> field(Kind kind, typename Kind::Type Settings::*member)
{
    return Field<Settings, Kind> {kind, member};
}

template<typename Settings>
const std::vector<Key<Settings>> &keys();

// All keys of a balancer's settings file.
template<>
const std::vector<Key<BalancerSettings>> &keys()
{
    using S = BalancerSettings;
    constexpr auto required = std::nullopt;
    static const std::vector<Key<S>> s_keys {
        {"process", "name", required, field<S>(NameValue {}, &S::name)},
        {"process", "failure_domain", required, field<S>(LabelValue {}, &S::failureDomain)},
        {"process", "log_level", "info", field<S>(SeverityValue {}, &S::logLevel)},
        {"balancer", "data_address", required, field<S>(EndpointValue {}, &S::dataAddress)},
        {"balancer", "control_address", required, field<S>(EndpointValue {}, &S::controlAddress)},
        {"balancer", "metrics_address", required, field<S>(EndpointValue {}, &S::metricsAddress)},
        {"balancer", "seeds", "", field<S>(EndpointListValue {0}, &S::seeds)},
        {"balancer", "hint_capacity", "524288", field<S>(IntegerValue {1024, 16'777'216}, &S::hintCapacity)},
        {"store", "endpoint", required, field<S>(EndpointValue {}, &S::storeEndpoint)},
        {"timing",
         "announce_interval",
         "500ms",
         field<S>(DurationValue {milliseconds(50), seconds(10)}, &S::announceInterval)},
        {"timing", "suspect_after", "2s", field<S>(DurationValue {milliseconds(100), minutes(1)}, &S::suspectAfter)},
        {"timing", "dead_after", "10s", field<S>(DurationValue {milliseconds(200), minutes(10)}, &S::deadAfter)},
        {"timing", "gossip_interval", "1s", field<S>(DurationValue {milliseconds(50), minutes(1)}, &S::gossipInterval)},
    };
    return s_keys;
}

// All keys of an agent's settings file.
template<>
const std::vector<Key<AgentSettings>> &keys()
{
    using S = AgentSettings;
    constexpr auto required = std::nullopt;
    static const std::vector<Key<S>> s_keys {
        {"process", "name", required, field<S>(NameValue {}, &S::name)},
        {"process", "failure_domain", required, field<S>(LabelValue {}, &S::failureDomain)},
        {"process", "log_level", "info", field<S>(SeverityValue {}, &S::logLevel)},
        {"agent", "host", required, field<S>(NameValue {}, &S::host)},
        {"agent", "service", required, field<S>(NameValue {}, &S::service)},
        {"agent", "data_address", required, field<S>(EndpointValue {}, &S::dataAddress)},
        {"agent", "control_address", required, field<S>(EndpointValue {}, &S::controlAddress)},
        {"agent", "metrics_address", required, field<S>(EndpointValue {}, &S::metricsAddress)},
        {"agent", "fabric_address", required, field<S>(EndpointValue {}, &S::fabricAddress)},
        {"agent", "upstream_address", required, field<S>(AddressValue {}, &S::upstreamAddress)},
        {"agent", "balancers", required, field<S>(EndpointListValue {1}, &S::balancers)},
        {"timing",
         "announce_interval",
         "500ms",
         field<S>(DurationValue {milliseconds(50), seconds(10)}, &S::announceInterval)},
        {"timing", "suspect_after", "2s", field<S>(DurationValue {milliseconds(100), minutes(1)}, &S::suspectAfter)},
        {"timing", "dead_after", "10s", field<S>(DurationValue {milliseconds(200), minutes(10)}, &S::deadAfter)},
        {"timing",
         "half_open_timeout",
         "3s",
         field<S>(DurationValue {milliseconds(100), minutes(2)}, &S::halfOpenTimeout)},
        {"timing", "no_owner_grace", "3s", field<S>(DurationValue {milliseconds(100), minutes(1)}, &S::noOwnerGrace)},
    };
    return s_keys;
}

template<typename Settings>
std::string acceptedForm(const Key<Settings> &key)
{
    return std::visit([](const auto &declared) { return declared.kind.acceptedForm(); }, key.field);
}

/** Puts the value of @p text into @p settings; returns false if the text is not of the accepted form. */
template<typename Settings>
bool assign(const Key<Settings> &key, std::string_view text, Settings &settings)
{
    return std::visit(
        [&](const auto &declared) {
            auto value = declared.kind.parse(text);
            if (!value) {
                return false;
            }
            settings.*declared.member = std::move(*value);
            return true;
        },
        key.field);
}

/** Reads one settings file and collects everything that is wrong with it. */
template<typename Settings>
class SettingsReader
{
public:
    explicit SettingsReader(const IniDocument &document)
        : m_document(document)
        , m_problems(document.problems())
    {
    }

    Result<Settings> read()
    {
        for (const IniSection &section : m_document.sections()) {
            checkKnown(section);
        }
        for (const Key<Settings> &key : keys<Settings>()) {
            readKey(key);
        }
        if (m_problems.empty()) {
            checkTogether();
        }
        if (!m_problems.empty()) {
            return boost::leaf::new_error(Error {ResultCode::InvalidSettings, configuration::joinLines(m_problems)});
        }
        return m_settings;
    }

private:
    void checkKnown(const IniSection &section)
    {
        std::string knownKeys;
        std::set<std::string_view> known;
        std::string knownSections;
        for (const Key<Settings> &key : keys<Settings>()) {
            if (knownSections.find('[' + std::string(key.section) + ']') == std::string::npos) {
                knownSections += " [" + std::string(key.section) + ']';
            }
            if (key.section != section.name) {
                continue;
            }
            known.insert(key.name);
            knownKeys += ' ' + std::string(key.name);
        }
        if (known.empty()) {
            m_problems.push_back(m_document.position(section.line, section.name, {})
                                 + "the section is unknown; accepted:" + knownSections);
            return;
        }
        for (const IniEntry &entry : section.entries) {
            if (known.contains(entry.key)) {
                continue;
            }
            m_problems.push_back(m_document.position(entry.line, section.name, entry.key)
                                 + "the key is unknown; accepted:" + knownKeys);
        }
    }

    void readKey(const Key<Settings> &key)
    {
        const IniSection *section = m_document.find(key.section);
        const IniEntry *entry = section == nullptr ? nullptr : section->find(key.name);
        if (entry == nullptr) {
            useDefault(key);
            return;
        }
        if (!assign(key, entry->value, m_settings)) {
            m_problems.push_back(m_document.position(entry->line, key.section, key.name) + "'" + entry->value
                                 + "' is not accepted; accepted: " + acceptedForm(key));
        }
    }

    void useDefault(const Key<Settings> &key)
    {
        if (key.defaultText) {
            assign(key, *key.defaultText, m_settings);
            return;
        }
        m_problems.push_back(m_document.fileName() + ": [" + std::string(key.section) + "] " + std::string(key.name)
                             + ": the key is missing; accepted: " + acceptedForm(key));
    }

    /** Rules over several keys. They are checked only when every single value is accepted. */
    void checkTogether()
    {
        const std::string timing = m_document.fileName() + ": [timing] ";
        if (m_settings.suspectAfter < 2 * m_settings.announceInterval) {
            m_problems.push_back(timing
                                 + "suspect_after: one lost announcement would make a member suspect; accepted: at "
                                   "least twice announce_interval");
        }
        if (m_settings.deadAfter <= m_settings.suspectAfter) {
            m_problems.push_back(timing + "dead_after: accepted: more than suspect_after");
        }
        // Datagrams of both kinds are UDP, and RPC and metrics are both TCP.
        if (m_settings.dataAddress == m_settings.controlAddress) {
            m_problems.push_back(m_document.fileName()
                                 + ": control_address: it equals data_address; accepted: different ports");
        }
        if (m_settings.metricsAddress == m_settings.controlAddress) {
            m_problems.push_back(m_document.fileName()
                                 + ": metrics_address: it equals control_address; accepted: different ports");
        }
    }

    const IniDocument &m_document;
    std::vector<std::string> m_problems;
    Settings m_settings;
};

template<typename Settings>
Result<Settings> parse(const std::string &text, const std::string &fileName)
{
    const IniDocument document(text, fileName);
    return SettingsReader<Settings>(document).read();
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
    for (const Key<Settings> &key : keys<Settings>()) {
        text += "  [" + std::string(key.section) + "] " + std::string(key.name) + ": " + acceptedForm(key);
        text += key.defaultText
            ? " (default: " + std::string(key.defaultText->empty() ? "empty" : *key.defaultText) + ")\n"
            : " (required)\n";
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

} // namespace samphireswitch::settings
