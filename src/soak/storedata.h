#pragma once

#include "base/resultcode.h"
#include "base/time.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace samphireswitch::soak {

/** An answer of the store. */
struct StoreAnswer
{
    unsigned status = 200;
    boost::json::object body;
};

/** The contents of the platform's metadata store. PROTOCOL.md, section "The platform's metadata store". */
class StoreData
{
public:
    StoreAnswer read(const std::string &key) const;
    StoreAnswer readPrefix(const std::string &prefix, const std::string &after) const;

    /** The events under @p prefix after @p after; nothing if there are none yet. */
    std::optional<StoreAnswer> watch(const std::string &prefix, std::uint64_t after) const;

    /** The answer of a watch whose time is over. */
    StoreAnswer emptyWatch(std::uint64_t after) const;

    /** Fail with ResultCode::StoreAnswerMalformed for a call that cannot be read. */
    Result<StoreAnswer> transaction(const boost::json::object &call);
    Result<StoreAnswer> grantLease(const boost::json::object &call, TimePoint now);
    StoreAnswer renewLease(std::uint64_t lease, TimePoint now);
    StoreAnswer endLease(std::uint64_t lease);

    /** Writes without conditions, as the operator does. */
    void put(const std::string &key, std::string value);
    void erase(const std::string &key);

    /** Discards all history. */
    void forgetHistory();

    /** Removes the keys of leases that have ended. */
    void expireLeases(TimePoint now);

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct Lease
    {
        std::chrono::milliseconds duration {0};
        TimePoint endsAt;
    };

    struct Event
    {
        std::uint64_t revision = 0;
        std::string key;
        /** Nothing if the key was removed. */
        std::optional<Item> item;
    };

    static boost::json::object toJson(const std::string &key, const Item &item);
    void write(const std::string &key, std::string value, std::uint64_t lease);
    void remove(const std::string &key);

    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<Event> m_events;
    std::uint64_t m_revision = 1;
    /** Events up to this revision were discarded. */
    std::uint64_t m_forgottenUpTo = 1;
    std::uint64_t m_nextLease = 1;
};

} // namespace samphireswitch::soak
