#pragma once

#include "base/resultcode.h"
#include "configuration/servicerecord.h"

#include <string>
#include <vector>

namespace samphireswitch::configuration {

/** What operators declare in a file: services with their hosts, in the order of the file. */
struct Declaration
{
    /** Generation and plan are not set. */
    std::vector<ServiceRecord> services;
};

/**
 * Read and check a declaration file: sections `[service NAME]` and `[host NAME]`. Fail with
 * ResultCode::FileNotReadable, or with ResultCode::InvalidDeclaration and a message with one line per problem: file,
 * line, section, key, what is wrong and the accepted form.
 */
Result<Declaration> loadDeclaration(const std::string &path);

/** As above, for a text that was already read. @p fileName is used in the messages only. */
Result<Declaration> parseDeclaration(const std::string &text, const std::string &fileName);

} // namespace samphireswitch::configuration
