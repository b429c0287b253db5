#include "control/balancerdirectory.h"

#include "base/attempt.h"
#include "base/hash.h"
#include "control/directoryentry.h"
#include "telemetry/logging.h"

#include <algorithm>
#include <span>
#include <string>
#include <thread>
#include <utility>

namespace samphireswitch::control {

namespace {

constexpr std::chrono::milliseconds s_callTimeout {1000};
constexpr std::chrono::milliseconds s_pollInterval {100};
// The key of an entry is this prefix followed by the id of the balancer.
const std::string s_keyPrefix = "samphireswitch/balancers/";

/**
 * Hash of the members in @p entry with their incarnations, services and states. Versions are left out because they also
 * change without a change of the state, and the entry would be written more often than necessary.
 */
std::uint64_t contentHash(const protocol::MemberUpdate &entry)
{
    std::uint64_t hash = 0;
    for (const protocol::MemberRecord &record : entry.records) {
        hash = mixHash(mixHash(hash, record.id), record.service.value);
        hash = mixHash(mixHash(hash, record.incarnation), static_cast<std::uint64_t>(record.state));
        hash = mixHash(hash, static_cast<std::uint64_t>(record.upstreamLeftAt.count()));
    }
    return hash;
}

/** Decodes an entry. Fails if the value is not a member update, since any writer can store a value under the prefix. */
Result<protocol::MemberUpdate> readEntry(protocol::DatagramCodec &codec, const std::string &value)
{
    BOOST_LEAF_AUTO(datagram, codec.decode(std::as_bytes(std::span(value))));
    auto *update = std::get_if<protocol::MemberUpdate>(&datagram.message);
    if (update == nullptr) {
        return boost::leaf::new_error(
            Error {ResultCode::MessageMalformed, "the directory entry is not a member update"});
    }
    return std::move(*update);
}

void logUnreadableEntry(const std::string &key, const std::string &reason)
{
    telemetry::logEvent(telemetry::Severity::Warning, "directory-entry-unreadable", {{"key", key}, {"reason", reason}});
}

} // namespace

BalancerDirectory::BalancerDirectory(const Endpoint &store, ControlNode &node, bool hasEntry)
    : m_node(node)
    , m_client(store, s_callTimeout)
    , m_schedule(DirectorySettings {}, hasEntry)
    , m_hasEntry(hasEntry)
{
}

void BalancerDirectory::run()
{
    while (!m_stopRequested) {
        updateEntry();
        m_schedule.setAwaitsListing(m_awaitsListing && !m_isListed);
        const auto call = m_schedule.due(Clock::now(), m_node.lastHeard(), m_content);
        if (call) {
            perform(*call);
        } else {
            std::this_thread::sleep_for(s_pollInterval);
        }
    }
}

void BalancerDirectory::requestStop()
{
    m_stopRequested = true;
}

std::uint64_t BalancerDirectory::calls() const
{
    return m_calls;
}

std::uint64_t BalancerDirectory::failures() const
{
    return m_failures;
}

void BalancerDirectory::perform(const DirectoryCall &call)
{
    ++m_calls;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(std::visit([this](const auto &kind) { return execute(kind); }, call));
            if (m_isStoreUnavailable) {
                m_isStoreUnavailable = false;
                telemetry::logEvent(telemetry::Severity::Info, "directory-back", {});
            }
            return {};
        },
        [this](const Error &error) { recordFailure(error); },
        [this]() {
            recordFailure({ResultCode::StoreUnavailable, "the failure carries no error object"});
        });
}

Result<void> BalancerDirectory::execute(const GrantLease &)
{
    const TimePoint sent = Clock::now();
    BOOST_LEAF_AUTO(lease, m_client.grantLease(DirectorySettings {}.leaseDuration));
    m_schedule.leaseGranted(lease.id, lease.duration, sent);
    return {};
}

Result<void> BalancerDirectory::execute(const WriteEntry &call)
{
    const protocol::MemberUpdate &entry = m_entry;
    BOOST_LEAF_AUTO(bytes, m_codec.encode(entry));
    const std::string value(reinterpret_cast<const char *>(bytes.data()), bytes.size());
    auto written =
        m_client.transaction({}, {{s_keyPrefix + std::to_string(entry.records.front().id), value, call.lease}});
    if (!written) {
        // The write may have failed because the lease expired. Requesting a new lease costs only one call.
        m_schedule.leaseEnded();
        return written.error();
    }
    m_schedule.entryWritten(m_content.hash, Clock::now());
    m_writtenAgents = agentsOf(entry.records);
    m_writtenDepartures = departuresIn(entry.records);
    m_content.isUrgent = false;
    return {};
}

