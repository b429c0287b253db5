#pragma once

#include "agent/passthroughdatapath.h"
#include "base/identifiers.h"
#include "base/resultcode.h"
#include "base/time.h"
#include "passthrough/servedruns.h"
#include "platform/storeclient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphireswitch::agent {

/** The list of served runs as the store keeps it. */
struct StoredServedRuns
{
    /** The store's era at the time of the write: a store that was restored since may lack later lists. */
    std::uint64_t era = 0;
    passthrough::ServedRuns served;

    bool operator==(const StoredServedRuns &) const = default;
};

/** The value for the store. */
std::string encodeServedRuns(const StoredServedRuns &stored);

/** Fails with ResultCode::StoreAnswerMalformed if encodeServedRuns() cannot have returned @p value. */
Result<StoredServedRuns> decodeServedRuns(std::string_view value);

/**
 * Keeps the list of the runs that an agent has served in the platform's store, without a lease: a process that starts
 * has to find it, however long the agent was away. A write is made only if nobody has written since the last read, so
 * that a late write of an earlier process takes no run off the list. Belongs to the thread of the store calls.
 */
class ServedRunStore
{
public:
    /** @p client and @p dataPath must be valid for the lifetime of the object. */
    ServedRunStore(AgentId agent, platform::StoreClient &client, PassthroughDataPath &dataPath);

    /** Whether exchange() has something to do. */
    bool isDue(TimePoint now) const;

    /** Time until a failed call is made again, at most @p longest. */
    std::chrono::milliseconds timeUntilRetry(TimePoint now, std::chrono::milliseconds longest) const;

    /** Reads the list of the earlier processes, or writes the one that the packet path asks for. */
    Result<void> exchange();

private:
    Result<void> read();
    Result<void> write();
    /** The list of earlier processes in the answer of a read. */
    Result<passthrough::ServedRuns> earlierRuns(const platform::ReadAnswer &answer);
    /** Whether the store was never restored since the system first read it: a list that is missing was never written.
     */
    Result<bool> isFirstEra();
    bool isOutdated() const;

    std::string m_key;
    platform::StoreClient &m_client;
    PassthroughDataPath &m_dataPath;
    bool m_wasRead = false;
    /** Revision of the item; 0 if there is none. */
    store::Revision m_revision = 0;
    /** What this process has written last. */
    std::optional<StoredServedRuns> m_written;
    TimePoint m_pausedUntil;
};

} // namespace samphireswitch::agent
