#include "store/configurationstore.h"

#include "base/attempt.h"
#include "base/identifiers.h"
#include "configuration/planconflict.h"

#include <algorithm>
#include <thread>

namespace samphireswitch::store {

namespace {

using configuration::ConfigurationDelta;
using configuration::Plan;
using configuration::ReleasedAddress;
using configuration::ServiceRecord;

constexpr const char *s_headKey = "samphireswitch/config/head";
constexpr const char *s_servicePrefix = "samphireswitch/config/service/";
constexpr const char *s_planPrefix = "samphireswitch/plan/";
constexpr const char *s_confirmedPrefix = "samphireswitch/confirmed/";
constexpr const char *s_releasedPrefix = "samphireswitch/released/";

constexpr std::uint32_t s_recordsPerRead = 512;
constexpr int s_maximumReads = 3;
constexpr int s_maximumConfirmAttempts = 5;
// Enough for a repeated confirm within minutes at 37,000 changes a day, while head stays small for its many readers;
// older confirmations are found by their own key.
constexpr std::size_t s_recentPlans = 64;
// The store accepts values up to a megabyte.
constexpr std::size_t s_maximumValueSize = 1'000'000;
// A store that drops each watch at once must not be asked for watches in a tight loop.
constexpr std::chrono::milliseconds s_watchRetryInterval {200};

RangeRequest oneKey(std::string key)
{
    RangeRequest request;
    request.key = std::move(key);
    return request;
}

RangeRequest allKeys(const std::string &prefix)
{
    RangeRequest request;
    request.key = prefix;
    request.rangeEnd = endOfPrefix(prefix);
    return request;
}

} // namespace

ConfigurationStore::ConfigurationStore(const Endpoint &server, std::chrono::milliseconds timeLimit)
    : m_client(server, timeLimit)
    , m_watch(server)
{
}

Result<ConfigurationDelta> ConfigurationStore::changesSince(Generation since)
{
    for (int round = 1; round < s_maximumReads; ++round) {
        auto outcome = attempt([&] { return changesOnce(since); });
        const Error *error = std::get_if<Error>(&outcome);
        if (error == nullptr) {
            return std::get<ConfigurationDelta>(std::move(outcome));
        }
        // The revision was compacted between two reads; head is read again at a newer one.
        if (error->code != ResultCode::StoreCompacted) {
            return boost::leaf::new_error(*error);
        }
    }
    return changesOnce(since);
}

Result<ConfigurationDelta> ConfigurationStore::changesOnce(Generation since)
{
    BOOST_LEAF_AUTO(state, fetchHead());
    ConfigurationDelta delta {since, since, {}};
    if (state.head.generation > since) {
        // Records are written together with head, so that newer ones than a known head have a higher revision.
        const bool isKnown = m_knownRevision != 0 && m_knownGeneration <= since;
        const Revision minimum = isKnown ? m_knownRevision + 1 : 0;
        BOOST_LEAF_ASSIGN(delta.records, readRecords(since, state.storeRevision, minimum));
        delta.to = state.head.generation;
    }
    for (const ServiceRecord &record : delta.records) {
        if (record.generation > delta.to) {
            return boost::leaf::new_error(
                Error {ResultCode::StoreAnswerMalformed, "service record '" + record.name + "' is newer than head"});
        }
    }
    m_knownGeneration = state.head.generation;
    m_knownRevision = state.modRevision;
    return delta;
}

Result<void> ConfigurationStore::waitForChange(std::chrono::milliseconds limit)
{
    const TimePoint deadline = Clock::now() + limit;
    auto opened = attempt([&] { return openWatch(); });
    if (const Error *error = std::get_if<Error>(&opened)) {
        std::this_thread::sleep_until(deadline);
        return boost::leaf::new_error(*error);
    }
    const auto waited = attempt([&] { return m_watch.wait(deadline); });
    if (std::holds_alternative<Error>(waited)) {
        // Head is read again before the next watch, which then starts at the revision of that read.
        m_watchFrom = 0;
        std::this_thread::sleep_until(std::min(deadline, Clock::now() + s_watchRetryInterval));
    }
    return {};
}

Result<void> ConfigurationStore::openWatch()
{
    if (m_watch.isOpen()) {
        return {};
    }
    if (m_watchFrom == 0) {
        auto state = fetchHead();
        if (!state) {
            return state.error();
        }
    }
    return m_watch.open(s_headKey, m_watchFrom, m_client.timeLimit());
}

Result<void> ConfigurationStore::savePlan(const Plan &plan)
{
    const std::string value = writePlan(plan);
    if (value.size() > s_maximumValueSize) {
        return boost::leaf::new_error(Error {ResultCode::PlanRefused, "the plan is too large; split the file"});
    }
    const std::string key = s_planPrefix + plan.id;
    BOOST_LEAF_AUTO(answer, m_client.transaction({{key, 0}}, {{key, value, 0}}));
    if (answer.succeeded) {
        return {};
    }
    BOOST_LEAF_AUTO(stored, loadPlan(plan.id));
    if (stored != plan) {
        return boost::leaf::new_error(
            Error {ResultCode::StoreConflict, "another plan with the identity " + plan.id + " is stored"});
    }
    return {};
}

Result<Plan> ConfigurationStore::loadPlan(const std::string &id)
{
    BOOST_LEAF_AUTO(answer, m_client.range(oneKey(s_planPrefix + id)));
    if (answer.values.empty()) {
        return boost::leaf::new_error(Error {ResultCode::PlanNotFound, "no plan '" + id + "' is stored"});
    }
    return readPlan(answer.values.front().value);
}

Result<std::vector<ReleasedAddress>> ConfigurationStore::releasedAddresses()
{
    BOOST_LEAF_AUTO(answer, m_client.range(allKeys(s_releasedPrefix)));
    std::vector<ReleasedAddress> addresses;
    for (const KeyValue &value : answer.values) {
        BOOST_LEAF_AUTO(released, readReleasedAddress(value.value));
        addresses.push_back(std::move(released));
    }
    return addresses;
}

Result<Generation> ConfigurationStore::confirm(const Plan &plan)
{
    if (!plan.refusals.empty()) {
        return boost::leaf::new_error(Error {ResultCode::PlanRefused, plan.refusals.front()});
    }
    Error last {ResultCode::StoreConflict, "other plans were confirmed at the same time; repeat the command"};
    for (int round = 0; round < s_maximumConfirmAttempts; ++round) {
        auto outcome = attempt([&] { return confirmOnce(plan); });
        if (const Generation *generation = std::get_if<Generation>(&outcome)) {
            if (*generation != 0) {
                return *generation;
            }
            continue;
        }
        const Error &error = std::get<Error>(outcome);
        if (error.code != ResultCode::StoreUnavailable) {
            return boost::leaf::new_error(error);
        }
        // The answer may have been lost after the write took effect; the next round finds the plan in head then. A
        // repeated write is harmless, because both compare with the same revision of head.
        last = error;
    }
    last.message += "; it is not known whether the plan took effect: repeat the command";
    return boost::leaf::new_error(last);
}

Result<Generation> ConfigurationStore::confirmOnce(const Plan &plan)
{
    BOOST_LEAF_AUTO(state, fetchHead());
    BOOST_LEAF_AUTO(inForce, confirmedGeneration(plan, state));
    if (inForce != 0) {
        return inForce;
    }
    auto conflicts = checkConflicts(plan, state);
    if (!conflicts) {
        return conflicts.error();
    }
    // Reservations are read after head: one that is made later changes head, and the comparison fails.
    auto reservations = checkReservations(plan);
    if (!reservations) {
        return reservations.error();
    }
    BOOST_LEAF_AUTO(puts, putsOf(plan, state.head));
    BOOST_LEAF_AUTO(answer, m_client.transaction({{s_headKey, state.modRevision}}, puts));
    return answer.succeeded ? state.head.generation + 1 : 0;
}

Result<Generation> ConfigurationStore::confirmedGeneration(const Plan &plan, const HeadState &state)
{
    const auto found = std::ranges::find(state.head.recent, plan.id, &ConfirmedPlan::id);
    if (found != state.head.recent.end()) {
        return found->generation;
    }
    // Every confirmation since the base of the plan is still listed, so that no read is needed.
    if (state.head.generation - std::min(state.head.generation, plan.base) < s_recentPlans) {
        return 0;
    }
    BOOST_LEAF_AUTO(answer, m_client.range(oneKey(s_confirmedPrefix + plan.id)));
    if (answer.values.empty()) {
        return 0;
    }
    BOOST_LEAF_AUTO(confirmed, readConfirmedPlan(answer.values.front().value));
    return confirmed.generation;
}

Result<void> ConfigurationStore::checkConflicts(const Plan &plan, const HeadState &state)
{
    if (state.head.generation < plan.base) {
        return boost::leaf::new_error(Error {ResultCode::PlanOutdated,
                                             "the plan was made on generation " + std::to_string(plan.base)
                                                 + ", but the store has generation "
                                                 + std::to_string(state.head.generation) + "; make a new plan"});
    }
    if (state.head.generation == plan.base) {
        return {};
    }
    BOOST_LEAF_AUTO(changed, readRecords(plan.base, state.storeRevision, 0));
    const auto conflict = configuration::findConflict(plan, changed);
    if (conflict) {
        return boost::leaf::new_error(Error {ResultCode::PlanOutdated, *conflict});
    }
    return {};
}

Result<void> ConfigurationStore::checkReservations(const Plan &plan)
{
    BOOST_LEAF_AUTO(addresses, releasedAddresses());
    const auto reserved = configuration::findReservation(plan.records, addresses);
    if (reserved) {
        return boost::leaf::new_error(Error {ResultCode::PlanRefused, *reserved});
    }
    return {};
}

Result<std::vector<PutRequest>> ConfigurationStore::putsOf(const Plan &plan, const Head &head)
{
    Head next = head;
    next.generation = head.generation + 1;
    next.recent.push_back({plan.id, next.generation});
    if (next.recent.size() > s_recentPlans) {
        next.recent.erase(next.recent.begin());
    }
    std::vector<PutRequest> puts {
        {s_headKey, writeHead(next), 0},
        {s_confirmedPrefix + plan.id, writeConfirmedPlan({plan.id, next.generation}), 0},
    };
    for (ServiceRecord record : plan.records) {
        record.generation = next.generation;
        record.plan = plan.id;
        puts.push_back({s_servicePrefix + record.name, writeRecord(record), 0});
    }
    if (plan.releases.empty()) {
        return puts;
    }
    // The lease begins before the transaction, which may take as long as the time limit.
    const auto callTime = std::chrono::ceil<std::chrono::seconds>(m_client.timeLimit());
    BOOST_LEAF_AUTO(lease, m_client.grantLease(configuration::s_addressReservation + callTime));
    for (const ReleasedAddress &released : plan.releases) {
        puts.push_back({s_releasedPrefix + addressToString(released.address), writeReleasedAddress(released), lease});
    }
    return puts;
}

Result<ConfigurationStore::HeadState> ConfigurationStore::fetchHead()
{
    BOOST_LEAF_AUTO(answer, m_client.range(oneKey(s_headKey)));
    HeadState state;
    state.storeRevision = answer.revision;
    if (!answer.values.empty()) {
        const KeyValue &value = answer.values.front();
        BOOST_LEAF_ASSIGN(state.head, readHead(value.value));
        state.modRevision = value.modRevision;
    }
    if (!m_watch.isOpen()) {
        m_watchFrom = answer.revision + 1;
    }
    return state;
}

Result<std::vector<ServiceRecord>> ConfigurationStore::readRecords(Generation since, Revision at, Revision minimum)
{
    std::vector<ServiceRecord> records;
    RangeRequest request = allKeys(s_servicePrefix);
    request.revision = at;
    request.minModRevision = minimum;
    request.limit = s_recordsPerRead;
    bool more = true;
    while (more) {
        BOOST_LEAF_AUTO(answer, m_client.range(request));
        for (const KeyValue &value : answer.values) {
            BOOST_LEAF_AUTO(record, readRecord(value.value));
            if (value.key != s_servicePrefix + record.name) {
                return boost::leaf::new_error(Error {ResultCode::StoreAnswerMalformed,
                                                     "the key " + value.key + " holds the record of another service"});
            }
            if (record.generation <= since) {
                continue;
            }
            records.push_back(std::move(record));
        }
        more = answer.more && !answer.values.empty();
        if (more) {
            request.key = answer.values.back().key + '\0';
        }
    }
    return records;
}

} // namespace samphireswitch::store
