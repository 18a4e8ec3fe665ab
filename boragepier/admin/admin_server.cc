#include "boragepier/admin/admin_server.h"

#include <algorithm>
#include <array>
#include <istream>
#include <optional>
#include <ostream>
#include <string_view>
#include <thread>
#include <utility>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include "boragepier/admin/admin_api.h"
#include "boragepier/net/reserved_port.h"

namespace boragepier::admin {

namespace {

// A connection that sends slowly holds a thread for at most the read timeout.
constexpr int kReadTimeoutMs = 2000;
constexpr int kWriteTimeoutMs = 5000;
constexpr int kKeepAliveMs = 5000;
constexpr unsigned kMinThreads = 2;
constexpr unsigned kMaxThreads = 8;

std::string_view
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 411:
      return "Length Required";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    default:
      return "Service Unavailable";
  }
}

// Says why a body cannot be read; cxxtools ignores a length that is not a number and misreads
// chunked bodies.
std::optional<AdminResponse>
CheckFraming(const cxxtools::http::Request& aRequest)
{
  if (aRequest.hasHeader("Transfer-Encoding")) {
    return ErrorResponse(411, "length-required", "send the body with Content-Length");
  }
  const char* const header = aRequest.getHeader("Content-Length");
  if (header == nullptr) {
    return std::nullopt;
  }
  const std::string_view length = header;
  if (length.empty() || length.size() > 9 ||
      length.find_first_not_of("0123456789") != std::string_view::npos) {
    return ErrorResponse(400, "bad-length", "Content-Length is not a number of up to 9 digits");
  }
  if (std::stoul(std::string(length)) > kMaxAnnounceBody) {
    return ErrorResponse(
      413, "body-too-large", "accepted are " + std::to_string(kMaxAnnounceBody) + " bytes");
  }
  return std::nullopt;
}

class BodyRefused : public Error
{
public:
  using Error::Error;
};

// Serves one request.
class Responder : public cxxtools::http::Responder
{
public:
  Responder(cxxtools::http::Service& aService, const AdminApi& aApi)
    : cxxtools::http::Responder(aService)
    , api_(aApi)
  {
  }

  void beginRequest(cxxtools::net::TcpSocket& /*aSocket*/,
                    std::istream& /*aInput*/,
                    cxxtools::http::Request& aRequest) override
  {
    body_.clear();
    refused_ = CheckFraming(aRequest);
    const char* const length = aRequest.getHeader("Content-Length");
    length_ = refused_ || length == nullptr ? 0 : std::stoul(length);
  }

  std::size_t readBody(std::istream& aInput) override
  {
    if (refused_) {
      throw BodyRefused("the body is not read");
    }
    // Takes all that has arrived: cxxtools calls again only when more arrives. Bytes behind the
    // body belong to the next request.
    const std::size_t before = body_.size();
    std::array<char, 4096> buffer{};
    while (aInput.rdbuf()->in_avail() > 0 && body_.size() < length_) {
      const std::size_t wanted = std::min(buffer.size(), length_ - body_.size());
      const std::streamsize count =
        aInput.readsome(buffer.data(), static_cast<std::streamsize>(wanted));
      body_.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return body_.size() - before;
  }

  void reply(std::ostream& aOutput,
             cxxtools::http::Request& aRequest,
             cxxtools::http::Reply& aReply) override
  {
    if (refused_) {
      Write(aOutput, aReply, *refused_, true);
      return;
    }
    Write(aOutput,
          aReply,
          api_.Handle({ .method_ = aRequest.method(),
                        .path_ = aRequest.url(),
                        .query_ = aRequest.qparams(),
                        .body_ = body_ }),
          false);
  }

  void replyError(std::ostream& aOutput,
                  cxxtools::http::Request& /*aRequest*/,
                  cxxtools::http::Reply& aReply,
                  const std::exception& /*aError*/) override
  {
    Write(aOutput,
          aReply,
          refused_.value_or(ErrorResponse(400, "bad-request", "the request cannot be read")),
          true);
  }

private:
  static void Write(std::ostream& aOutput,
                    cxxtools::http::Reply& aReply,
                    const AdminResponse& aResponse,
                    bool aClose)
  {
    aReply.httpReturn(static_cast<unsigned>(aResponse.status_),
                      std::string(ReasonPhrase(aResponse.status_)));
    aReply.setHeader("Content-Type", std::string(aResponse.contentType_).c_str());
    aReply.setHeader("Cache-Control", "no-store");
    if (aClose) {
      aReply.setHeader("Connection", "close");
    }
    aOutput << aResponse.body_;
  }

  const AdminApi& api_;
  std::string body_;
  std::size_t length_ = 0; ///< of the body, as announced
  std::optional<AdminResponse> refused_;
};

class Service : public cxxtools::http::Service
{
public:
  explicit Service(AdminHooks aHooks)
    : api_(std::move(aHooks))
  {
  }

protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request& /*aRequest*/) override
  {
    return std::make_unique<Responder>(*this, api_).release();
  }
  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    const std::unique_ptr<cxxtools::http::Responder> owner(aResponder);
  }

private:
  AdminApi api_;
};

} // namespace

class AdminServer::Impl
{
public:
  Impl(const std::string& aAddress, std::uint16_t aPort, AdminHooks aHooks)
    : service_(std::move(aHooks))
    , server_(loop_)
  {
    server_.minThreads(kMinThreads);
    server_.maxThreads(kMaxThreads);
    server_.readTimeout(cxxtools::Milliseconds(kReadTimeoutMs));
    server_.writeTimeout(cxxtools::Milliseconds(kWriteTimeoutMs));
    server_.keepAliveTimeout(cxxtools::Milliseconds(kKeepAliveMs));
    server_.addService(cxxtools::Regex(".*"), service_);
    port_ = Listen(aAddress, aPort);
    thread_ = std::thread([this] { loop_.run(); });
  }

  ~Impl()
  {
    loop_.exit();
    thread_.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::uint16_t port_ = 0;

private:
  std::uint16_t Listen(const std::string& aAddress, std::uint16_t aPort)
  {
    std::optional<net::ReservedPort> reserved;
    if (aPort == 0) {
      reserved.emplace(aAddress);
    }
    const std::uint16_t port = reserved ? reserved->Port() : aPort;
    try {
      server_.listen(aAddress, port);
    } catch (const std::exception& error) {
      throw AdminListenError("cannot listen on " + aAddress + ":" + std::to_string(port) + ": " +
                             error.what());
    }
    return port;
  }

  cxxtools::EventLoop loop_;
  Service service_;
  cxxtools::http::Server server_;
  std::thread thread_;
};

AdminServer::AdminServer(const std::string& aAddress, std::uint16_t aPort, AdminHooks aHooks)
  : impl_(std::make_unique<Impl>(aAddress, aPort, std::move(aHooks)))
{
}

AdminServer::~AdminServer() = default;

std::uint16_t
AdminServer::Port() const
{
  return impl_->port_;
}

} // namespace boragepier::admin
