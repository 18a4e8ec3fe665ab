#include "apps/boragepierctl/blocking_calls.h"

#include <utility>

#include "apps/boragepierctl/ctl_errors.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/platform/http_platform.h"
#include "boragepier/state/config_publisher.h"

namespace boragepier::ctl {

namespace {

constexpr std::size_t kMaxResponseBodyBytes = std::size_t{ 64 } << 20;

// Platform client with its own event loop, for one operation.
struct PlatformSession
{
  PlatformSession(const Endpoint& aEndpoint, Duration aTimeout)
    : client_(loop_)
    , platform_(loop_,
                client_,
                { .target_ = { aEndpoint.address_, aEndpoint.port_ },
                  .requestTimeout_ = std::min<Duration>(aTimeout, std::chrono::seconds(2)) })
    , table_(platform_)
    , deadline_(loop_.Now() + aTimeout)
  {
  }

  net::EventLoop loop_;
  http::Client client_;
  platform::PlatformClient platform_;
  platform::HttpTableStore table_;
  MonotonicTime deadline_;
};

[[noreturn]] void
ThrowUnavailable(const Endpoint& aEndpoint, std::string_view aOperation)
{
  throw PlatformUnavailableError("the platform at " + ToString(aEndpoint) + " did not answer the " +
                                 std::string(aOperation) +
                                 "; check --platform and try again; nothing was changed");
}

std::optional<ConfigRecord>
DecodeRecord(const TableOperationResult& aResult)
{
  if (!aResult.row_) {
    return std::nullopt;
  }
  return DecodeConfigRecord(aResult.row_->value_);
}

std::string
ErrorText(const http::SendResult& aResult)
{
  return "no response: " + std::string(ToString(aResult.failure_));
}

} // namespace

std::vector<AdminResponse>
SendToInstances(std::span<const AdminTarget> aTargets,
                const http::Request& aRequest,
                Duration aTimeout)
{
  std::vector<AdminResponse> responses;
  for (const AdminTarget& target : aTargets) {
    responses.push_back({ target, 0, "" });
  }
  if (responses.empty()) {
    return responses;
  }
  net::EventLoop loop;
  http::Client client(loop);
  const auto request = std::make_shared<const http::Request>(aRequest);
  std::size_t pendingResponses = responses.size();
  loop.Post([&] {
    for (AdminResponse& response : responses) {
      const Endpoint& endpoint = response.target_.endpoint_;
      client.Send({ endpoint.address_, endpoint.port_ },
                  request,
                  { .timeout_ = aTimeout, .maxResponseBody_ = kMaxResponseBodyBytes },
                  [&](const http::SendResult& aResult) {
                    const bool answered = aResult.outcome_ == Outcome::Answered;
                    response.status_ = answered ? aResult.response_.status_ : 0;
                    response.bodyOrError_ =
                      answered ? aResult.response_.body_.Text() : ErrorText(aResult);
                    if (--pendingResponses == 0) {
                      loop.Stop();
                    }
                  });
    }
  });
  loop.Run();
  return responses;
}

BlockingPlatformClient::BlockingPlatformClient(Endpoint aEndpoint, Duration aTimeout)
  : endpoint_(std::move(aEndpoint))
  , timeout_(aTimeout)
{
}

std::vector<std::optional<ConfigRecord>>
BlockingPlatformClient::ReadRecords(std::span<const ServiceName> aServices)
{
  PlatformSession session(endpoint_, timeout_);
  TableRequest request;
  for (const ServiceName& service : aServices) {
    TableOperation read;
    read.key_ = ConfigRowKey(service);
    request.operations_.push_back(std::move(read));
  }
  TableReply reply;
  session.loop_.Post([&] {
    session.table_.Submit(request, session.deadline_, [&](TableReply aReply) {
      reply = std::move(aReply);
      session.loop_.Stop();
    });
  });
  session.loop_.Run();
  if (reply.status_ != TableReply::Status::Done || reply.results_.size() != aServices.size()) {
    ThrowUnavailable(endpoint_, "request for the service versions");
  }
  std::vector<std::optional<ConfigRecord>> records;
  records.reserve(reply.results_.size());
  for (const TableOperationResult& result : reply.results_) {
    records.push_back(DecodeRecord(result));
  }
  return records;
}

PublishResult
BlockingPlatformClient::Publish(PublishRequest aRequest)
{
  PlatformSession session(endpoint_, timeout_);
  ConfigPublisher publisher(session.table_);
  aRequest.deadline_ = session.deadline_;
  PublishResult result = PublishUnknown("the publish did not finish");
  session.loop_.Post([&] {
    publisher.Publish(aRequest, session.loop_.Now(), [&](PublishResult aResult) {
      result = std::move(aResult);
      session.loop_.Stop();
    });
  });
  session.loop_.Run();
  return result;
}

std::vector<AdminTarget>
BlockingPlatformClient::ListAdminTargets(std::uint16_t aAdminPort)
{
  PlatformSession session(endpoint_, timeout_);
  platform::HttpInstanceList list(session.platform_);
  std::optional<std::vector<ListedProcess>> processes;
  session.loop_.Post([&] {
    list.Fetch([&](std::optional<std::vector<ListedProcess>> aProcesses) {
      processes = std::move(aProcesses);
      session.loop_.Stop();
    });
  });
  session.loop_.Run();
  if (!processes) {
    ThrowUnavailable(endpoint_, "request for the instance list");
  }
  std::vector<AdminTarget> targets;
  for (const ListedProcess& process : *processes) {
    const std::uint16_t port = process.adminPort_ != 0 ? process.adminPort_ : aAdminPort;
    if (process.role_ == "entry" && !process.leaving_ && port != 0) {
      targets.push_back({ { process.address_, port }, process.id_, process.zone_ });
    }
  }
  return targets;
}

std::vector<AdminTarget>
ResolveAdminTargets(const CtlOptions& aOptions)
{
  std::vector<AdminTarget> targets;
  for (const Endpoint& endpoint : aOptions.adminEndpoints_) {
    targets.push_back({ endpoint, ToString(endpoint), "" });
  }
  if (!targets.empty()) {
    return targets;
  }
  if (!aOptions.platformEndpoint_) {
    throw UsageError(
      "the instances are not known; give --instance IP:PORT for each, or --platform IP:PORT");
  }
  return BlockingPlatformClient(*aOptions.platformEndpoint_, aOptions.timeout_)
    .ListAdminTargets(aOptions.adminPort_);
}

} // namespace boragepier::ctl
