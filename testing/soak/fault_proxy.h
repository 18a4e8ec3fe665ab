#ifndef BORAGEPIER_TESTING_SOAK_FAULT_PROXY_H
#define BORAGEPIER_TESTING_SOAK_FAULT_PROXY_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "boragepier/base/time.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/net/tcp_listener.h"

namespace boragepier::testing {

/// What a FaultProxy does to its connections.
enum class LinkFault : std::uint8_t
{
  None,
  Delay,       ///< bytes arrive later
  Reset,       ///< connections are closed, new ones at once
  Silence,     ///< connections stay open and carry nothing any more, also after the fault
  CutForward,  ///< bytes to the target are held until the fault ends
  CutBackward, ///< bytes from the target are held until the fault ends
};

/// Forwards TCP connections on loopback and harms them on request. Loop thread only.
class FaultProxy
{
public:
  static constexpr Duration kDelay = std::chrono::milliseconds(40);

  /// @param aTarget port on loopback to which connections are forwarded
  FaultProxy(net::EventLoop& aLoop, std::uint16_t aTarget);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  std::uint16_t Port() const { return listener_.Port(); }
  /// Changes the target of new connections.
  void SetTarget(std::uint16_t aPort) { target_ = aPort; }
  void SetFault(LinkFault aFault);

private:
  class Link;

  void OnAccepted(std::shared_ptr<net::TcpStream> aStream);
  void Remove(Link& aLink);
  void CloseAll();

  net::EventLoop& loop_;
  std::uint16_t target_;
  LinkFault fault_ = LinkFault::None;
  std::unordered_map<Link*, std::shared_ptr<Link>> links_;
  net::TcpListener listener_;
};

} // namespace boragepier::testing

#endif
