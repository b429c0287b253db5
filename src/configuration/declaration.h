#pragma once

#include "base/resultcode.h"
#include "configuration/servicerecord.h"

#include <string>
#include <vector>

namespace samphireswitch::configuration {

/** Whether a failure domain is declared as evacuated or as active. */
struct DeclaredFailureDomain
{
    std::string name;
    bool isEvacuated = false;
};

/** The content of a declaration file: the services with their hosts, and the failure domains, in the order of the file.
 */
struct Declaration
{
    /** The fields @c generation and @c plan are left at their defaults; they are set when a plan is confirmed. */
    std::vector<ServiceRecord> services;
    std::vector<DeclaredFailureDomain> failureDomains {};
};

/**
 * Reads and validates the declaration file at @p path, which consists of sections `[service NAME]`, `[host NAME]` and
 * `[failure_domain NAME]`.
 *
 * Fails with ResultCode::FileNotReadable if the file does not exist, cannot be read or is larger than
 * s_maximumIniFileSize. Fails with ResultCode::InvalidDeclaration if the content is not valid; the message then has one
 * line per problem with the file, line, section, key, the problem and the accepted form.
 */
Result<Declaration> loadDeclaration(const std::string &path);

/**
 * Validates the text of a declaration file like loadDeclaration(), and fails with ResultCode::InvalidDeclaration only.
 * @p fileName appears in error messages; the file is not opened.
 */
Result<Declaration> parseDeclaration(const std::string &text, const std::string &fileName);

} // namespace samphireswitch::configuration
