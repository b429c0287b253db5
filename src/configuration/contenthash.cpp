#include "configuration/contenthash.h"

#include "base/hash.h"
#include "base/identifiers.h"

#include <bit>

namespace samphireswitch::configuration {

namespace {

/** Numbers of the fields in the hash of a record. Processes of all versions have to use the same ones. */
enum class Field : std::uint64_t {
    Name = 1,
    Address,
    RequestPort,
    FeedPort,
    Idempotent,
    Deadline,
    Slots,
    Connections,
    HostName,
    HostFailureDomain,
    HostState,
    Plan,
    Pool,
    PoolWeight,
    HealthPath,
    LatencyTarget,
    Priority,
    EvacuatedDomain,
    ColdRequestsPerSecond,
    SlowStart,
};

/** Hashes the fields of one record in the order in which they are added. */
class FieldHash
{
public:
    void add(Field field, std::uint64_t value)
    {
        if (value != 0) {
            m_hash = mixHash(mixHash(m_hash, static_cast<std::uint64_t>(field)), value);
        }
    }

    void add(Field field, const std::string &text)
    {
        if (!text.empty()) {
            add(field, hashText(text));
        }
    }

    void add(Field field, std::chrono::milliseconds time)
    {
        add(field, static_cast<std::uint64_t>(time.count()));
    }

    std::uint64_t value() const
    {
        return m_hash;
    }

private:
    std::uint64_t m_hash = 0;
};

void addHosts(const ServiceRecord &record, FieldHash &hash)
{
    for (const HostRecord &host : record.hosts) {
        hash.add(Field::HostName, host.name);
        hash.add(Field::HostFailureDomain, host.failureDomain);
        hash.add(Field::HostState, static_cast<std::uint64_t>(host.state));
    }
}

void addPools(const ServiceRecord &record, FieldHash &hash)
{
    for (const PoolShare &share : record.pools) {
        hash.add(Field::Pool, share.pool);
        hash.add(Field::PoolWeight, share.weight);
    }
}

} // namespace

bool isValidBucketCount(std::size_t count)
{
    return std::has_single_bit(count) && count <= s_contentBucketCount;
}

std::size_t contentBucketOf(std::string_view name, std::size_t count)
{
    return ServiceId::fromName(name).value % count;
}

std::uint64_t contentHashOf(const ServiceRecord &record)
{
    if (record.removed) {
        return 0;
    }
    FieldHash hash;
    hash.add(Field::Name, record.name);
    hash.add(Field::Address, record.address);
    hash.add(Field::RequestPort, record.requestPort);
    hash.add(Field::FeedPort, record.feedPort);
    hash.add(Field::Idempotent, record.idempotent ? 1 : 0);
    hash.add(Field::Deadline, record.deadline);
    hash.add(Field::Slots, record.slots);
    hash.add(Field::Connections, record.connections);
    addHosts(record, hash);
    hash.add(Field::Plan, record.plan);
    addPools(record, hash);
    hash.add(Field::HealthPath, record.healthPath);
    hash.add(Field::LatencyTarget, record.latencyTarget);
    hash.add(Field::Priority, record.priority);
    hash.add(Field::EvacuatedDomain, record.evacuatedDomain);
    hash.add(Field::ColdRequestsPerSecond, std::bit_cast<std::uint64_t>(record.coldRequestsPerSecond));
    hash.add(Field::SlowStart, record.slowStart);
    return hash.value();
}

void ContentHashTable::toggle(std::string_view name, std::uint64_t recordHash)
{
    m_buckets[contentBucketOf(name, m_buckets.size())] ^= recordHash;
}

void ContentHashTable::clear(std::size_t bucket, std::size_t count)
{
    for (std::size_t index = bucket; index < m_buckets.size(); index += count) {
        m_buckets[index] = 0;
    }
}

ContentHashes ContentHashTable::fold(std::size_t count) const
{
    ContentHashes hashes(count);
    for (std::size_t index = 0; index < m_buckets.size(); ++index) {
        hashes[index % count] ^= m_buckets[index];
    }
    return hashes;
}

std::uint64_t ContentHashTable::total() const
{
    std::uint64_t hash = 1;
    for (const std::uint64_t bucket : m_buckets) {
        hash = mixHash(hash, bucket);
    }
    return hash == 0 ? 1 : hash;
}

} // namespace samphireswitch::configuration
