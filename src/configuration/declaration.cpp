#include "configuration/declaration.h"

#include "base/endpoint.h"
#include "base/identifiers.h"
#include "configuration/inidocument.h"
#include "configuration/keytable.h"
#include "configuration/recordcheck.h"
#include "configuration/valueparser.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace samphireswitch::configuration {

namespace {

constexpr std::string_view s_servicePrefix = "service ";
constexpr std::string_view s_hostPrefix = "host ";
constexpr std::string_view s_failureDomainPrefix = "failure_domain ";

struct DeclaredHost
{
    std::string name;
    std::string service;
    std::string failureDomain;
    HostState state = HostState::Active;
};

const std::vector<Key<ServiceRecord>> &serviceKeys()
{
    using S = ServiceRecord;
    constexpr std::uint16_t largestPort = std::numeric_limits<std::uint16_t>::max();
    constexpr auto shortestDeadline = std::chrono::milliseconds(1);
    // A missing port is stored as 0 in the record, but an explicit "0" in the file is rejected.
    static const std::vector<Key<S>> s_keys {
        requiredKey<S>("address", AddressValue {}, &S::address),
        optionalKey<S>("request_port", "", OptionalPortValue {{1, largestPort}}, &S::requestPort),
        optionalKey<S>("feed_port", "", OptionalPortValue {{1, largestPort}}, &S::feedPort),
        requiredKey<S>("idempotent", BoolValue {}, &S::idempotent),
        requiredKey<S>("deadline_ms", MillisecondsValue {shortestDeadline, s_maximumDeadline}, &S::deadline),
        requiredKey<S>("slots", IntegerValue<std::uint32_t> {1, s_maximumSlots}, &S::slots),
        requiredKey<S>("connections", IntegerValue<std::uint32_t> {1, s_maximumConnections}, &S::connections),
    };
    return s_keys;
}

const std::vector<Key<DeclaredHost>> &hostKeys()
{
    using H = DeclaredHost;
    static const std::vector<Key<H>> s_keys {
        requiredKey<H>("service", NameValue {}, &H::service),
        requiredKey<H>("failure_domain", LabelValue {}, &H::failureDomain),
        requiredKey<H>("state", HostStateValue {}, &H::state),
    };
    return s_keys;
}

const std::vector<Key<DeclaredFailureDomain>> &failureDomainKeys()
{
    using D = DeclaredFailureDomain;
    static const std::vector<Key<D>> s_keys {
        optionalKey<D>("state", "active", EvacuationValue {}, &D::isEvacuated),
    };
    return s_keys;
}

/** Builds a declaration from an INI document and collects all of its problems. */
class DeclarationReader
{
public:
    explicit DeclarationReader(const IniDocument &document)
        : m_document(document)
        , m_problems(document.problems())
    {
    }

    Result<Declaration> read()
    {
        for (const IniSection &section : m_document.sections()) {
            dispatchSection(section);
        }
        for (const auto &[host, section] : m_hosts) {
            assignHost(host, *section);
        }
        for (std::size_t index = 0; index < m_declaration.services.size(); ++index) {
            checkService(index);
        }
        if (m_problems.empty() && m_declaration.services.empty() && m_declaration.failureDomains.empty()) {
            m_problems.push_back(m_document.fileName() + ": it declares no service; accepted: [service NAME]");
        }
        if (!m_problems.empty()) {
            return boost::leaf::new_error(Error {ResultCode::InvalidDeclaration, joinLines(m_problems)});
        }
        return std::move(m_declaration);
    }

private:
    void addProblem(const IniSection &section, std::string_view key, const std::string &problem)
    {
        const IniEntry *entry = section.find(key);
        const int line = entry == nullptr ? section.line : entry->line;
        m_problems.push_back(m_document.position(line, section.name, key) + problem);
    }

    void dispatchSection(const IniSection &section)
    {
        if (section.name.starts_with(s_servicePrefix)) {
            readService(section);
            return;
        }
        if (section.name.starts_with(s_hostPrefix)) {
            readHost(section);
            return;
        }
        if (section.name.starts_with(s_failureDomainPrefix)) {
            readFailureDomain(section);
            return;
        }
        addProblem(
            section, {}, "the section is unknown; accepted: [service NAME], [host NAME] and [failure_domain NAME]");
    }

