#ifndef BORAGEPIER_TESTING_WIRE_RAW_SOCKET_H
#define BORAGEPIER_TESTING_WIRE_RAW_SOCKET_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "boragepier/base/errors.h"

namespace boragepier::testing {

/// Thrown when a wait of a test times out, a stream ends early or a system call fails.
class WireError : public Error
{
public:
  using Error::Error;
};

/// A blocking TCP connection over loopback, for tests that control every byte sent. Every wait for
/// input throws WireError after 30 s.
class RawSocket
{
public:
  /// Connects to a port of 127.0.0.1.
  /// @throws WireError if the connection fails
  explicit RawSocket(std::uint16_t aPort);
  /// Takes ownership of the descriptor of a connected socket.
  static RawSocket FromDescriptor(int aDescriptor) { return RawSocket(aDescriptor, 0); }
  ~RawSocket();
  RawSocket(RawSocket&& aOther) noexcept;
  RawSocket& operator=(RawSocket&& aOther) = delete;
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  /// Sends all bytes. Stops without an error if the peer has closed the connection.
  void Send(std::string_view aBytes);
  /// Reads up to and including aDelimiter. Bytes after it stay for the next read.
  /// @throws WireError if the stream ends before
  std::string ReadUntil(std::string_view aDelimiter);
  /// Reads exactly aCount bytes.
  /// @throws WireError if the stream ends before
  std::string Read(std::size_t aCount);
  /// Reads one HTTP message: the header, and the body if there is a Content-Length.
  std::string ReadMessage();
  /// Reads until the peer closes or resets the connection.
  std::string ReadToEnd();
  /// @return true if a read would not wait: bytes or the end of the stream have arrived
  bool HasInput() const;
  /// Ends the sending side. Input can still be read.
  void ShutdownOutput();
  void Close();
  /// Closes the connection with a TCP reset.
  void Reset();

private:
  RawSocket(int aDescriptor, int /*aTag*/)
    : descriptor_(aDescriptor)
  {
  }
  bool Receive();

  int descriptor_ = -1;
  std::string received_;
};

/// A listening socket on 127.0.0.1, on a free port that the system assigns.
class RawListener
{
public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  std::uint16_t Port() const { return port_; }
  /// Waits for a connection.
  /// @throws WireError if none arrives within 30 s
  RawSocket Accept();
  /// @return true if a connection waits to be accepted
  bool HasPending() const;

private:
  int descriptor_ = -1;
  std::uint16_t port_ = 0;
};

} // namespace boragepier::testing

#endif
