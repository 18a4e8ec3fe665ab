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
  Closed,     ///< the peer closed its side of the connection without a reset
  Broken,     ///< connecting failed, the peer reset the connection, a socket error occurred, or the
              ///< handler threw an exception
  LocalLimit, ///< connecting failed because this machine lacks a descriptor or memory
};

/// Receives the events of a TcpStream, in the loop thread. No event is delivered inside a call to
/// the stream. OnEnd() is the last event; none follows Close(). After an event that throws, the
/// stream reports the exception and ends with StreamEnd::Broken.
class StreamHandler
{
public:
  StreamHandler() = default;
  StreamHandler(const StreamHandler&) = delete;
  StreamHandler& operator=(const StreamHandler&) = delete;
  virtual ~StreamHandler() = default;

  virtual void OnConnected() {}
  /// @param aBytes the received bytes; valid during the call
  virtual void OnInput(std::string_view aBytes) = 0;
  /// The kernel has accepted all output, after some of it had to be queued.
  virtual void OnOutputFlushed() {}
  /// The peer has ended its sending side. It may still read, or have closed the connection: the two
  /// differ only in that writing to a closed one is answered by a reset.
  /// @return whether the stream stays open for output. If not, OnEnd(StreamEnd::Closed) follows. If
  /// so, OnEnd(StreamEnd::Broken) follows when the peer resets the connection or a write fails.
  virtual bool OnInputEnded() { return false; }
  /// The stream ended. The stream still has to be closed.
  virtual void OnEnd(StreamEnd aEnd) = 0;
};

/// A TCP connection with TCP_NODELAY. Its owner must call Close() before it releases the stream or
/// destroys the object that receives its events. Loop thread only.
class TcpStream
{
public:
  /// Starts to connect to an IP address. A failure, also that of an invalid address, is reported by
  /// OnEnd().
  static std::shared_ptr<TcpStream> Connect(EventLoop& aLoop,
                                            const std::string& aAddress,
                                            std::uint16_t aPort,
                                            StreamHandler& aHandler);

  TcpStream() = default;
  virtual ~TcpStream() = default;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Starts to deliver the events of an accepted connection.
  virtual void Start(StreamHandler& aHandler) = 0;
  /// Writes what the kernel accepts now and queues the rest. Ignored after Close().
  virtual void Write(std::string aBytes) = 0;
  /// As Write(), without a copy of the bytes.
  /// @param aOwner keeps the bytes valid; released when they are written or the stream is closed
  virtual void WriteShared(std::string_view aBytes, std::shared_ptr<const void> aOwner) = 0;
  /// Closes the sending side: the peer reads end-of-stream after the bytes written so far. Call
  /// only when OutputFlushed().
  virtual void ShutdownOutput() = 0;
  /// Pauses or resumes reading. While paused, the end of the stream is not detected.
  virtual void PauseInput(bool aPause) = 0;
  /// Closes the connection. No event follows.
  virtual void Close() = 0;

  /// @return true after Close(), and before Start() on an accepted connection
  virtual bool Closed() const = 0;
  /// @return true if the kernel has accepted all output
  virtual bool OutputFlushed() const = 0;
  /// @return number of output bytes that the kernel has accepted
  virtual std::uint64_t BytesWritten() const = 0;
  /// @return true if input, the end of the stream or a socket error has not been delivered yet
  virtual bool HasUndeliveredInput() const = 0;
};

} // namespace boragepier::net

#endif
