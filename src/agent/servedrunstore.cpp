#include "agent/servedrunstore.h"

#include "base/attempt.h"
#include "store/storejson.h"
#include "telemetry/logging.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace samphireswitch::agent {

namespace {

namespace json = store::json;
using passthrough::ServedRuns;
using passthrough::UpstreamRun;

// The key of an agent's list is this prefix followed by the id of the agent.
const std::string s_keyPrefix = "samphireswitch/runs/";
constexpr std::chrono::milliseconds s_retryDelay {300};
constexpr std::uint64_t s_version = 1;
// The era of the store when a process of the system first read it.
const std::string s_firstEraKey = "samphireswitch/first-era";
constexpr std::uint64_t s_maximumNumber = std::numeric_limits<std::int64_t>::max();

} // namespace

std::string encodeServedRuns(const StoredServedRuns &stored)
{
    boost::json::array runs;
    for (const UpstreamRun &run : stored.served.runs) {
        runs.push_back(boost::json::object {{"id", run.id}, {"started", run.startedSinceEpoch.count()}});
    }
    return boost::json::serialize(boost::json::object {{"version", s_version},
                                                       {"era", stored.era},
                                                       {"complete", stored.served.isComplete},
                                                       {"runs", std::move(runs)}});
}

Result<StoredServedRuns> decodeServedRuns(std::string_view value)
{
    BOOST_LEAF_AUTO(parsed, json::parse(value));
    BOOST_LEAF_AUTO(object, json::readObject(parsed, "the list of served runs"));
    BOOST_LEAF_AUTO(version, json::readNumber(object, "version", s_maximumNumber));
    if (version != s_version) {
        return boost::leaf::new_error(json::malformed("the list of served runs has an unknown version"));
    }
    StoredServedRuns stored;
    BOOST_LEAF_ASSIGN(stored.era, json::readNumber(object, "era", s_maximumNumber));
    BOOST_LEAF_ASSIGN(stored.served.isComplete, json::readBool(object, "complete"));
    BOOST_LEAF_AUTO(runs, json::readObjects(object, "runs"));
    for (const boost::json::object &item : runs) {
        UpstreamRun run;
        BOOST_LEAF_ASSIGN(run.id, json::readString(item, "id"));
        BOOST_LEAF_AUTO(started, json::readNumber(item, "started", s_maximumNumber));
        run.startedSinceEpoch = std::chrono::milliseconds(started);
        stored.served.add(run);
    }
    return stored;
}

ServedRunStore::ServedRunStore(AgentId agent, platform::StoreClient &client, PassthroughDataPath &dataPath)
    : m_key(s_keyPrefix + std::to_string(agent.value))
    , m_client(client)
    , m_dataPath(dataPath)
{
}

bool ServedRunStore::isDue(TimePoint now) const
{
    return now >= m_pausedUntil && (!m_wasRead || isOutdated());
}

std::chrono::milliseconds ServedRunStore::timeUntilRetry(TimePoint now, std::chrono::milliseconds longest) const
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_pausedUntil - now);
    return left.count() > 0 ? std::min(left, longest) : longest;
}

Result<void> ServedRunStore::exchange()
{
    // A failure takes effect here; the caller logs it.
    m_pausedUntil = Clock::now() + s_retryDelay;
    BOOST_LEAF_CHECK(m_wasRead ? write() : read());
    m_pausedUntil = {};
    return {};
}

bool ServedRunStore::isOutdated() const
{
    const auto wanted = m_dataPath.runsToRecord();
    if (wanted->runs.empty()) {
        return false;
    }
    return !m_written || m_written->served != *wanted || m_written->era != m_client.era();
}

Result<void> ServedRunStore::read()
{
    BOOST_LEAF_AUTO(answer, m_client.read(m_key));
    m_revision = answer.values.empty() ? 0 : answer.values.front().modRevision;
    BOOST_LEAF_AUTO(earlier, earlierRuns(answer));
    m_wasRead = true;
    telemetry::logEvent(telemetry::Severity::Info,
                        "served-runs-read",
                        {{"runs", earlier.runs.size()},
                         {"is_complete", earlier.isComplete},
                         {"is_listed", !answer.values.empty()},
                         {"store_era", m_client.era()}});
    m_dataPath.earlierRunsRead(earlier);
    return {};
}

Result<ServedRuns> ServedRunStore::earlierRuns(const platform::ReadAnswer &answer)
{
    if (answer.values.empty()) {
        BOOST_LEAF_AUTO(wasNeverRestored, isFirstEra());
        return ServedRuns {{}, wasNeverRestored};
    }
    const auto outcome = attempt([&] { return decodeServedRuns(answer.values.front().value); });
    if (const Error *error = std::get_if<Error>(&outcome)) {
        // Any writer can store a value under the key. The list that this process writes replaces it.
        telemetry::logEvent(telemetry::Severity::Warning, "served-runs-unreadable", {{"reason", error->message}});
        return ServedRuns {};
    }
    const auto &stored = std::get<StoredServedRuns>(outcome);
    ServedRuns earlier = stored.served;
    earlier.isComplete = earlier.isComplete && stored.era == m_client.era();
    return earlier;
}

Result<bool> ServedRunStore::isFirstEra()
{
    if (m_client.era() == 0) {
        return true;
    }
    const std::string era = std::to_string(m_client.era());
    BOOST_LEAF_AUTO(answer, m_client.read(s_firstEraKey));
    if (!answer.values.empty()) {
        return answer.values.front().value == era;
    }
    BOOST_LEAF_AUTO(written, m_client.transaction({{s_firstEraKey, 0}}, {{s_firstEraKey, era, 0}}));
    if (!written.succeeded) {
        return boost::leaf::new_error(
            Error {ResultCode::StoreUnavailable, "another process has written the first era of the store"});
    }
    return true;
}

Result<void> ServedRunStore::write()
{
    const StoredServedRuns wanted {m_client.era(), *m_dataPath.runsToRecord()};
    BOOST_LEAF_AUTO(answer, m_client.transaction({{m_key, m_revision}}, {{m_key, encodeServedRuns(wanted), 0}}));
    if (!answer.succeeded) {
        // A write without an answer took effect, of this process or of the one before. Neither listed a run that this
        // process has to keep.
        BOOST_LEAF_AUTO(current, m_client.read(m_key));
        m_revision = current.values.empty() ? 0 : current.values.front().modRevision;
        return {};
    }
    m_revision = answer.revision;
    m_written = wanted;
    telemetry::logEvent(telemetry::Severity::Info,
                        "served-runs-written",
                        {{"runs", wanted.served.runs.size()}, {"is_complete", wanted.served.isComplete}});
    m_dataPath.runsRecorded(wanted.served);
    return {};
}

} // namespace samphireswitch::agent
