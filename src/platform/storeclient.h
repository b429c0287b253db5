#pragma once

#include "base/resultcode.h"
#include "store/storeclient.h"
#include "store/storeconnection.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace samphireswitch::platform {

/** Whether a read may be answered with content that is seconds old, at a tenth of the price. */
enum class Freshness { Newest, MayBeOld };

/** An item of a list that cannot be read. */
struct UnreadableItem
{
    /** Empty if it cannot be read either. */
    std::string key;
    std::string reason;
};

struct ReadAnswer
{
    std::vector<store::KeyValue> values;
    /** Items that are left out of the values, for the log. */
    std::vector<UnreadableItem> unreadable {};
    /** Revision of the store when it answered; that of the first answer if the values needed several. */
    store::Revision revision = 0;
};

struct WatchAnswer
{
    /** Something under the prefix was written or removed. */
    bool changed = false;
    /** Revision from which the next watch goes on. */
    store::Revision revision = 0;
};

/** A lease as the store granted it. */
struct Lease
{
    std::uint64_t id = 0;
    std::chrono::milliseconds duration {0};
};

enum class Renewal { Renewed, Ended };

/**
 * The calls of the platform's metadata store that this project uses. PROTOCOL.md, section "The platform's metadata
 * store". Every call blocks, at most for the time limit (a watch: for its wait as well), and is made once: only the
 * calling code knows whether it may be repeated. Calls fail with ResultCode::StoreUnavailable (no answer, or the store
 * turns this process away; a write may have taken effect), StoreAnswerMalformed, StoreCompacted or StoreRejected.
 * Keys may hold any characters: those of other writers are met in lists. Belongs to one thread.
 */
class StoreClient
{
public:
    StoreClient(const Endpoint &server, std::chrono::milliseconds timeLimit);

    /** The item with this key; no values if there is none. */
    Result<ReadAnswer> read(const std::string &key);

    /** All items whose key begins with @p prefix. One that cannot be read does not make the call fail. */
    Result<ReadAnswer> readPrefix(const std::string &prefix, Freshness freshness);

    /** Waits for a change under @p prefix after revision @p after, at most for @p wait. */
    Result<WatchAnswer> watch(const std::string &prefix, store::Revision after, std::chrono::milliseconds wait);

    /** As store::StoreClient::transaction(). Fails with StoreRejected if a lease of the puts has ended. */
    Result<store::TransactionAnswer> transaction(const std::vector<store::Comparison> &comparisons,
                                                 const std::vector<store::PutRequest> &puts);

    Result<Lease> grantLease(std::chrono::milliseconds duration);
    Result<Renewal> renewLease(std::uint64_t lease);

    /**
     * How often the store has been restored from an older copy, according to its latest answer. 0 if no answer has told
     * so yet.
     */
    std::uint64_t era() const;

private:
    Result<store::HttpAnswer>
    call(store::HttpMethod method, const std::string &path, const std::string &body, std::chrono::milliseconds extra);

    std::chrono::milliseconds m_timeLimit;
    store::StoreConnection m_connection;
    std::uint64_t m_era = 0;
};

} // namespace samphireswitch::platform
