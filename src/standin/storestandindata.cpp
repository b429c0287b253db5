#include "standin/storestandindata.h"

#include "store/base64.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

namespace samphireswitch::standin {

namespace {

namespace json = boost::json;

// The limits of the published protocol's server, with their default values.
constexpr std::size_t s_maximumOperations = 128;
constexpr std::size_t s_maximumValueSize = std::size_t {1024} * 1024;

/** `mod_revision` becomes `modRevision`; the protocol accepts both. */
std::string camelCase(std::string_view field)
{
    std::string result;
    bool isUpper = false;
    for (const char character : field) {
        if (character == '_') {
            isUpper = true;
            continue;
        }
        result += isUpper ? static_cast<char>(std::toupper(static_cast<unsigned char>(character))) : character;
        isUpper = false;
    }
    return result;
}

const json::value *findField(const json::object &object, std::string_view field)
{
    if (const json::value *value = object.if_contains(json::string_view(field.data(), field.size()))) {
        return value;
    }
    return object.if_contains(camelCase(field));
}

std::string textField(const json::object &object, std::string_view field)
{
    const json::value *value = findField(object, field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        throw StoreRequestError("the field " + std::string(field) + " is not a string");
    }
    return {value->get_string().data(), value->get_string().size()};
}

json::array arrayField(const json::object &object, std::string_view field)
{
    const json::value *value = findField(object, field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_array() || value->get_array().size() > s_maximumOperations) {
        throw StoreRequestError("the field " + std::string(field) + " is not a list, or has too many elements");
    }
    return value->get_array();
}

json::object elementObject(const json::value &element)
{
    if (!element.is_object()) {
        throw StoreRequestError("an element of a list is not an object");
    }
    return element.get_object();
}

bool isInRange(std::string_view key, std::string_view first, std::string_view end)
{
    return end.empty() ? key == first : key >= first && key < end;
}

template<typename T>
bool compares(const T &left, const std::string &relation, const T &right)
{
    if (relation.empty() || relation == "EQUAL") {
        return left == right;
    }
    if (relation == "NOT_EQUAL") {
        return left != right;
    }
    if (relation == "GREATER") {
        return left > right;
    }
    if (relation == "LESS") {
        return left < right;
    }
    throw StoreRequestError("the result of a comparison is unknown: " + relation);
}

} // namespace

std::int64_t numberField(const json::object &object, std::string_view field)
{
    const json::value *value = findField(object, field);
    if (value == nullptr) {
        return 0;
    }
    if (value->is_int64()) {
        return value->get_int64();
    }
    std::int64_t number = 0;
    if (value->is_string()) {
        const json::string &text = value->get_string();
        const char *end = text.data() + text.size();
        const auto [parsedEnd, status] = std::from_chars(text.data(), end, number);
        if (status == std::errc() && parsedEnd == end) {
            return number;
        }
    }
    throw StoreRequestError("the field " + std::string(field) + " is not a number");
}

std::string bytesField(const json::object &object, std::string_view field)
{
    auto bytes = store::decodeBase64(textField(object, field));
    if (!bytes) {
        throw StoreRequestError("the field " + std::string(field) + " is not base64");
    }
    return std::move(*bytes);
}

json::object objectField(const json::object &object, std::string_view field)
{
    const json::value *value = findField(object, field);
    if (value == nullptr) {
        return {};
    }
    return elementObject(*value);
}

json::object StoreStandInData::header() const
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(m_revision)}, {"raft_term", "1"}};
}

json::object StoreStandInData::toJson(const StoreEvent &event)
{
    json::object object {{"key", store::encodeBase64(event.key)}, {"mod_revision", std::to_string(event.modRevision)}};
    if (event.version != 0) {
        object["create_revision"] = std::to_string(event.createRevision);
        object["version"] = std::to_string(event.version);
        object["value"] = store::encodeBase64(event.value);
    }
    if (event.lease != 0) {
        object["lease"] = std::to_string(event.lease);
    }
    return object;
}

