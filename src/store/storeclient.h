#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"
#include "base/time.h"
#include "store/storeconnection.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::store {

/** A number that the store raises with each write. 0 stands for none. */
using Revision = std::uint64_t;

struct KeyValue
{
    std::string key;
    std::string value;
    /** Revision of the last write of this key. */
    Revision modRevision = 0;
};

struct RangeRequest
{
    std::string key;
    /** The first key after the range; empty for the one key. */
    std::string rangeEnd;
    /** Reads the content at this revision; 0 for the newest. */
    Revision revision = 0;
    /** Returns only keys that were written at this revision or later. */
    Revision minModRevision = 0;
    /** Largest number of keys in the answer; 0 for no limit. */
    std::uint32_t limit = 0;
};

struct RangeAnswer
{
    /** Revision of the store when it answered. */
    Revision revision = 0;
    std::vector<KeyValue> values;
    /** There are more keys in the range than the limit. */
    bool more = false;
};

struct PutRequest
{
    std::string key;
    std::string value;
    /** The key is deleted when this lease ends; 0 for no lease. */
    std::uint64_t lease = 0;
};

/** The key was last written at this revision; 0 means that it does not exist. */
struct Comparison
{
    std::string key;
    Revision modRevision = 0;
};

struct TransactionAnswer
{
    /** All comparisons held and the puts took effect. */
    bool succeeded = false;
    Revision revision = 0;
};

/** The key after the last one that begins with @p prefix. */
std::string endOfPrefix(std::string prefix);

/**
 * The calls of the store's published protocol (etcd v3, JSON over HTTP) that this project uses. Every call blocks, at
 * most for the time limit. Calls fail with ResultCode::StoreUnavailable (no answer in time; a write may have taken
 * effect), StoreAnswerMalformed, StoreCompacted or StoreRejected. Belongs to one thread.
 */
class StoreClient
{
public:
    StoreClient(const Endpoint &server, std::chrono::milliseconds timeLimit);

    Result<RangeAnswer> range(const RangeRequest &request);

    /** Returns the revision of the write. */
    Result<Revision> put(const PutRequest &request);

    /**
     * Performs all puts if all comparisons hold, in one step. It is never repeated here: only the caller can find out
     * whether a transaction without an answer took effect.
     */
    Result<TransactionAnswer> transaction(const std::vector<Comparison> &comparisons,
                                          const std::vector<PutRequest> &puts);

    /** Creates a lease that ends after @p duration and returns its identity. */
    Result<std::uint64_t> grantLease(std::chrono::seconds duration);

    const Endpoint &server() const;
    std::chrono::milliseconds timeLimit() const;

private:
    enum class Repetition { Allowed, Forbidden };

    /** The body of a successful answer. */
    Result<std::string> call(std::string_view path, const std::string &body, Repetition repetition);

    Endpoint m_server;
    std::chrono::milliseconds m_timeLimit;
    StoreConnection m_connection;
};

} // namespace samphireswitch::store
