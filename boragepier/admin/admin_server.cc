#include "boragepier/admin/admin_server.h"

#include <algorithm>
#include <string_view>
#include <thread>
#include <utility>

#include "boragepier/admin/admin_api.h"
#include "boragepier/http/server.h"
#include "boragepier/net/errors.h"
#include "boragepier/net/event_loop.h"

namespace boragepier {

namespace {

http::ServerLimits
AdminLimits(const DescriptorShares& aDescriptors)
{
  http::ServerLimits limits;
  limits.maxBody_ = kMaxAnnounceBodyBytes;
  limits.maxConnections_ = aDescriptors.admin_;
  limits.maxRefusedConnections_ = aDescriptors.adminRefused_;
  limits.replaceableIdleTime_ = Duration(0); // a monitor must not wait for an idle client
  limits.idleTimeout_ = std::chrono::seconds(5);
  limits.requestTimeout_ = std::chrono::seconds(2);
  return limits;
}

http::Response
ToHttpResponse(AdminResponse aResponse)
{
  http::Response response;
  response.status_ = aResponse.status_;
  response.headers_.Add("Content-Type", aResponse.contentType_);
  response.headers_.Add("Cache-Control", "no-store");
  response.body_ = std::move(aResponse.body_);
  return response;
}

// Response to a request that the HTTP server refuses before it reaches the API.
http::Response
RefusalResponse(RefusalReason aReason)
{
  return ToHttpResponse(
    ErrorResponse(HttpStatusOf(aReason), ToString(aReason), "the HTTP server refused the request"));
}

} // namespace

class AdminServer::Impl
{
public:
  Impl(const std::string& aAddress,
       std::uint16_t aPort,
       AdminHooks aHooks,
       const DescriptorShares& aDescriptors)
    : api_(std::move(aHooks))
    , server_(
        loop_,
        AdminLimits(aDescriptors),
        [this](const std::shared_ptr<http::Exchange>& aExchange) { Handle(*aExchange); },
        RefusalResponse)
    , port_(Listen(aAddress, aPort))
    , thread_([this] { loop_.Run(); })
  {
  }

  ~Impl()
  {
    loop_.Stop();
    thread_.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::uint16_t Port() const { return port_; }

private:
  std::uint16_t Listen(const std::string& aAddress, std::uint16_t aPort)
  {
    try {
      return server_.Listen(aAddress, aPort);
    } catch (const net::AddressInUseError& error) {
      throw AdminAddressInUseError(error.what());
    } catch (const net::ListenError& error) {
      throw AdminListenError(error.what());
    }
  }

  void Handle(http::Exchange& aExchange) const
  {
    const http::Request& request = aExchange.GetRequest();
    const std::string_view target = request.target_;
    const std::size_t pathLength = std::min(target.find('?'), target.size());
    aExchange.Respond(
      ToHttpResponse(api_.Handle({ .method_ = request.method_,
                                   .path_ = target.substr(0, pathLength),
                                   .query_ = target.substr(std::min(pathLength + 1, target.size())),
                                   .body_ = request.body_ })));
  }

  const AdminApi api_;
  net::EventLoop loop_;
  http::Server server_;
  const std::uint16_t port_;
  std::thread thread_;
};

AdminServer::AdminServer(const std::string& aAddress,
                         std::uint16_t aPort,
                         AdminHooks aHooks,
                         const DescriptorShares& aDescriptors)
  : impl_(std::make_unique<Impl>(aAddress, aPort, std::move(aHooks), aDescriptors))
{
}

AdminServer::~AdminServer() = default;

std::uint16_t
AdminServer::Port() const
{
  return impl_->Port();
}

} // namespace boragepier