json::object StoreStandInData::range(const json::object &request) const
{
    const std::string first = bytesField(request, "key");
    const std::string end = bytesField(request, "range_end");
    const std::int64_t at = numberField(request, "revision");
    const std::int64_t minimum = numberField(request, "min_mod_revision");
    const std::int64_t limit = numberField(request, "limit");
    if (first.empty()) {
        throw StoreRequestError("etcdserver: key is not provided");
    }
    if (at > m_revision) {
        throw StoreRequestError("etcdserver: mvcc: required revision is a future revision");
    }
    if (at != 0 && at < m_compactedRevision) {
        throw StoreRequestError("etcdserver: mvcc: required revision has been compacted");
    }
    json::array values;
    std::int64_t count = 0;
    for (const auto &[key, versions] : m_versions) {
        const StoreEvent *event = isInRange(key, first, end) ? find(key, at == 0 ? m_revision : at) : nullptr;
        if (event == nullptr) {
            continue;
        }
        ++count;
        const bool isOver = limit != 0 && values.size() >= static_cast<std::size_t>(limit);
        if (event->modRevision >= minimum && !isOver) {
            values.push_back(toJson(*event));
        }
    }
    json::object answer {{"header", header()}};
    if (limit != 0 && count > limit && values.size() == static_cast<std::size_t>(limit)) {
        answer["more"] = true;
    }
    if (!values.empty()) {
        answer["kvs"] = std::move(values);
    }
    if (count != 0) {
        answer["count"] = std::to_string(count);
    }
    return answer;
}

json::object StoreStandInData::put(const json::object &request)
{
    checkPut(request);
    ++m_revision;
    write(request, m_revision);
    return {{"header", header()}};
}

json::object StoreStandInData::transaction(const json::object &request)
{
    const json::array comparisons = arrayField(request, "compare");
    const bool succeeded = std::ranges::all_of(
        comparisons, [this](const json::value &comparison) { return holds(elementObject(comparison)); });
    const json::array operations = arrayField(request, succeeded ? "success" : "failure");
    for (const json::value &operation : operations) {
        // Every put is checked before the first one takes effect.
        const json::object object = elementObject(operation);
        if (findField(object, "request_put") != nullptr) {
            checkPut(objectField(object, "request_put"));
        }
    }
    json::array answers;
    bool hasWritten = false;
    for (const json::value &operation : operations) {
        answers.push_back(perform(elementObject(operation), m_revision + 1, hasWritten));
    }
    if (hasWritten) {
        ++m_revision;
    }
    json::object answer {{"header", header()}};
    if (succeeded) {
        answer["succeeded"] = true;
    }
    if (!answers.empty()) {
        answer["responses"] = std::move(answers);
    }
    return answer;
}

json::object StoreStandInData::perform(const json::object &operation, std::int64_t revision, bool &hasWritten)
{
    if (findField(operation, "request_put") != nullptr) {
        write(objectField(operation, "request_put"), revision);
        hasWritten = true;
        return {{"response_put", {{"header", {{"revision", std::to_string(revision)}}}}}};
    }
    if (findField(operation, "request_range") != nullptr) {
        return {{"response_range", range(objectField(operation, "request_range"))}};
    }
    throw StoreRequestError("the operation of a transaction is not supported");
}

bool StoreStandInData::holds(const json::object &comparison) const
{
    const StoreEvent missing;
    const StoreEvent *found = find(bytesField(comparison, "key"), m_revision);
    const StoreEvent &event = found == nullptr ? missing : *found;
    const std::string target = textField(comparison, "target");
    const std::string relation = textField(comparison, "result");
    if (target == "MOD") {
        return compares(event.modRevision, relation, numberField(comparison, "mod_revision"));
    }
    if (target == "CREATE") {
        return compares(event.createRevision, relation, numberField(comparison, "create_revision"));
    }
    if (target == "VALUE") {
        return found != nullptr && compares(event.value, relation, bytesField(comparison, "value"));
    }
    if (target.empty() || target == "VERSION") {
        return compares(event.version, relation, numberField(comparison, "version"));
    }
    throw StoreRequestError("the target of a comparison is unknown: " + target);
}

void StoreStandInData::checkPut(const json::object &request) const
{
    if (bytesField(request, "key").empty()) {
        throw StoreRequestError("etcdserver: key is not provided");
    }
    if (bytesField(request, "value").size() > s_maximumValueSize) {
        throw StoreRequestError("etcdserver: request is too large");
    }
    const std::int64_t lease = numberField(request, "lease");
    if (lease != 0 && !m_leases.contains(lease)) {
        throw StoreRequestError("etcdserver: requested lease not found");
    }
}

