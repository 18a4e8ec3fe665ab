#include "testing/e2e/sync_client.h"

#include <future>
#include <utility>

namespace boragepier::testing {

SyncClient::SyncClient()
  : client_(std::make_unique<http::Client>(loop_))
  , thread_([this] { loop_.Run(); })
{
}

SyncClient::~SyncClient()
{
  loop_.Stop();
  thread_.join();
}

http::SendResult
SyncClient::Send(std::uint16_t aPort, http::Request aRequest)
{
  auto promise = std::make_shared<std::promise<http::SendResult>>();
  auto future = promise->get_future();
  auto request = std::make_shared<const http::Request>(std::move(aRequest));
  loop_.Post([this, aPort, request, promise] {
    http::SendOptions options;
    options.timeout_ = std::chrono::seconds(20);
    client_->Send({ "127.0.0.1", aPort }, request, options, [promise](http::SendResult aResult) {
      promise->set_value(std::move(aResult));
    });
  });
  return future.get();
}

std::string
SyncClient::Get(std::uint16_t aPort, const std::string& aTarget)
{
  return Send(aPort, { "GET", aTarget, {}, "" }).response_.body_.Text();
}

http::SendResult
SyncClient::SendJson(std::uint16_t aPort,
                     const std::string& aMethod,
                     const std::string& aTarget,
                     const std::string& aBody)
{
  http::Request request{ aMethod, aTarget, {}, aBody };
  request.headers_.Add("Content-Type", "application/json");
  return Send(aPort, std::move(request));
}

} // namespace boragepier::testing
