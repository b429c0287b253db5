#include "soak/storedata.h"

#include "store/base64.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace samphireswitch::soak {

namespace {

constexpr unsigned s_badRequest = 400;
constexpr unsigned s_notFound = 404;
constexpr unsigned s_historyGone = 410;
constexpr unsigned s_conditionFailed = 412;
constexpr std::size_t s_pageItems = 500;
constexpr std::size_t s_historyEvents = 4096;

/** A field that may be missing. */
template<typename Number>
Number numberOf(const boost::json::object &object, const char *field)
{
    const boost::json::value *value = object.if_contains(field);
    return value != nullptr && value->is_number() ? value->to_number<Number>() : Number {0};
}

std::string textOf(const boost::json::object &object, const char *field)
{
    const boost::json::value *value = object.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::vector<boost::json::value> listOf(const boost::json::object &object, const char *field)
{
    const boost::json::value *value = object.if_contains(field);
    if (value == nullptr || !value->is_array()) {
        return {};
    }
    return {value->get_array().begin(), value->get_array().end()};
}

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

StoreAnswer StoreData::transaction(const boost::json::object &call)
{
    boost::json::array current;
    bool holds = true;
    for (const boost::json::value &row : listOf(call, "expected")) {
        const std::string key = textOf(row.as_object(), "key");
        const auto found = m_items.find(key);
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == numberOf<std::uint64_t>(row.as_object(), "revision");
        if (found != m_items.end()) {
            current.push_back(toJson(key, found->second));
        }
    }
    if (!holds) {
        return {s_conditionFailed, {{"items", std::move(current)}}};
    }
    const auto puts = listOf(call, "puts");
    for (const boost::json::value &put : puts) {
        const auto lease = numberOf<std::uint64_t>(put.as_object(), "lease");
        if (lease != 0 && !m_leases.contains(lease)) {
            return {s_notFound, {}};
        }
        if (!store::decodeBase64(textOf(put.as_object(), "value"))) {
            return {s_badRequest, {}};
        }
    }
    ++m_revision;
    for (const boost::json::value &put : puts) {
        write(textOf(put.as_object(), "key"),
              *store::decodeBase64(textOf(put.as_object(), "value")),
              numberOf<std::uint64_t>(put.as_object(), "lease"));
    }
    for (const boost::json::value &key : listOf(call, "remove")) {
        remove(std::string(key.as_string()));
    }
    return {200, {{"revision", m_revision}}};
}

StoreAnswer StoreData::grantLease(const boost::json::object &call, TimePoint now)
{
    const std::chrono::milliseconds duration(std::max<std::int64_t>(1, numberOf<std::int64_t>(call, "ttl_ms")));
    const std::uint64_t lease = m_nextLease++;
    m_leases[lease] = {duration, now + duration};
    return {200, {{"lease", lease}, {"ttl_ms", duration.count()}}};
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