void StoreStandInData::write(const json::object &request, std::int64_t revision)
{
    StoreEvent event;
    event.key = bytesField(request, "key");
    event.value = bytesField(request, "value");
    event.lease = numberField(request, "lease");
    event.modRevision = revision;
    const StoreEvent *previous = find(event.key, revision);
    event.createRevision = previous == nullptr ? revision : previous->createRevision;
    event.version = previous == nullptr ? 1 : previous->version + 1;
    m_versions[event.key].push_back(std::move(event));
}

void StoreStandInData::erase(const std::string &key, std::int64_t revision)
{
    StoreEvent event;
    event.key = key;
    event.modRevision = revision;
    m_versions[key].push_back(std::move(event));
}

const StoreEvent *StoreStandInData::find(const std::string &key, std::int64_t revision) const
{
    const auto versions = m_versions.find(key);
    if (versions == m_versions.end()) {
        return nullptr;
    }
    const StoreEvent *newest = nullptr;
    for (const StoreEvent &event : versions->second) {
        if (event.modRevision <= revision) {
            newest = &event;
        }
    }
    return newest == nullptr || newest->version == 0 ? nullptr : newest;
}

json::object StoreStandInData::grantLease(const json::object &request, TimePoint now)
{
    const std::int64_t duration = numberField(request, "TTL");
    if (duration <= 0 || duration > std::numeric_limits<std::int32_t>::max()) {
        throw StoreRequestError("etcdserver: too large lease TTL");
    }
    std::int64_t id = numberField(request, "ID");
    if (id == 0) {
        id = m_nextLease;
        ++m_nextLease;
    }
    if (m_leases.contains(id)) {
        throw StoreRequestError("etcdserver: lease already exists");
    }
    m_leases[id] = {std::chrono::seconds(duration), now + std::chrono::seconds(duration)};
    return {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(duration)}};
}

json::object StoreStandInData::keepLeaseAlive(const json::object &request, TimePoint now)
{
    const std::int64_t id = numberField(request, "ID");
    json::object result {{"header", header()}, {"ID", std::to_string(id)}};
    const auto lease = m_leases.find(id);
    if (lease != m_leases.end()) {
        lease->second.end = now + lease->second.duration;
        result["TTL"] = std::to_string(lease->second.duration.count());
    }
    return {{"result", std::move(result)}};
}

json::object StoreStandInData::revokeLease(const json::object &request)
{
    const std::int64_t id = numberField(request, "ID");
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
        throw StoreRequestError("etcdserver: requested lease not found");
    }
    lease->second.end = TimePoint::min();
    expireLeases(TimePoint::min());
    return {{"header", header()}};
}

void StoreStandInData::expireLeases(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto &[key, versions] : m_versions) {
        const auto lease = m_leases.find(versions.back().lease);
        if (lease != m_leases.end() && lease->second.end <= now) {
            expired.push_back(key);
        }
    }
    std::erase_if(m_leases, [now](const auto &entry) { return entry.second.end <= now; });
    if (expired.empty()) {
        return;
    }
    ++m_revision;
    for (const std::string &key : expired) {
        erase(key, m_revision);
    }
}

void StoreStandInData::compact()
{
    m_compactedRevision = m_revision;
    for (auto entry = m_versions.begin(); entry != m_versions.end();) {
        std::vector<StoreEvent> &versions = entry->second;
        versions.erase(versions.begin(), versions.end() - 1);
        entry = versions.back().version == 0 ? m_versions.erase(entry) : std::next(entry);
    }
}

std::int64_t StoreStandInData::revision() const
{
    return m_revision;
}

std::int64_t StoreStandInData::compactedRevision() const
{
    return m_compactedRevision;
}

std::vector<StoreEvent>
StoreStandInData::eventsSince(std::string_view key, std::string_view rangeEnd, std::int64_t from) const
{
    std::vector<StoreEvent> events;
    for (const auto &[name, versions] : m_versions) {
        if (!isInRange(name, key, rangeEnd)) {
            continue;
        }
        std::ranges::copy_if(versions, std::back_inserter(events), [from](const StoreEvent &event) {
            return event.modRevision >= from;
        });
    }
    std::ranges::stable_sort(events, {}, &StoreEvent::modRevision);
    return events;
}

} // namespace samphireswitch::standin
