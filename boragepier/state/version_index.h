#ifndef BORAGEPIER_STATE_VERSION_INDEX_H
#define BORAGEPIER_STATE_VERSION_INDEX_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/ports/peer_message.h"

namespace boragepier {

/// Versions of a replicated set of entries, with a checksum for each bucket of keys that is updated
/// with every change. Two instances compare checksums to find the buckets in which they differ. A
/// bucket that differs has the same checksum with a probability of 2^-32.
class VersionIndex
{
public:
  using Bucket = std::map<std::string, EntryVersion, std::less<>>;

  /// @param aBucketCount number of buckets; must be the same on all instances
  explicit VersionIndex(std::size_t aBucketCount);

  /// Sets the version of an entry; it may be lower than the present one.
  void Set(std::string_view aKey, EntryVersion aVersion);
  void Erase(std::string_view aKey);

  /// @return the version of an entry, or nothing if the key is unknown
  std::optional<EntryVersion> Find(std::string_view aKey) const;
  /// @return the checksum of each bucket
  std::span<const std::uint32_t> BucketChecksums() const { return checksums_; }
  /// @param aIndex less than the number of buckets
  const Bucket& BucketAt(std::size_t aIndex) const { return buckets_.at(aIndex); }
  /// @return the index of the bucket of a key
  std::size_t BucketOf(std::string_view aKey) const;

private:
  std::vector<Bucket> buckets_;
  std::vector<std::uint32_t> checksums_;
};

} // namespace boragepier

#endif
