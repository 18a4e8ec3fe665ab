#ifndef BORAGEPIER_CONFIG_CALLER_KEY_H
#define BORAGEPIER_CONFIG_CALLER_KEY_H

#include <string_view>

#include "boragepier/config/team_config.h"

namespace boragepier {

/// Hashes a caller's key with BLAKE2b. The digest is the same in all instances, so that it can
/// stand for the key in the configuration.
/// @param aKey the key as the caller sends it
/// @return the digest, from which the key cannot be recovered
KeyDigest
DigestOfKey(std::string_view aKey);

/// @return whether two digests are equal; takes the same time whatever they hold
bool
IsSameKey(const KeyDigest& aLeft, const KeyDigest& aRight);

} // namespace boragepier

#endif
