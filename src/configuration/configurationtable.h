#pragma once

#include "base/resultcode.h"
#include "configuration/configurationpatch.h"
#include "configuration/contenthash.h"
#include "configuration/servicerecord.h"

#include <map>
#include <optional>
#include <string>

namespace samphireswitch::configuration {

/**
 * The configuration in force in one process: the latest known record of every service. The generation of the table
 * never decreases. Two tables with the same generation should have the same content; contentHash() shows whether they
 * have, and a patch repairs the one that is wrong.
 */
class ConfigurationTable
{
public:
    /**
     * Applies the records of @p delta and moves the table to generation @c delta.to. A record whose generation is not
     * above that of the stored record of the same service is skipped. A delta with @c from equal to 0 holds the whole
     * configuration: services that it does not list become tombstones.
     *
     * The result is right only if the generation of each record is that of its last change, as in
     * store::ConfigurationStore. Processes exchange patches instead.
     *
     * Fails without any change with ResultCode::GenerationOutdated if @c delta.to is not above the generation in force,
     * and with ResultCode::GenerationGap if @c delta.from is above the generation in force, because the changes in
     * between would be lost.
     */
    Result<void> apply(const ConfigurationDelta &delta);

    /**
     * Replaces the buckets of @p patch and moves the table to its generation, which may be the one in force. A record
     * whose content is unchanged keeps its generation.
     *
     * Fails without any change with ResultCode::GenerationOutdated if the patch is older than the generation in force,
     * and with ResultCode::ContentMismatch if the result would not have the content hash of the patch, because the
     * table changed after the patch was requested. A patch with the whole configuration is applied in any case.
     */
    Result<void> apply(const ConfigurationPatch &patch);

    /** Returns the generation in force; 0 before the first configuration is applied. */
    Generation generation() const;

    /** Hash of the content of all services, which does not depend on the generations of the records. Never 0. */
    std::uint64_t contentHash() const;

    /** Hashes of the content for a request to a peer, in a number of buckets that suits the number of services. */
    ContentHashes contentHashes() const;

    /** Hashes of the content in @p count buckets, which must be a valid number of buckets. */
    ContentHashes contentHashes(std::size_t count) const;

    /**
     * Returns the patch for a process whose content has @p hashes, and whose generation is the same or older. The patch
     * has no buckets if the content is equal. The number of hashes must be a valid number of buckets. If @p service has
     * a value, the patch is that for a process which follows only this service and the evacuations.
     */
    ConfigurationPatch patchFor(const ContentHashes &hashes, std::optional<ServiceId> service = std::nullopt) const;

    /**
     * Returns the whole configuration for a process of an earlier version, which does not send content hashes. All
     * records have the generation in force, so that they replace records of any other history. If @p service has a
     * value, only the record of this service and the evacuations are returned.
     */
    ConfigurationDelta wholeDelta(std::optional<ServiceId> service = std::nullopt) const;

    /** Returns the record of @p service, which may be a tombstone, or nullptr if the service is unknown. */
    const ServiceRecord *find(ServiceId service) const;

    /** Returns all records, including tombstones, keyed by service name. */
    const std::map<std::string, ServiceRecord> &services() const;

private:
    /** Replaces the record of the same name and updates the hashes. */
    void store(const ServiceRecord &record);
    /** Turns the record @p current into a tombstone of @p generation. */
    void remove(const ServiceRecord &current, Generation generation);
    /** Replaces the records that @p whole does not list with tombstones of generation @c whole.to. */
    void markMissingAsRemoved(const ConfigurationDelta &whole);
    /** The content hash that applying @p patch leads to. */
    std::uint64_t contentHashAfter(const ConfigurationPatch &patch) const;

    Generation m_generation = 0;
    std::map<std::string, ServiceRecord> m_services;
    ContentHashTable m_hashes;
};

} // namespace samphireswitch::configuration
