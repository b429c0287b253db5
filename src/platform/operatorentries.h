#pragma once

#include "platform/storeclient.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::platform {

/** Prefix of the keys that the operator writes. */
constexpr std::string_view s_operatorPrefix = "op/";

/** Prefix of the keys each of which evacuates the failure domain in the rest of the key, whatever its value. */
constexpr std::string_view s_evacuationPrefix = "op/evacuate/";

/** What the operator has written to the store. Keys of other kinds are left out. */
struct OperatorEntries
{
    /** Text of the configuration document; nothing if it is missing or cannot be read. */
    std::optional<std::string> document;
    /** The failure domains to evacuate, in ascending order. */
    std::vector<std::string> evacuatedDomains;
    /** One sentence for each entry that cannot be used, for the log. */
    std::vector<std::string> problems;
};

/** Extracts the document and the evacuations from the answer of the store to a read of s_operatorPrefix. */
OperatorEntries operatorEntries(const ReadAnswer &answer);

} // namespace samphireswitch::platform
