#include "commands/checkcommand.h"

#include "configuration/declaration.h"
#include "configuration/inidocument.h"
#include "settings/settings.h"

namespace samphireswitch::commands {

namespace {

/** Tells the kind of file from its sections. */
std::string kindOf(const configuration::IniDocument &document)
{
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

} // namespace

Result<int> runCheck(const Options &options, const std::string &path, std::ostream &out)
{
    const auto text = configuration::readTextFile(path);
    if (!text) {
        return boost::leaf::new_error(
            Error {ResultCode::FileNotReadable, path + ": the file does not exist, cannot be read or is too large"});
    }
    const std::string kind = options.kind.empty() ? kindOf({*text, path}) : options.kind;
    if (kind == "balancer") {
        return report(settings::parseBalancerSettings(*text, path), path, kind, out);
    }
    if (kind == "agent") {
        return report(settings::parseAnyAgentSettings(*text, path), path, kind, out);
    }
    return report(configuration::parseDeclaration(*text, path), path, kind, out);
}

} // namespace samphireswitch::commands
