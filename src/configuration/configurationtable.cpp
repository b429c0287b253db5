#include "configuration/configurationtable.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <set>
#include <string_view>

namespace samphireswitch::configuration {

namespace {

// Size of a record in a message, for the choice of the number of buckets.
constexpr double s_typicalRecordBytes = 96;

Error generationError(ResultCode code, const char *problem, const ConfigurationDelta &delta, Generation inForce)
{
    return {code,
            "a configuration from generation " + std::to_string(delta.from) + " to " + std::to_string(delta.to) + ' '
                + problem + " generation " + std::to_string(inForce)};
}

/**
 * The number of buckets for which a request and its answer are smallest together if one service changed: the request
 * has a hash for each bucket, the answer all records of one bucket.
 */
std::size_t suitableBucketCount(std::size_t services)
{
    const double best = std::sqrt(static_cast<double>(services) * s_typicalRecordBytes / sizeof(std::uint64_t));
    return std::min(std::bit_ceil(static_cast<std::size_t>(best) + 1), s_contentBucketCount);
}

} // namespace

Result<void> ConfigurationTable::apply(const ConfigurationDelta &delta)
{
    if (delta.to <= m_generation) {
        return boost::leaf::new_error(
            generationError(ResultCode::GenerationOutdated, "is not newer than", delta, m_generation));
    }
    if (delta.from > m_generation) {
        return boost::leaf::new_error(generationError(ResultCode::GenerationGap, "starts after", delta, m_generation));
    }
    if (delta.from == 0) {
        markMissingAsRemoved(delta);
    }
    for (const ServiceRecord &record : delta.records) {
        const auto current = m_services.find(record.name);
        if (current != m_services.end() && record.generation <= current->second.generation) {
            continue;
        }
        store(record);
    }
    m_generation = delta.to;
    return {};
}

Result<void> ConfigurationTable::apply(const ConfigurationPatch &patch)
{
    if (patch.generation < m_generation) {
        return boost::leaf::new_error(Error {ResultCode::GenerationOutdated,
                                             "a configuration of generation " + std::to_string(patch.generation)
                                                 + " is older than generation " + std::to_string(m_generation)});
    }
    if (!patch.isWhole() && contentHashAfter(patch) != patch.contentHash) {
        return boost::leaf::new_error(Error {ResultCode::ContentMismatch,
                                             "the changes to generation " + std::to_string(patch.generation)
                                                 + " start from a content other than that of generation "
                                                 + std::to_string(m_generation)});
    }
    std::set<std::string_view> listed;
    for (const ServiceRecord &record : patch.records) {
        listed.insert(record.name);
        const auto current = m_services.find(record.name);
        if (current == m_services.end() || contentHashOf(current->second) != contentHashOf(record)) {
            store(record);
        }
    }
    for (const auto &[name, record] : m_services) {
        if (!record.removed && patch.replaces(name) && !listed.contains(name)) {
            remove(record, patch.generation);
        }
    }
    m_generation = patch.generation;
    return {};
}

Generation ConfigurationTable::generation() const
{
    return m_generation;
}

std::uint64_t ConfigurationTable::contentHash() const
{
    return m_hashes.total();
}

ContentHashes ConfigurationTable::contentHashes() const
{
    return contentHashes(suitableBucketCount(m_services.size()));
}

ContentHashes ConfigurationTable::contentHashes(std::size_t count) const
{
    return m_hashes.fold(count);
}

ConfigurationPatch ConfigurationTable::patchFor(const ContentHashes &hashes, std::optional<ServiceId> service) const
{
    if (service) {
        ConfigurationTable followed;
        followed.m_generation = m_generation;
        const ServiceRecord *record = find(*service);
        if (record != nullptr) {
            followed.store(*record);
        }
        for (const auto &[name, evacuation] : m_services) {
            if (evacuation.isEvacuation()) {
                followed.store(evacuation);
            }
        }
        return followed.patchFor(hashes);
    }
    ConfigurationPatch patch {m_generation, hashes.size(), {}, {}, m_hashes.total()};
    const ContentHashes own = m_hashes.fold(hashes.size());
    for (std::size_t bucket = 0; bucket < own.size(); ++bucket) {
        if (own[bucket] != hashes[bucket]) {
            patch.buckets.push_back(bucket);
        }
    }
    for (const auto &[name, record] : m_services) {
        if (!record.removed && patch.replaces(name)) {
            patch.records.push_back(record);
        }
    }
    return patch;
}

ConfigurationDelta ConfigurationTable::wholeDelta(std::optional<ServiceId> service) const
{
    ConfigurationDelta delta {0, m_generation, {}};
    for (const auto &[name, record] : m_services) {
        const bool isFollowed = !service || record.isEvacuation() || ServiceId::fromName(name) == *service;
        if (record.removed || !isFollowed) {
            continue;
        }
        delta.records.push_back(record);
        delta.records.back().generation = m_generation;
    }
    return delta;
}

void ConfigurationTable::store(const ServiceRecord &record)
{
    ServiceRecord &current = m_services[record.name];
    m_hashes.toggle(record.name, contentHashOf(current));
    current = record;
    m_hashes.toggle(record.name, contentHashOf(current));
}

void ConfigurationTable::remove(const ServiceRecord &current, Generation generation)
{
    ServiceRecord tombstone;
    tombstone.name = current.name;
    tombstone.generation = generation;
    tombstone.removed = true;
    store(tombstone);
}

void ConfigurationTable::markMissingAsRemoved(const ConfigurationDelta &whole)
{
    for (const auto &[name, record] : m_services) {
        const bool isListed = std::ranges::find(whole.records, name, &ServiceRecord::name) != whole.records.end();
        if (!isListed && !record.removed) {
            remove(record, whole.to);
        }
    }
}

std::uint64_t ConfigurationTable::contentHashAfter(const ConfigurationPatch &patch) const
{
    ContentHashTable hashes = m_hashes;
    for (const std::size_t bucket : patch.buckets) {
        hashes.clear(bucket, patch.bucketCount);
    }
    for (const ServiceRecord &record : patch.records) {
        hashes.toggle(record.name, contentHashOf(record));
    }
    return hashes.total();
}

const ServiceRecord *ConfigurationTable::find(ServiceId service) const
{
    for (const auto &[name, record] : m_services) {
        if (ServiceId::fromName(name) == service) {
            return &record;
        }
    }
    return nullptr;
}

const std::map<std::string, ServiceRecord> &ConfigurationTable::services() const
{
    return m_services;
}

} // namespace samphireswitch::configuration
