#pragma once

#include "base/endpoint.h"
#include "base/identifiers.h"
#include "base/resultcode.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::commands {

/** The flags of all subcommands, with checked values. */
struct Options
{
    std::optional<Endpoint> store;
    /** Control addresses. */
    std::vector<Endpoint> balancers;
    /** Longest time of one call to the store or to another process. */
    std::chrono::milliseconds timeLimit {0};
    bool prune = false;
    /** Services that the operators want to close. */
    std::set<std::string> closing;
    /** Filters of the time line; empty or 0 for none. */
    std::string flow;
    std::string request;
    std::string service;
    std::string host;
    Generation generation = 0;
    /** `balancer`, `agent`, `declaration`, `document`, or empty to tell from the content. */
    std::string kind;
    /** Path of a file with the configuration in force; empty for none. */
    std::string against;
};

/** The values of the flags. Fails with ResultCode::UsageError and a message that names each wrong flag. */
Result<Options> readOptions();

/** Sets a flag from the text of the command line. Fails with ResultCode::UsageError. */
Result<void> setFlag(const std::string &name, const std::string &value);

bool isBoolFlag(const std::string &name);

/** `--NAME: what it is (default: VALUE)`. */
std::string describeFlag(std::string_view name);

} // namespace samphireswitch::commands
