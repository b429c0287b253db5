#include "bench/storereaders.h"

#include <utility>

namespace samphireswitch::control {

namespace {

constexpr std::chrono::milliseconds s_step {100};

} // namespace

StoreReaders::StoreReaders(GossipNetwork &network, std::uint64_t seed)
    : m_network(network)
    , m_random(seed)
{
}

void StoreReaders::add(const std::string &name)
{
    m_readers.emplace(name, Reader {StoreReadDuty(m_network.now, std::mt19937_64(m_random())), {}});
}

void StoreReaders::write(configuration::ConfigurationPatch document)
{
    m_document = std::move(document);
}

void StoreReaders::run(std::chrono::milliseconds duration)
{
    const TimePoint end = m_network.now + duration;
    while (m_network.now < end) {
        m_network.run(s_step);
        for (auto &[name, reader] : m_readers) {
            advance(name, reader);
        }
    }
}

bool StoreReaders::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const TimePoint end = m_network.now + limit;
    while (m_network.now < end) {
        if (condition()) {
            return true;
        }
        run(s_step);
    }
    return condition();
}

const StoreReaders::Counters &StoreReaders::counters() const
{
    return m_counters;
}

void StoreReaders::advance(const std::string &name, Reader &reader)
{
    const GossipEngine &engine = m_network.engine(name);
    const bool hasChanged = m_document.generation > engine.configuration().generation();
    if (reader.watchEnd && m_network.now < *reader.watchEnd && !hasChanged) {
        return;
    }
    if (reader.watchEnd) {
        reader.duty.watchSucceeded();
        reader.watchEnd.reset();
    }
    const std::size_t rank = storeReadRank(engine.self(), engine.members());
    const StoreReadRole role = reader.duty.role(rank, engine.configurationConfirmedAt(), m_network.now);
    if (role == StoreReadRole::None || m_network.now < reader.duty.nextAttempt()) {
        return;
    }
    read(name, reader, role, rank);
}

void StoreReaders::read(const std::string &name, Reader &reader, StoreReadRole role, std::size_t rank)
{
    ++m_counters.calls;
    m_counters.substituteReads += role == StoreReadRole::Substitute ? 1 : 0;
    if (isServed && !isServed(name)) {
        reader.duty.callFailed(rank, m_network.now);
        return;
    }
    reader.duty.readSucceeded(m_network.now);
    const configuration::ConfigurationTable &table = m_network.engine(name).configuration();
    if (table.generation() == m_document.generation && table.contentHash() == m_document.contentHash) {
        m_network.send(name, ConfigurationConfirmed {m_document.generation, m_document.contentHash, m_network.now});
    } else {
        m_network.send(name, ConfigurationReceived {m_document, m_network.now});
    }
    ++m_counters.calls;
    reader.watchEnd = m_network.now + reader.duty.watchDuration(role);
}

} // namespace samphireswitch::control
