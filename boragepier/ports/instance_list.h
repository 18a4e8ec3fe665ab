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

/// One process on the platform's list. The list is eventually consistent: a listed process may have
/// exited or begun to drain, and a new one may still be missing.
struct ListedProcess
{
  std::string id_;
  std::string role_;    ///< "entry" for entry instances, "upstream" for upstreams
  std::string service_; ///< name of the service; upstreams only
  std::string address_; ///< IP address
  std::uint16_t port_ = 0;
  std::uint16_t peerPort_ = 0; ///< port for other instances; entry instances only
  std::string zone_;
  std::uint64_t startNumber_ = 0; ///< increases with every start of the process with this id
  bool leaving_ = false;          ///< is draining and about to exit
  std::uint16_t adminPort_ = 0;   ///< port of the admin API, 0 if unknown; entry instances only
};

/// Receives the list, or nothing if the platform did not respond.
using ListCallback = std::function<void(std::optional<std::vector<ListedProcess>>)>;

/// Client of the platform's list of running and draining processes. Fetch() requests the whole list
/// and returns at once.
template<typename T>
concept InstanceList = requires(T& aList, ListCallback aDone)
{
  aList.Fetch(std::move(aDone));
};

} // namespace boragepier

#endif
