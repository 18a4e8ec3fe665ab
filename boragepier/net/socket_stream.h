#ifndef BORAGEPIER_NET_SOCKET_STREAM_H
#define BORAGEPIER_NET_SOCKET_STREAM_H

// Only for sources of this package that are compiled as C++17: cxxtools/string.h, which the socket
// headers include, uses members of std::allocator that C++20 removed.

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpsocket.h>

#include "boragepier/net/tcp_stream.h"

namespace boragepier::net {

/// TcpStream over cxxtools::net::TcpSocket.
class SocketStream
  : public TcpStream
  , public std::enable_shared_from_this<SocketStream>
  , public cxxtools::Connectable
{
public:
  /// Accepts a pending connection. No event arrives before Start().
  /// @throws std::exception if the system refuses, for example for lack of descriptors
  static std::shared_ptr<TcpStream> Accept(EventLoop& aLoop, cxxtools::net::TcpServer& aServer);

  explicit SocketStream(EventLoop& aLoop);

  void Connect(const std::string& aAddress, std::uint16_t aPort, StreamEvents& aEvents);
  void Start(StreamEvents& aEvents) override;
  void Write(std::string aBytes) override;
  void ShutdownOutput() override;
  void PauseInput(bool aPause) override;
  void Close() override;

  bool Closed() const override { return events_ == nullptr; }
  bool Drained() const override { return output_.empty(); }
  std::uint64_t BytesWritten() const override { return bytesWritten_; }
  bool HasUndeliveredInput() const override;

private:
  void Attach();
  void BeginRead();
  void TryWrite();
  void OnWritten(std::size_t aCount);
  void EndLater(StreamEnd aEnd);
  void End(StreamEnd aEnd);
  std::size_t FinishRead();
  void OnSocketConnected(cxxtools::net::TcpSocket& aSocket);
  void OnInputReady(cxxtools::IODevice& aDevice);
  void OnOutputReady(cxxtools::IODevice& aDevice);

  EventLoop& loop_;
  StreamEvents* events_ = nullptr;
  cxxtools::net::TcpSocket socket_;
  std::vector<char> readBuffer_;
  std::deque<std::string> output_;
  std::size_t outputOffset_ = 0; // within the first element of output_
  std::uint64_t bytesWritten_ = 0;
  bool connecting_ = false;
  bool inputPaused_ = false;
  bool delivering_ = false; // readBuffer_ is in use by OnInput()
  bool ended_ = false;
};

} // namespace boragepier::net

#endif
