#ifndef BORAGEPIER_NET_TCP_LISTENER_H
#define BORAGEPIER_NET_TCP_LISTENER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "boragepier/net/event_loop.h"
#include "boragepier/net/tcp_stream.h"

namespace boragepier::net {

/// Accepts TCP connections until it is stopped or destroyed. A connection for which no descriptor
/// is left is closed at once. Loop thread only, or before the loop runs.
class TcpListener
{
public:
  /// Receives each accepted connection; must call Start() on the stream, or Close() it.
  using AcceptCallback = std::function<void(std::shared_ptr<TcpStream>)>;

  /// @param aAddress IP address
  /// @param aPort TCP port; 0 selects a free port
  /// @throws AddressInUseError if another socket uses the address
  /// @throws ListenError if the address cannot be used for another reason
  TcpListener(EventLoop& aLoop,
              const std::string& aAddress,
              std::uint16_t aPort,
              AcceptCallback aCallback);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// Closes the listening socket. Connections that the kernel has established by then are accepted
  /// first, during the call or soon after it: closing would reset them, with the requests that
  /// their peers have sent.
  void Stop();

  /// @return the port in use
  std::uint16_t Port() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace boragepier::net

#endif
