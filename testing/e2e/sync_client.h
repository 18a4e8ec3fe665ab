#ifndef BORAGEPIER_TESTING_E2E_SYNC_CLIENT_H
#define BORAGEPIER_TESTING_E2E_SYNC_CLIENT_H

#include <memory>
#include <string>
#include <thread>

#include "boragepier/http/client.h"
#include "boragepier/net/event_loop.h"

namespace boragepier::testing {

/// Blocking HTTP client for tests; usable from several threads.
class SyncClient
{
public:
  SyncClient();
  ~SyncClient();
  SyncClient(const SyncClient&) = delete;
  SyncClient& operator=(const SyncClient&) = delete;

  http::SendResult Send(std::uint16_t aPort, http::Request aRequest);

  /// Sends a GET and returns the body, or the empty string if no answer came.
  std::string Get(std::uint16_t aPort, const std::string& aTarget);
  /// Sends a body with the given method.
  http::SendResult Put(std::uint16_t aPort,
                       const std::string& aMethod,
                       const std::string& aTarget,
                       const std::string& aBody);

private:
  net::EventLoop loop_;
  std::unique_ptr<http::Client> client_;
  std::thread thread_;
};

} // namespace boragepier::testing

#endif
