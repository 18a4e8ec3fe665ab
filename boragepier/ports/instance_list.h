#ifndef BORAGEPIER_PORTS_INSTANCE_LIST_H
#define BORAGEPIER_PORTS_INSTANCE_LIST_H

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "boragepier/base/ids.h"

namespace boragepier {

/// One process on the platform's list. The list lags: a process can be gone, leaving or missing.
struct ListedProcess
{
  std::string id_;
  std::string role_;    ///< "entry" for entry instances, "upstream" for upstreams
  std::string service_; ///< of an upstream
  std::string address_; ///< IP address
  std::uint16_t port_ = 0;
  std::uint16_t peerPort_ = 0; ///< of an entry instance: port for other instances
  std::string zone_;
  std::uint64_t startNumber_ = 0; ///< rises with every start of the same process id
  bool leaving_ = false;
  std::uint16_t adminPort_ = 0; ///< of an entry instance: port of the admin surface, 0 if unknown
};

/// The list, or nothing if the platform did not answer.
using ListCallback = std::function<void(std::optional<std::vector<ListedProcess>>)>;

/// The platform's list of live and leaving processes.
template<typename T>
concept InstanceList = requires(T& aList, ListCallback aDone)
{
  aList.Fetch(std::move(aDone));
};

} // namespace boragepier

#endif
