#pragma once

#include "loop.h"
#include "packet.h"
#include "sockets.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace review {

/** The platform's metadata store, PROTOCOL.md, section "The platform's metadata store". */
class Store
{
public:
    explicit Store(Loop &loop);

    /** Serves on @p address. Several addresses give access to the same data. */
    void listen(const Address &address);

    /** Sets the time from the arrival of a call to its answer: between the limits, drawn for each answer. */
    void setAnswerTime(Milliseconds shortest, Milliseconds longest);

    /** Answers the calls at @p address with 503, as a store that turns a machine away, or serves them again. */
    void setTurnedAway(const Address &address, bool turnedAway);

    /** The addresses at which a watch was requested within the last two seconds. */
    std::vector<Address> watchedAddresses() const;

    /** The operator writes @p value. @p confirmed is called when the operator gets the answer. */
    void writeAsOperator(const std::string &key, const std::string &value, const Loop::Handler &confirmed);

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
        Milliseconds duration {0};
        TimePoint endsAt;
    };

    struct Event
    {
        std::uint64_t revision = 0;
        std::string key;
        bool isRemoved = false;
        Item item;
    };

    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        TimePoint endsAt;
        HttpRespond respond;
        Address address;
    };

    void handle(const Address &address, const HttpRequest &request, const HttpRespond &respond);
    std::pair<int, std::string> answer(const HttpRequest &request);
    std::pair<int, std::string> read(const std::string &key) const;
    std::pair<int, std::string> readRange(const std::string &prefix, const std::string &after) const;
    std::pair<int, std::string> transaction(const std::string &body);
    std::pair<int, std::string> grantLease(const std::string &body);
    std::pair<int, std::string> renewLease(std::uint64_t lease);
    void put(const std::string &key, const std::string &value, std::uint64_t lease);
    void remove(const std::string &key);
    void answerWatches();
    void endLeases();
    HttpRespond delayed(const HttpRespond &respond);
    Milliseconds answerTime();

    Loop &m_loop;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<Event> m_events;
    std::vector<Watch> m_watches;
    std::map<Address, bool> m_turnedAway;
    std::map<Address, TimePoint> m_watchedAt;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    Milliseconds m_shortestAnswer {4};
    Milliseconds m_longestAnswer {4};
    std::mt19937_64 m_random {1};
};

} // namespace review
