#ifndef BORAGEPIER_ADMIN_ADMIN_SERVER_H
#define BORAGEPIER_ADMIN_ADMIN_SERVER_H

#include <cstdint>
#include <memory>
#include <string>

#include "boragepier/admin/admin_hooks.h"
#include "boragepier/base/errors.h"

namespace boragepier {

/// The admin address cannot be used.
class AdminListenError : public Error
{
public:
  using Error::Error;
};

/// Serves the admin surface over HTTP on its own address, in a thread of its own. Has no
/// authentication: who can reach the address can read everything and announce configurations.
class AdminServer
{
public:
  /// Starts to serve.
  /// @param aAddress IP address
  /// @param aPort TCP port; 0 lets the system choose
  /// @param aHooks where the data comes from
  /// @throws AdminListenError if the address cannot be used
  AdminServer(const std::string& aAddress, std::uint16_t aPort, AdminHooks aHooks);
  /// Ends all connections and waits for the threads.
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  std::uint16_t Port() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace boragepier

#endif
