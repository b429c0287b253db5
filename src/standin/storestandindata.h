#pragma once

#include "base/time.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::standin {

/** A request that the store does not accept; becomes an answer with a status of 400. */
class StoreRequestError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** What became of a key with one write. */
struct StoreEvent
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    /** Number of writes since the key was created; 0 for a deletion. */
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

/**
 * The content of the store: every version of every key since the last compaction, and the leases. Requests and answers
 * are JSON objects of the published protocol (etcd v3). Not safe for use by several threads.
 */
class StoreStandInData
{
public:
    /** Each throws StoreRequestError if the request is not accepted. */
    boost::json::object range(const boost::json::object &request) const;
    boost::json::object put(const boost::json::object &request);
    boost::json::object transaction(const boost::json::object &request);
    boost::json::object grantLease(const boost::json::object &request, TimePoint now);
    boost::json::object keepLeaseAlive(const boost::json::object &request, TimePoint now);
    boost::json::object revokeLease(const boost::json::object &request);

    /** Ends the leases that have expired, and deletes their keys. */
    void expireLeases(TimePoint now);

    /** Discards all versions that are not the newest. */
    void compact();

    std::int64_t revision() const;
    std::int64_t compactedRevision() const;

    /** The writes in a range of keys at revision @p from or later, oldest first. */
    std::vector<StoreEvent> eventsSince(std::string_view key, std::string_view rangeEnd, std::int64_t from) const;

    /** The header of every answer. */
    boost::json::object header() const;

    static boost::json::object toJson(const StoreEvent &event);

private:
    struct Lease
    {
        std::chrono::seconds duration {0};
        TimePoint end;
    };

    /** The version of a key at @p revision; nothing if it did not exist. */
    const StoreEvent *find(const std::string &key, std::int64_t revision) const;
    bool holds(const boost::json::object &comparison) const;
    void write(const boost::json::object &request, std::int64_t revision);
    void erase(const std::string &key, std::int64_t revision);
    boost::json::object perform(const boost::json::object &operation, std::int64_t revision, bool &hasWritten);
    void checkPut(const boost::json::object &request) const;

    std::map<std::string, std::vector<StoreEvent>> m_versions;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_compactedRevision = 0;
    std::int64_t m_nextLease = 7001;
};

/** A 64-bit number that is a JSON number or a string; 0 if the field is missing. The name may be in either case form.
 */
std::int64_t numberField(const boost::json::object &object, std::string_view field);

/** A base64 field, decoded; empty if it is missing. */
std::string bytesField(const boost::json::object &object, std::string_view field);

/** The object in a field; empty if it is missing. */
boost::json::object objectField(const boost::json::object &object, std::string_view field);

} // namespace samphireswitch::standin
