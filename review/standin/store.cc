#include "store.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace review {

namespace {

namespace json = boost::json;

constexpr Milliseconds s_leaseInterval {100};
constexpr Milliseconds s_watchInterval {20};
constexpr Milliseconds s_recently {2000};
constexpr int s_unavailable = 503;

std::uint64_t toNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** The parameter @p name of the query in @p target. The keys of the processes need no escapes. */
std::string parameter(std::string_view target, std::string_view name)
{
    std::size_t at = target.find('?');
    while (at != std::string_view::npos) {
        const std::string_view rest = target.substr(at + 1);
        const std::string_view pair = rest.substr(0, rest.find('&'));
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=') {
            return std::string(pair.substr(name.size() + 1));
        }
        at = target.find('&', at + 1);
    }
    return {};
}

std::string encodeBase64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const std::string_view block = bytes.substr(at, 3);
        std::uint32_t bits = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            bits = (bits << 8U) | (index < block.size() ? static_cast<unsigned char>(block[index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index > block.size() ? '=' : digits[(bits >> (18U - 6U * index)) & 63U];
        }
    }
    return text;
}

std::string decodeBase64(std::string_view text)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (const char letter : text) {
        const std::size_t digit = digits.find(letter);
        if (digit == std::string_view::npos) {
            break;
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>((bits >> count) & 0xffU);
        }
    }
    return bytes;
}

} // namespace

Store::Store(Loop &loop)
    : m_loop(loop)
{
    m_loop.every(s_leaseInterval, [this] { endLeases(); });
    m_loop.every(s_watchInterval, [this] { answerWatches(); });
}

void Store::listen(const Address &address)
{
    serveHttp(m_loop, address, [this, address](const HttpRequest &request, const HttpRespond &respond) {
        handle(address, request, respond);
    });
}

void Store::setAnswerTime(Milliseconds shortest, Milliseconds longest)
{
    m_shortestAnswer = shortest;
    m_longestAnswer = longest;
}

void Store::setTurnedAway(const Address &address, bool turnedAway)
{
    m_turnedAway[address] = turnedAway;
    std::erase_if(m_watches, [&](const Watch &watch) {
        const bool isEnded = turnedAway && watch.address == address;
        if (isEnded) {
            watch.respond(s_unavailable, "{}");
        }
        return isEnded;
    });
}

std::vector<Address> Store::watchedAddresses() const
{
    std::vector<Address> addresses;
    for (const auto &[address, at] : m_watchedAt) {
        if (Clock::now() - at < s_recently) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void Store::writeAsOperator(const std::string &key, const std::string &value, const Loop::Handler &confirmed)
{
    put(key, value, 0);
    answerWatches();
    m_loop.after(answerTime(), confirmed);
}

void Store::handle(const Address &address, const HttpRequest &request, const HttpRespond &respond)
{
    if (m_turnedAway[address]) {
        delayed(respond)(s_unavailable, "{}");
        return;
    }
    if (request.target.starts_with("/api/kv-watch")) {
        m_watchedAt[address] = Clock::now();
        m_watches.push_back({parameter(request.target, "prefix"),
                             toNumber(parameter(request.target, "after")),
                             Clock::now() + Milliseconds(toNumber(parameter(request.target, "wait_ms"))),
                             delayed(respond),
                             address});
    } else {
        const auto [status, body] = answer(request);
        delayed(respond)(status, body);
    }
    answerWatches();
}

std::pair<int, std::string> Store::answer(const HttpRequest &request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/api/kv-key") {
        return read(parameter(request.target, "key"));
    }
    if (path == "/api/kv-range") {
        return readRange(parameter(request.target, "prefix"), parameter(request.target, "after"));
    }
    if (path == "/api/kv-txn") {
        return transaction(request.body);
    }
    if (path == "/api/kv-lease") {
        return grantLease(request.body);
    }
    if (path.starts_with("/api/kv-keep/")) {
        return renewLease(toNumber(std::string_view(path).substr(path.rfind('/') + 1)));
    }
    return {404, "{}"};
}

std::pair<int, std::string> Store::read(const std::string &key) const
{
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return {404, "{}"};
    }
    const Item &item = found->second;
    return {200,
            json::serialize(json::object {{"key", key},
                                          {"value", encodeBase64(item.value)},
                                          {"revision", item.revision},
                                          {"created", item.created},
                                          {"lease", item.lease},
                                          {"at", m_revision}})};
}

