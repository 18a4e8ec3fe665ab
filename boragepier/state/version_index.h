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

/// Versions of a replicated set of entries, with a checksum for each bucket of keys, kept up to
/// date with every change. Two instances with the same checksums hold the same versions, except
/// with a probability of 2^-32 for each bucket that differs.
class VersionIndex
{
public:
  using Bucket = std::map<std::string, EntryVersion, std::less<>>;

  /// @param aBuckets number of buckets; the same on all instances
  explicit VersionIndex(std::size_t aBuckets);

  /// Sets the version of an entry, whether it is larger or not.
  void Set(std::string_view aKey, EntryVersion aVersion);
  void Erase(std::string_view aKey);

  /// @return the version of an entry, or nothing if there is none
  std::optional<EntryVersion> Find(std::string_view aKey) const;
  /// @return the checksum of each bucket
  std::span<const std::uint32_t> Sums() const { return sums_; }
  /// @param aIndex less than the number of buckets
  const Bucket& At(std::size_t aIndex) const { return buckets_.at(aIndex); }
  /// @return the bucket of a key
  std::size_t BucketOf(std::string_view aKey) const;

private:
  std::vector<Bucket> buckets_;
  std::vector<std::uint32_t> sums_;
};

} // namespace boragepier

#endif
