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

/// Network fault that a FaultProxy injects into its connections.
enum class LinkFault : std::uint8_t
{
  None,
  Delay,       ///< bytes are forwarded after FaultProxy::kForwardingDelay
  Reset,       ///< open connections are closed, new ones as soon as they are accepted
  Silence,     ///< connections stay open but forward nothing, even after the fault ends
  CutForward,  ///< bytes to the target are buffered until the fault ends
  CutBackward, ///< bytes from the target are buffered until the fault ends
};

/// TCP proxy on loopback with fault injection. Loop thread only.
class FaultProxy
{
public:
  static constexpr Duration kForwardingDelay = std::chrono::milliseconds(40);

  /// @param aTargetPort port on loopback to which connections are forwarded
  FaultProxy(net::EventLoop& aLoop, std::uint16_t aTargetPort);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  std::uint16_t Port() const { return listener_.Port(); }
  /// Changes the target port of new connections.
  void SetTarget(std::uint16_t aPort) { targetPort_ = aPort; }
  /// Applies a fault to all open and new connections; LinkFault::None ends the fault.
  void SetFault(LinkFault aFault);

private:
  class ForwardedConnection;

  void OnAccepted(std::shared_ptr<net::TcpStream> aStream);
  void Remove(ForwardedConnection& aConnection);
  void CloseAll();

  net::EventLoop& loop_;
  std::uint16_t targetPort_;
  LinkFault fault_ = LinkFault::None;
  std::unordered_map<ForwardedConnection*, std::shared_ptr<ForwardedConnection>> connections_;
  net::TcpListener listener_;
};

} // namespace boragepier::testing

#endif
