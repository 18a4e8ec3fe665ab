#ifndef BORAGEPIER_TESTING_WIRE_RAW_SOCKET_H
#define BORAGEPIER_TESTING_WIRE_RAW_SOCKET_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "boragepier/base/errors.h"

namespace boragepier::testing {

/// A peer did not do in time what a test waits for, or a system call failed.
class WireError : public Error
{
public:
  using Error::Error;
};

/// A blocking TCP connection over loopback for tests that decide about each byte. Every wait ends
/// with WireError after a generous time limit.
class RawSocket
{
public:
  /// Connects to a port of 127.0.0.1.
  explicit RawSocket(std::uint16_t aPort);
  /// Takes over a descriptor.
  static RawSocket FromDescriptor(int aDescriptor) { return RawSocket(aDescriptor, 0); }
  ~RawSocket();
  RawSocket(RawSocket&& aOther) noexcept;
  RawSocket& operator=(RawSocket&& aOther) = delete;
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  /// Sends all bytes. A peer that has closed is no error.
  void Send(std::string_view aBytes);
  /// @return what arrived up to and including aEnd; later bytes are kept for the next call
  std::string ReadUntil(std::string_view aEnd);
  /// @return exactly aCount bytes
  std::string Read(std::size_t aCount);
  /// @return a header and a body of Content-Length bytes
  std::string ReadMessage();
  /// @return everything up to the end of the stream, whether by close or by reset
  std::string ReadToEnd();
  /// @return true if bytes or the end of the stream have arrived
  bool HasInput() const;
  void Close();
  /// Closes so that the peer's system sees a reset.
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

/// A listening socket on a port of 127.0.0.1 that the system chooses.
class RawListener
{
public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  std::uint16_t Port() const { return port_; }
  RawSocket Accept();
  /// @return true if a connection waits to be accepted
  bool HasPending() const;

private:
  int descriptor_ = -1;
  std::uint16_t port_ = 0;
};

} // namespace boragepier::testing

#endif
