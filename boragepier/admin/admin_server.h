#ifndef BORAGEPIER_ADMIN_ADMIN_SERVER_H
#define BORAGEPIER_ADMIN_ADMIN_SERVER_H

#include <cstdint>
#include <memory>
#include <string>

#include "boragepier/admin/admin_hooks.h"
#include "boragepier/base/descriptor_budget.h"
#include "boragepier/base/errors.h"

namespace boragepier {

/// The server cannot listen on the admin address.
class AdminListenError : public Error
{
public:
  using Error::Error;
};

/// Another socket uses the admin address.
class AdminAddressInUseError : public AdminListenError
{
public:
  using AdminListenError::AdminListenError;
};

/// Serves the admin API over HTTP on a separate address, in its own thread. There is no
/// authentication: anyone who can reach the address can read all data and announce configurations.
class AdminServer
{
public:
  /// Listens and starts the thread.
  /// @param aAddress IP address
  /// @param aPort TCP port; 0 lets the system choose
  /// @param aHooks data sources; called in the thread of the server
  /// @param aDescriptors limits on the connections
  /// @throws AdminAddressInUseError if another socket uses the address
  /// @throws AdminListenError if the server cannot listen on it for another reason
  AdminServer(const std::string& aAddress,
              std::uint16_t aPort,
              AdminHooks aHooks,
              const DescriptorShares& aDescriptors = {});
  /// Stops the event loop, waits for its thread and closes all connections.
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// @return the TCP port on which the server listens
  std::uint16_t Port() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace boragepier

#endif
