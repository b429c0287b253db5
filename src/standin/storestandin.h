#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace samphireswitch::standin {

/** Faults that the stand-in for the store imitates. */
struct StoreFaults
{
    /** Ends every connection without an answer. */
    bool unavailable = false;
    /** Waits before each call is performed. */
    std::chrono::milliseconds delay {0};
    /** Waits before each transaction is performed, in addition. */
    std::chrono::milliseconds transactionDelay {0};
    /** Each transaction that arrives waits for StoreStandIn::releaseTransactions(). */
    bool holdTransactions = false;
    /** So many transactions are performed without an answer. */
    std::uint32_t dropAnswers = 0;
    /** Ends each watch as soon as it has begun. */
    bool dropWatches = false;
    /** If not empty, the answer to every call, whatever it asks. */
    std::string cannedAnswer {};
};

/**
 * An in-memory store that speaks the published protocol (etcd v3, JSON over HTTP): range, put, txn, watch, and lease
 * grant, keepalive and revoke. Faults are set by the functions here or over HTTP:
 *   POST /standin/faults   {"unavailable": true, "delay_ms": 100, "transaction_delay_ms": 100, "drop_answers": 1,
 *                           "drop_watches": true, "canned_answer": "..."}; fields that are missing are set to none
 *   POST /standin/compact  discards all old versions and ends all watches
 *   POST /standin/calls    answers with the number of calls by path
 */
class StoreStandIn
{
public:
    StoreStandIn();
    ~StoreStandIn();

    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    /** Listens and serves in threads of its own. Port 0 takes any free port. Fails with ResultCode::SocketError. */
    Result<void> start(const Endpoint &listen);

    /** Ends all connections and threads. */
    void stop();

    /** Where the stand-in listens. */
    Endpoint endpoint() const;

    void setFaults(const StoreFaults &faults);

    /** Performs the transactions that are held. */
    void releaseTransactions();

    /** Ends all watches and discards the versions that they would have needed. */
    void compact();

    /** Ends all watches that exist now. */
    void endWatches();

    /** Number of calls by path. A pending watch counts as one. */
    std::map<std::string, std::uint64_t> calls() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

/** Serves until SIGINT or SIGTERM; returns the exit status of the process. */
int runStoreStandIn(const Endpoint &listen);

} // namespace samphireswitch::standin
