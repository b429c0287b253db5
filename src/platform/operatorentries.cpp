#include "platform/operatorentries.h"

#include "configuration/recordcheck.h"
#include "platform/configurationdocument.h"

#include <algorithm>

namespace samphireswitch::platform {

namespace {

/** Takes over the key of an evacuation; ignores other keys. */
void addEvacuation(std::string_view key, OperatorEntries &entries)
{
    if (!key.starts_with(s_evacuationPrefix)) {
        return;
    }
    const std::string domain(key.substr(s_evacuationPrefix.size()));
    if (!configuration::isValidFailureDomain(domain)) {
        entries.problems.push_back("the evacuation of '" + domain + "' names no valid failure domain");
        return;
    }
    entries.evacuatedDomains.push_back(domain);
}

} // namespace

OperatorEntries operatorEntries(const ReadAnswer &answer)
{
    OperatorEntries entries;
    for (const store::KeyValue &item : answer.values) {
        if (item.key == s_configurationKey) {
            entries.document = item.value;
        }
        addEvacuation(item.key, entries);
    }
    for (const UnreadableItem &item : answer.unreadable) {
        entries.problems.push_back("'" + item.key + "' cannot be read: " + item.reason);
        addEvacuation(item.key, entries);
    }
    std::ranges::sort(entries.evacuatedDomains);
    const auto end = std::unique(entries.evacuatedDomains.begin(), entries.evacuatedDomains.end());
    entries.evacuatedDomains.erase(end, entries.evacuatedDomains.end());
    return entries;
}

} // namespace samphireswitch::platform
