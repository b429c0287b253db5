#include "soak/storedata.h"

#include "store/base64.h"
#include "store/storejson.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace samphireswitch::soak {

namespace {

namespace json = store::json;

constexpr unsigned s_notFound = 404;
constexpr unsigned s_historyGone = 410;
constexpr unsigned s_conditionFailed = 412;
constexpr std::size_t s_pageItems = 500;
constexpr std::size_t s_historyEvents = 4096;

constexpr std::uint64_t s_maximumNumber = std::numeric_limits<std::int64_t>::max();

} // namespace

StoreAnswer StoreData::read(const std::string &key) const
{
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return {s_notFound, {{"at", m_revision}}};
    }
    boost::json::object body = toJson(key, found->second);
    body["at"] = m_revision;
    return {200, std::move(body)};
}

StoreAnswer StoreData::readPrefix(const std::string &prefix, const std::string &after) const
{
    boost::json::array items;
    bool hasMore = false;
    for (auto item = m_items.lower_bound(std::max(prefix, after)); item != m_items.end(); ++item) {
        if (item->first == after) {
            continue;
        }
        if (!item->first.starts_with(prefix)) {
            break;
        }
        if (items.size() == s_pageItems) {
            hasMore = true;
            break;
        }
        items.push_back(toJson(item->first, item->second));
    }
    return {200, {{"items", std::move(items)}, {"has_more", hasMore}, {"at", m_revision}}};
}

std::optional<StoreAnswer> StoreData::watch(const std::string &prefix, std::uint64_t after) const
{
    if (after < m_forgottenUpTo) {
        return StoreAnswer {s_historyGone, {}};
    }
    boost::json::array events;
    for (const Event &event : m_events) {
        if (event.revision <= after || !event.key.starts_with(prefix)) {
            continue;
        }
        events.push_back(
            event.item ? toJson(event.key, *event.item)
                       : boost::json::object {{"key", event.key}, {"revision", event.revision}, {"deleted", true}});
    }
    if (events.empty()) {
        return std::nullopt;
    }
    return StoreAnswer {200, {{"events", std::move(events)}, {"at", m_revision}}};
}

StoreAnswer StoreData::emptyWatch(std::uint64_t after) const
{
    return {200, {{"events", boost::json::array()}, {"at", std::max(after, m_revision)}}};
}

Result<StoreAnswer> StoreData::transaction(const boost::json::object &call)
{
    boost::json::array current;
    bool holds = true;
    BOOST_LEAF_AUTO(expected, json::readObjects(call, "expected"));
    for (const boost::json::object &row : expected) {
        BOOST_LEAF_AUTO(key, json::readString(row, "key"));
        BOOST_LEAF_AUTO(expectedRevision, json::readNumber(row, "revision", s_maximumNumber));
        const auto found = m_items.find(key);
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == expectedRevision;
        if (found != m_items.end()) {
            current.push_back(toJson(key, found->second));
        }
    }
    if (!holds) {
        return StoreAnswer {s_conditionFailed, {{"items", std::move(current)}}};
    }
    std::vector<std::pair<std::string, Item>> puts;
    BOOST_LEAF_AUTO(written, json::readObjects(call, "puts"));
    for (const boost::json::object &put : written) {
        Item item;
        BOOST_LEAF_AUTO(key, json::readString(put, "key"));
        BOOST_LEAF_ASSIGN(item.value, json::readBytes(put, "value"));
        BOOST_LEAF_ASSIGN(item.lease, json::readNumber(put, "lease", s_maximumNumber));
        if (item.lease != 0 && !m_leases.contains(item.lease)) {
            return StoreAnswer {s_notFound, {}};
        }
        puts.emplace_back(std::move(key), std::move(item));
    }
    BOOST_LEAF_AUTO(removed, json::readStrings(call, "remove"));
    ++m_revision;
    for (auto &[key, item] : puts) {
        write(key, std::move(item.value), item.lease);
    }
    for (const std::string &key : removed) {
        remove(key);
    }
    return StoreAnswer {200, {{"revision", m_revision}}};
}

Result<StoreAnswer> StoreData::grantLease(const boost::json::object &call, TimePoint now)
{
    BOOST_LEAF_AUTO(milliseconds, json::readNumber(call, "ttl_ms", s_maximumNumber));
    const std::chrono::milliseconds duration(std::max<std::uint64_t>(1, milliseconds));
    const std::uint64_t lease = m_nextLease++;
    m_leases[lease] = {duration, now + duration};
    return StoreAnswer {200, {{"lease", lease}, {"ttl_ms", duration.count()}}};
}

StoreAnswer StoreData::renewLease(std::uint64_t lease, TimePoint now)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return {s_notFound, {}};
    }
    found->second.endsAt = now + found->second.duration;
    return {200, {{"ttl_ms", found->second.duration.count()}}};
}

StoreAnswer StoreData::endLease(std::uint64_t lease)
{
    if (m_leases.erase(lease) == 0) {
        return {s_notFound, {}};
    }
    ++m_revision;
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        remove(key);
    }
    return {200, {}};
}

void StoreData::put(const std::string &key, std::string value)
{
    ++m_revision;
    write(key, std::move(value), 0);
}

void StoreData::erase(const std::string &key)
{
    ++m_revision;
    remove(key);
}

void StoreData::forgetHistory()
{
    m_events.clear();
    m_forgottenUpTo = m_revision;
}

void StoreData::expireLeases(TimePoint now)
{
    std::vector<std::uint64_t> ended;
    for (const auto &[lease, details] : m_leases) {
        if (details.endsAt <= now) {
            ended.push_back(lease);
        }
    }
    for (const std::uint64_t lease : ended) {
        endLease(lease);
    }
}

boost::json::object StoreData::toJson(const std::string &key, const Item &item)
{
    return {{"key", key},
            {"value", store::encodeBase64(item.value)},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

void StoreData::write(const std::string &key, std::string value, std::uint64_t lease)
{
    Item &item = m_items[key];
    item.created = item.created == 0 ? m_revision : item.created;
    item.revision = m_revision;
    item.value = std::move(value);
    item.lease = lease;
    m_events.push_back({m_revision, key, item});
    if (m_events.size() > s_historyEvents) {
        m_forgottenUpTo = m_events.front().revision;
        m_events.pop_front();
    }
}

void StoreData::remove(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_events.push_back({m_revision, key, std::nullopt});
    }
}

} // namespace samphireswitch::soak
