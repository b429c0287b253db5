#include "commands/checkcommand.h"

#include "commands/inforce.h"
#include "configuration/configurationcheck.h"
#include "configuration/declaration.h"
#include "configuration/inidocument.h"
#include "platform/configurationdocument.h"
#include "settings/settings.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <vector>

namespace samphireswitch::commands {

namespace {

using configuration::Finding;
using configuration::ServiceRecord;
using configuration::Severity;

constexpr int s_warningStatus = 1;

using Records = std::vector<ServiceRecord>;

/** Tells the kind of file from its content. */
std::string kindOf(const std::string &text, const std::string &path)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first != std::string::npos && text[first] == '{') {
        return "document";
    }
    const configuration::IniDocument document(text, path);
    if (document.find("balancer") != nullptr) {
        return "balancer";
    }
    if (document.find("agent") != nullptr) {
        return "agent";
    }
    return "declaration";
}

template<typename T>
Result<int> report(Result<T> result, const std::string &path, const std::string &kind, std::ostream &out)
{
    if (!result) {
        return result.error();
    }
    out << path << ": no problem (" << kind << ")\n";
    return 0;
}

Result<std::string> readFile(const std::string &path)
{
    auto text = configuration::readTextFile(path);
    if (!text) {
        return boost::leaf::new_error(
            Error {ResultCode::FileNotReadable, path + ": the file does not exist, cannot be read or is too large"});
    }
    return std::move(*text);
}

Result<Records> readRecords(const std::string &text, const std::string &path, const std::string &kind)
{
    if (kind == "document") {
        BOOST_LEAF_AUTO(document, platform::decodeConfiguration(text));
        return std::move(document.records);
    }
    BOOST_LEAF_AUTO(declaration, configuration::parseDeclaration(text, path));
    return std::move(declaration.services);
}

/** The configuration with which the file is compared; nothing if the flags name none. */
Result<std::optional<Records>> readInForce(const Options &options)
{
    if (!options.against.empty()) {
        BOOST_LEAF_AUTO(text, readFile(options.against));
        BOOST_LEAF_AUTO(records, readRecords(text, options.against, kindOf(text, options.against)));
        return std::optional(std::move(records));
    }
    if (!options.store) {
        return std::optional<Records>();
    }
    store::ConfigurationStore store(*options.store, options.timeLimit);
    BOOST_LEAF_AUTO(table, readTable(store));
    Records records;
    for (const auto &[name, record] : table.services()) {
        records.push_back(record);
    }
    return std::optional(std::move(records));
}

/**
 * Moves the evacuations of @p inForce to @p evacuations. A file does not end them, so that they are no difference, but
 * they count when services are checked.
 */
void moveEvacuations(Records &inForce, Records &evacuations)
{
    std::ranges::copy_if(inForce, std::back_inserter(evacuations), &ServiceRecord::isEvacuationInForce);
    std::erase_if(inForce, [](const ServiceRecord &record) { return record.isEvacuationInForce(); });
}

int print(const std::vector<Finding> &findings, const std::string &path, std::ostream &out)
{
    int status = 0;
    for (const Finding &finding : findings) {
        const bool isError = finding.severity == Severity::Error;
        out << path << ": " << (isError ? "error" : "warning") << ": " << finding.text << '\n';
        status = std::max(status, isError ? s_checkErrorStatus : s_warningStatus);
    }
    return status;
}

void print(const std::vector<std::string> &differences, std::ostream &out)
{
    out << (differences.empty() ? "No difference from the configuration in force.\n"
                                : "Compared with the configuration in force:\n");
    for (const std::string &difference : differences) {
        out << "  " << difference << '\n';
    }
}

Result<int> checkConfiguration(const Options &options, Records declared, const std::string &path, std::ostream &out)
{
    BOOST_LEAF_AUTO(inForce, readInForce(options));
    std::optional<std::vector<std::string>> differences;
    if (inForce) {
        Records evacuations;
        moveEvacuations(*inForce, evacuations);
        differences = configuration::differencesOf(*inForce, declared);
        declared.insert(declared.end(), evacuations.begin(), evacuations.end());
    }
    const int status = print(configuration::findingsOf(declared), path, out);
    if (differences) {
        print(*differences, out);
    }
    return status;
}

} // namespace

Result<int> runCheck(const Options &options, const std::string &path, std::ostream &out)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    const std::string kind = options.kind.empty() ? kindOf(text, path) : options.kind;
    if (kind == "balancer") {
        return report(settings::parseBalancerSettings(text, path), path, kind, out);
    }
    if (kind == "agent") {
        return report(settings::parseAnyAgentSettings(text, path), path, kind, out);
    }
    BOOST_LEAF_AUTO(records, readRecords(text, path, kind));
    BOOST_LEAF_AUTO(status, checkConfiguration(options, std::move(records), path, out));
    if (status == 0) {
        out << path << ": no problem (" << kind << ")\n";
    }
    return status;
}

} // namespace samphireswitch::commands
