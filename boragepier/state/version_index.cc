#include "boragepier/state/version_index.h"

#include <xxhash.h>

namespace boragepier {

namespace {

std::uint32_t
Checksum(std::string_view aKey, EntryVersion aVersion)
{
  const XXH64_hash_t key = XXH3_64bits(aKey.data(), aKey.size());
  const std::uint64_t parts[] = { key, aVersion.major_, aVersion.minor_ };
  return static_cast<std::uint32_t>(XXH3_64bits(parts, sizeof(parts)));
}

} // namespace

VersionIndex::VersionIndex(std::size_t aBucketCount)
  : buckets_(aBucketCount)
  , checksums_(aBucketCount)
{
}

void
VersionIndex::Set(std::string_view aKey, EntryVersion aVersion)
{
  const std::size_t index = BucketOf(aKey);
  if (const auto found = buckets_[index].find(aKey); found != buckets_[index].end()) {
    checksums_[index] ^= Checksum(aKey, found->second);
    found->second = aVersion;
  } else {
    buckets_[index].emplace(aKey, aVersion);
  }
  checksums_[index] ^= Checksum(aKey, aVersion);
}

void
VersionIndex::Erase(std::string_view aKey)
{
  const std::size_t index = BucketOf(aKey);
  if (const auto found = buckets_[index].find(aKey); found != buckets_[index].end()) {
    checksums_[index] ^= Checksum(aKey, found->second);
    buckets_[index].erase(found);
  }
}

std::optional<EntryVersion>
VersionIndex::Find(std::string_view aKey) const
{
  const Bucket& bucket = buckets_[BucketOf(aKey)];
  const auto found = bucket.find(aKey);
  return found == bucket.end() ? std::nullopt : std::optional(found->second);
}

std::size_t
VersionIndex::BucketOf(std::string_view aKey) const
{
  return XXH3_64bits(aKey.data(), aKey.size()) % buckets_.size();
}

} // namespace boragepier
