#ifndef BORAGEPIER_NET_TCP_STREAM_H
#define BORAGEPIER_NET_TCP_STREAM_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "boragepier/net/event_loop.h"

namespace boragepier::net {

/// How a stream ended.
enum class StreamEnd : std::uint8_t
{
  Closed, ///< the peer closed its side in good order
  Broken, ///< connecting failed, the peer reset the connection, or the system reported an error
};

/// Receives the events of a TcpStream, in the loop thread. No function runs inside a call to the
/// stream. OnEnd is the last event; none follows Close().
class StreamEvents
{
public:
  StreamEvents() = default;
  StreamEvents(const StreamEvents&) = delete;
  StreamEvents& operator=(const StreamEvents&) = delete;
  virtual ~StreamEvents() = default;

  virtual void OnConnected() {}
  /// @param aBytes what arrived; valid during the call
  virtual void OnInput(std::string_view aBytes) = 0;
  /// All output was given to the system after Write() had to wait.
  virtual void OnDrained() {}
  virtual void OnEnd(StreamEnd aEnd) = 0;
};

/// One TCP connection, with TCP_NODELAY. Its owner calls Close() before it
/// gives up the stream or the events object. Loop thread only.
class TcpStream
{
public:
  /// Starts to connect. Failure is reported by OnEnd.
  static std::shared_ptr<TcpStream> Connect(EventLoop& aLoop,
                                            const std::string& aAddress,
                                            std::uint16_t aPort,
                                            StreamEvents& aEvents);

  TcpStream() = default;
  virtual ~TcpStream() = default;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Starts to deliver the events of an accepted connection.
  virtual void Start(StreamEvents& aEvents) = 0;
  /// Sends bytes, now as far as the system takes them, the rest later. Ignored after Close().
  virtual void Write(std::string aBytes) = 0;
  /// Ends output; the peer reads the end of the stream after the bytes written so far. Only when
  /// Drained().
  virtual void ShutdownOutput() = 0;
  /// Stops or continues reading. While stopped, the end of the stream is not noticed.
  virtual void PauseInput(bool aPause) = 0;
  /// Closes the connection. No event follows.
  virtual void Close() = 0;

  virtual bool Closed() const = 0;
  /// @return true if all output was given to the system
  virtual bool Drained() const = 0;
  /// @return bytes of output that were given to the system
  virtual std::uint64_t BytesWritten() const = 0;
  /// @return true if input or the end of the stream has arrived and was not delivered yet
  virtual bool HasUndeliveredInput() const = 0;
};

} // namespace boragepier::net

#endif