std::pair<int, std::string> Store::readRange(const std::string &prefix, const std::string &after) const
{
    json::array items;
    for (const auto &[key, item] : m_items) {
        if (key.starts_with(prefix) && key > after) {
            items.push_back(json::object {{"key", key},
                                          {"value", encodeBase64(item.value)},
                                          {"revision", item.revision},
                                          {"created", item.created},
                                          {"lease", item.lease}});
        }
    }
    const json::object body {{"items", std::move(items)}, {"has_more", false}, {"at", m_revision}};
    return {200, json::serialize(body)};
}

std::pair<int, std::string> Store::transaction(const std::string &body)
{
    const json::value call = json::parse(body);
    for (const json::value &row : call.at("expected").as_array()) {
        const auto found = m_items.find(std::string(row.at("key").as_string()));
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        if (revision != row.at("revision").to_number<std::uint64_t>()) {
            return {412, R"({"items":[]})"};
        }
    }
    for (const json::value &row : call.at("puts").as_array()) {
        const auto lease = row.at("lease").to_number<std::uint64_t>();
        if (lease != 0 && !m_leases.contains(lease)) {
            return {404, "{}"};
        }
    }
    for (const json::value &row : call.at("puts").as_array()) {
        put(std::string(row.at("key").as_string()),
            decodeBase64(row.at("value").as_string()),
            row.at("lease").to_number<std::uint64_t>());
    }
    return {200, json::serialize(json::object {{"revision", m_revision}})};
}

std::pair<int, std::string> Store::grantLease(const std::string &body)
{
    const auto duration = json::parse(body).at("ttl_ms").to_number<std::int64_t>();
    ++m_lastLease;
    m_leases[m_lastLease] = {Milliseconds(duration), Clock::now() + Milliseconds(duration)};
    return {200, json::serialize(json::object {{"lease", m_lastLease}, {"ttl_ms", duration}})};
}

std::pair<int, std::string> Store::renewLease(std::uint64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return {404, "{}"};
    }
    found->second.endsAt = Clock::now() + found->second.duration;
    return {200, "{}"};
}

void Store::put(const std::string &key, const std::string &value, std::uint64_t lease)
{
    ++m_revision;
    Item &item = m_items[key];
    item = {value, m_revision, item.created == 0 ? m_revision : item.created, lease};
    m_events.push_back({m_revision, key, false, item});
}

void Store::remove(const std::string &key)
{
    ++m_revision;
    m_items.erase(key);
    m_events.push_back({m_revision, key, true, {}});
}

void Store::answerWatches()
{
    const TimePoint now = Clock::now();
    std::erase_if(m_watches, [this, now](const Watch &watch) {
        json::array events;
        for (const Event &event : m_events) {
            if (event.revision <= watch.after || !event.key.starts_with(watch.prefix)) {
                continue;
            }
            json::object entry {{"key", event.key}, {"revision", event.revision}};
            if (event.isRemoved) {
                entry["deleted"] = true;
            } else {
                entry["value"] = encodeBase64(event.item.value);
                entry["created"] = event.item.created;
                entry["lease"] = event.item.lease;
            }
            events.push_back(std::move(entry));
        }
        if (events.empty() && now < watch.endsAt) {
            return false;
        }
        watch.respond(200, json::serialize(json::object {{"events", std::move(events)}, {"at", m_revision}}));
        return true;
    });
}

void Store::endLeases()
{
    const TimePoint now = Clock::now();
    std::vector<std::string> ended;
    for (const auto &[key, item] : m_items) {
        if (item.lease != 0 && m_leases.contains(item.lease) && m_leases[item.lease].endsAt <= now) {
            ended.push_back(key);
        }
    }
    std::erase_if(m_leases, [now](const auto &entry) { return entry.second.endsAt <= now; });
    for (const std::string &key : ended) {
        remove(key);
    }
}

HttpRespond Store::delayed(const HttpRespond &respond)
{
    return [this, respond](int status, const std::string &body) {
        m_loop.after(answerTime(), [respond, status, body] { respond(status, body); });
    };
}

Milliseconds Store::answerTime()
{
    std::uniform_int_distribution<Milliseconds::rep> distribution(m_shortestAnswer.count(), m_longestAnswer.count());
    return Milliseconds(distribution(m_random));
}

} // namespace review