Result<void> BalancerDirectory::execute(const RenewLease &call)
{
    const TimePoint sent = Clock::now();
    BOOST_LEAF_AUTO(renewal, m_client.renewLease(call.lease));
    if (renewal == platform::Renewal::Ended) {
        telemetry::logEvent(telemetry::Severity::Warning, "lease-ended", {{"lease", call.lease}});
        m_schedule.leaseEnded();
        return {};
    }
    m_schedule.leaseRenewed(sent);
    return {};
}

Result<void> BalancerDirectory::execute(const ReadEntries &)
{
    BOOST_LEAF_AUTO(answer, m_client.readPrefix(s_keyPrefix, platform::Freshness::Newest));
    for (const platform::UnreadableItem &item : answer.unreadable) {
        logUnreadableEntry(item.key, item.reason);
    }
    MembersReceived members;
    for (const store::KeyValue &entry : answer.values) {
        const auto outcome = attempt([&] { return readEntry(m_codec, entry.value); });
        if (const Error *error = std::get_if<Error>(&outcome)) {
            logUnreadableEntry(entry.key, error->message);
            continue;
        }
        const auto &records = std::get<protocol::MemberUpdate>(outcome).records;
        members.records.insert(members.records.end(), records.begin(), records.end());
    }
    telemetry::logEvent(
        telemetry::Severity::Info,
        "directory-read",
        {{"entries", answer.values.size()}, {"records", members.records.size()}, {"store_revision", answer.revision}});
    recordSelf(members.records);
    recordAgentsAtStart(members.records);
    m_departed.add(members.records, Clock::now());
    // The membership does without agents that are gone.
    std::erase_if(members.records, [](const protocol::MemberRecord &record) { return isGone(record); });
    m_schedule.entriesRead(Clock::now());
    m_node.post(EventSource::Directory, std::move(members));
    return {};
}

void BalancerDirectory::updateEntry()
{
    const auto snapshot = m_node.snapshot();
    if (!m_hasEntry || snapshot == m_entrySnapshot) {
        return;
    }
    m_entrySnapshot = snapshot;
    m_departed.add(snapshot->members->records(), Clock::now());
    m_entry = directoryEntry(snapshot->self, *snapshot->members, m_departed.records(Clock::now()));
    m_content.hash = contentHash(m_entry);
    m_content.isUrgent = !std::ranges::includes(m_writtenAgents, agentsOf(m_entry.records))
        || !std::ranges::includes(m_writtenDepartures, departuresIn(m_entry.records));
}

void BalancerDirectory::recordAgentsAtStart(const std::vector<protocol::MemberRecord> &records)
{
    if (std::exchange(m_wasRead, true) || records.empty()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_agentsAtStart = agentsOf(records);
}

void BalancerDirectory::recordSelf(const std::vector<protocol::MemberRecord> &records)
{
    const protocol::MemberRecord self = m_node.snapshot()->self;
    m_isListed = control::isListed(records, self.id, self.incarnation);
    if (m_wasRead) {
        return;
    }
    const protocol::MemberRecord *earlier = earlierRun(records, self.id, self.incarnation);
    m_upstreamLeftAt = earlier != nullptr ? earlier->upstreamLeftAt : std::chrono::milliseconds(0);
}

std::optional<std::chrono::milliseconds> BalancerDirectory::upstreamLeftAt() const
{
    const std::chrono::milliseconds leftAt = m_upstreamLeftAt;
    return leftAt.count() != 0 ? std::optional(leftAt) : std::nullopt;
}

bool BalancerDirectory::isListed() const
{
    return m_isListed;
}

void BalancerDirectory::setAwaitsListing(bool awaitsListing)
{
    m_awaitsListing = awaitsListing;
}

std::optional<std::set<std::uint64_t>> BalancerDirectory::agentsAtStart() const
{
    const std::lock_guard lock(m_mutex);
    return m_agentsAtStart;
}

void BalancerDirectory::recordFailure(const Error &error)
{
    ++m_failures;
    m_schedule.callFailed(Clock::now());
    if (m_isStoreUnavailable) {
        return;
    }
    m_isStoreUnavailable = true;
    telemetry::logEvent(telemetry::Severity::Warning, "directory-lost", {{"reason", error.message}});
}

} // namespace samphireswitch::control