    /** Returns the name in the header of @p section after @p prefix. Reports an invalid name and returns an empty one.
     */
    std::string nameOf(const IniSection &section, std::string_view prefix)
    {
        const auto name = NameValue::parse(section.name.substr(prefix.size()));
        if (!name) {
            addProblem(section, {}, "the name is not accepted; accepted: " + NameValue::acceptedForm());
        }
        return name.value_or(std::string());
    }

    void readService(const IniSection &section)
    {
        const std::size_t problemsBefore = m_problems.size();
        ServiceRecord record;
        record.name = nameOf(section, s_servicePrefix);
        readSection(m_document, section.name, serviceKeys(), record, m_problems);
        m_isServiceValid.push_back(m_problems.size() == problemsBefore);
        m_declaration.services.push_back(std::move(record));
        m_sections.push_back(&section);
    }

    void readHost(const IniSection &section)
    {
        DeclaredHost host;
        host.name = nameOf(section, s_hostPrefix);
        readSection(m_document, section.name, hostKeys(), host, m_problems);
        const auto [other, isNew] = m_hostNameByAgent.emplace(AgentId::fromHostName(host.name), host.name);
        if (!isNew && !host.name.empty() && other->second != host.name) {
            addProblem(
                section, {}, "the name has the same identity as host " + other->second + "; accepted: other names");
        }
        m_hosts.emplace_back(std::move(host), &section);
    }

    void readFailureDomain(const IniSection &section)
    {
        DeclaredFailureDomain domain;
        const auto name = LabelValue::parse(section.name.substr(s_failureDomainPrefix.size()));
        if (!name) {
            addProblem(section, {}, "the name is not accepted; accepted: " + LabelValue::acceptedForm());
            return;
        }
        domain.name = *name;
        readSection(m_document, section.name, failureDomainKeys(), domain, m_problems);
        m_declaration.failureDomains.push_back(std::move(domain));
    }

    void assignHost(const DeclaredHost &host, const IniSection &section)
    {
        const auto service = std::ranges::find(m_declaration.services, host.service, &ServiceRecord::name);
        if (service != m_declaration.services.end()) {
            service->hosts.push_back({host.name, host.failureDomain, host.state});
            return;
        }
        if (!host.service.empty()) {
            addProblem(section,
                       "service",
                       "the service '" + host.service
                           + "' is not declared; accepted: the name of a [service NAME] of "
                             "this file");
        }
    }

    void checkService(std::size_t index)
    {
        const ServiceRecord &record = m_declaration.services[index];
        const IniSection &section = *m_sections[index];
        if (m_isServiceValid[index]) {
            for (const std::string &problem : problemsOf(record)) {
                addProblem(section, {}, problem);
            }
        }
        for (std::size_t other = 0; other < index; ++other) {
            checkPair(record, m_declaration.services[other], section);
        }
    }

    void checkPair(const ServiceRecord &record, const ServiceRecord &other, const IniSection &section)
    {
        if (record.address != 0 && record.address == other.address) {
            addProblem(section,
                       "address",
                       addressToString(record.address) + " is the address of service " + other.name
                           + "; accepted: an address of its own for each service");
        }
        if (record.name != other.name && ServiceId::fromName(record.name) == ServiceId::fromName(other.name)) {
            addProblem(
                section, {}, "the name has the same identity as service " + other.name + "; accepted: other names");
        }
    }

    const IniDocument &m_document;
    std::vector<std::string> m_problems;
    Declaration m_declaration;
    /** The section of each service, in the order of m_declaration.services. */
    std::vector<const IniSection *> m_sections;
    /** For each service, whether its name and all of its keys were accepted. */
    std::vector<bool> m_isServiceValid;
    std::vector<std::pair<DeclaredHost, const IniSection *>> m_hosts;
    std::unordered_map<AgentId, std::string> m_hostNameByAgent;
};

} // namespace

Result<Declaration> loadDeclaration(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!text) {
        return boost::leaf::new_error(
            Error {ResultCode::FileNotReadable, path + ": the file does not exist, cannot be read or is too large"});
    }
    return parseDeclaration(*text, path);
}

Result<Declaration> parseDeclaration(const std::string &text, const std::string &fileName)
{
    const IniDocument document(text, fileName);
    return DeclarationReader(document).read();
}

} // namespace samphireswitch::configuration
