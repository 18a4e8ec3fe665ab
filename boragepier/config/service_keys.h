#ifndef BORAGEPIER_CONFIG_SERVICE_KEYS_H
#define BORAGEPIER_CONFIG_SERVICE_KEYS_H

#include <span>

#include "boragepier/config/key_table.h"
#include "boragepier/config/service_config.h"

namespace boragepier {

/// @return all keys of a service file, in the order of the documentation
std::span<const KeyBinding<ServiceConfig>>
ServiceKeys();

} // namespace boragepier

#endif
