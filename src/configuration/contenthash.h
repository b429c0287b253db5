#pragma once

#include "configuration/servicerecord.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace samphireswitch::configuration {

/**
 * Number of buckets in which a ConfigurationTable keeps the hashes of its services. A peer may be sent the hashes of
 * fewer buckets, whose number is a smaller power of two.
 */
constexpr std::size_t s_contentBucketCount = 256;

/** Hashes of the content of a configuration, one for each bucket. Their number is a power of two. */
using ContentHashes = std::vector<std::uint64_t>;

/** Whether @p count is a number of buckets that ContentHashes may have: a power of two up to s_contentBucketCount. */
bool isValidBucketCount(std::size_t count);

/** The bucket of the service @p name among @p count buckets. */
std::size_t contentBucketOf(std::string_view name, std::size_t count);

/**
 * Hash of everything that @p record declares, without the generation in which it changed, because processes that
 * skipped a generation have other values there. 0 for the tombstone of a removed service, which equals a service that
 * never existed. A field with its default value does not enter the hash, so that a later version can add fields.
 */
std::uint64_t contentHashOf(const ServiceRecord &record);

/** The hashes of the content of a whole configuration, kept up to date one record at a time. */
class ContentHashTable
{
public:
    /** Adds or removes a record with the hash @p recordHash; a second call with the same values undoes the first. */
    void toggle(std::string_view name, std::uint64_t recordHash);

    /** Removes all records of bucket @p bucket among @p count buckets. */
    void clear(std::size_t bucket, std::size_t count);

    /** The hashes of @p count buckets, which must be a valid number of buckets. */
    ContentHashes fold(std::size_t count) const;

    /** One hash of the whole content; never 0, which stands for an unknown content. */
    std::uint64_t total() const;

private:
    /** XOR of the hashes of the records in each bucket. */
    std::array<std::uint64_t, s_contentBucketCount> m_buckets {};
};

} // namespace samphireswitch::configuration
