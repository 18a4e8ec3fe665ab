#ifndef BORAGEPIER_HTTP_CLIENT_H
#define BORAGEPIER_HTTP_CLIENT_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/http/message.h"
#include "boragepier/net/event_loop.h"

namespace boragepier::http {

/// Where a request goes.
struct Target
{
  std::string address_; ///< IP address
  std::uint16_t port_ = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on defaulted comparisons
  friend auto operator<=>(const Target&, const Target&) = default;
};

/// How a request is sent.
struct SendOptions
{
  Duration timeout_ = std::chrono::seconds(2); ///< for connecting, sending and the whole answer
  /// Use only a new connection or one that brought an answer a short time ago
  /// (Client::kProvenAliveWindow).
  bool provenAliveOnly_ = false;
  std::size_t maxConnections_ = 200;      ///< to this target; more requests wait for a connection
  std::size_t maxResponseBody_ = 8 << 20; ///< bytes
};

/// How an attempt ended. outcome_ is NotRun only if no byte of the request was written.
struct SendResult
{
  Outcome outcome_ = Outcome::NotRun;
  AttemptFailure failure_ = AttemptFailure::None;
  Response response_; ///< valid when outcome_ is Answered
  Duration latency_{};
  bool newConnection_ = false;
};

/// Refers to a request of one Client; never reused.
enum class SendId : std::uint64_t
{
};

/// HTTP/1.1 client with connection pools: boragepier/net streams, Boost.Beast framing. Never sends
/// a request twice by itself. A connection is reused only after a complete answer with nothing
/// behind it; a late answer can reach no other request. After a timeout, idle connections to the
/// target that are as old as the silent one are closed too. Loop thread only.
class Client
{
public:
  using Callback = std::function<void(SendResult)>;

  static constexpr Duration kProvenAliveWindow = std::chrono::seconds(1);

  explicit Client(net::EventLoop& aLoop);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a request. aDone runs exactly once, later, in the loop thread, unless Cancel() is
  /// called.
  SendId Send(const Target& aTarget,
              std::shared_ptr<const Request> aRequest,
              const SendOptions& aOptions,
              Callback aDone);
  /// Gives up a request: its connection is closed and its callback never runs.
  /// @return NotRun if no byte was written, else Unknown
  Outcome Cancel(SendId aId);
  /// Closes idle connections to a target that left.
  void CloseIdle(const Target& aTarget);
  std::size_t ConnectionCount(const Target& aTarget) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace boragepier::http

#endif
