#include "boragepier/config/caller_key.h"

#include <sodium.h>

namespace boragepier {

KeyDigest
DigestOfKey(std::string_view aKey)
{
  static_assert(std::tuple_size_v<KeyDigest> >= crypto_generichash_BYTES_MIN);
  KeyDigest digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size(),
                     nullptr,
                     0);
  return digest;
}

bool
IsSameKey(const KeyDigest& aLeft, const KeyDigest& aRight)
{
  return sodium_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace boragepier
