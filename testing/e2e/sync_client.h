#ifndef BORAGEPIER_TESTING_E2E_SYNC_CLIENT_H
#define BORAGEPIER_TESTING_E2E_SYNC_CLIENT_H

#include <memory>
#include <string>
#include <thread>

#include "boragepier/http/client.h"
#include "boragepier/net/event_loop.h"

namespace boragepier::testing {

/// Blocking HTTP client for servers on loopback. Thread-safe.
class SyncClient
{
public:
  SyncClient();
  ~SyncClient();
  SyncClient(const SyncClient&) = delete;
  SyncClient& operator=(const SyncClient&) = delete;

  /// Sends a request to 127.0.0.1 and waits up to 20 s for the response.
  http::SendResult Send(std::uint16_t aPort, http::Request aRequest);

  /// Sends a GET request.
  /// @return the body of the response, empty if there is no response
  std::string Get(std::uint16_t aPort, const std::string& aTarget);
  /// Sends a JSON body with the given method.
  http::SendResult SendJson(std::uint16_t aPort,
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
