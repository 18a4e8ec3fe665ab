#include "apps/boragepierctl/remote.h"

#include <utility>

#include "apps/boragepierctl/ctl_errors.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/platform/http_platform.h"
#include "boragepier/state/config_publisher.h"

namespace boragepier::ctl {

namespace {

constexpr std::size_t kMaxAnswer = std::size_t{ 64 } << 20;

// The adapters of the platform in a loop of their own, for one operation.
struct Session
{
  Session(const Endpoint& aEndpoint, Duration aTimeout)
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
ThrowUnavailable(const Endpoint& aEndpoint, std::string_view aWhat)
{
  throw PlatformUnavailableError("the platform at " + ToString(aEndpoint) + " did not answer the " +
                                 std::string(aWhat) +
                                 "; check --platform and try again, nothing was changed");
}

std::optional<ConfigRecord>
RecordOf(const TableOperationResult& aResult)
{
  if (!aResult.row_) {
    return std::nullopt;
  }
  return DecodeConfigRecord(aResult.row_->value_);
}

std::string
FailureText(const http::SendResult& aResult)
{
  return "no answer: " + std::string(ToString(aResult.failure_));
}

} // namespace

std::vector<AdminAnswer>
AskInstances(std::span<const AdminTarget> aTargets,
             const http::Request& aRequest,
             Duration aTimeout)
{
  std::vector<AdminAnswer> answers;
  for (const AdminTarget& target : aTargets) {
    answers.push_back({ target, 0, "" });
  }
  if (answers.empty()) {
    return answers;
  }
  net::EventLoop loop;
  http::Client client(loop);
  const auto request = std::make_shared<const http::Request>(aRequest);
  std::size_t waiting = answers.size();
  loop.Post([&] {
    for (AdminAnswer& answer : answers) {
      const Endpoint& endpoint = answer.target_.endpoint_;
      client.Send({ endpoint.address_, endpoint.port_ },
                  request,
                  { .timeout_ = aTimeout, .maxResponseBody_ = kMaxAnswer },
                  [&](http::SendResult aResult) {
                    const bool answered = aResult.outcome_ == Outcome::Answered;
                    answer.status_ = answered ? aResult.response_.status_ : 0;
                    answer.body_ =
                      answered ? std::move(aResult.response_.body_) : FailureText(aResult);
                    if (--waiting == 0) {
                      loop.Stop();
                    }
                  });
    }
  });
  loop.Run();
  return answers;
}

Platform::Platform(Endpoint aEndpoint, Duration aTimeout)
  : endpoint_(std::move(aEndpoint))
  , timeout_(aTimeout)
{
}

std::vector<std::optional<ConfigRecord>>
Platform::ReadRecords(std::span<const ServiceName> aServices)
{
  Session session(endpoint_, timeout_);
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
    ThrowUnavailable(endpoint_, "reading of the present versions");
  }
  std::vector<std::optional<ConfigRecord>> records;
  records.reserve(reply.results_.size());
  for (const TableOperationResult& result : reply.results_) {
    records.push_back(RecordOf(result));
  }
  return records;
}

PublishResult
Platform::Publish(PublishRequest aRequest)
{
  Session session(endpoint_, timeout_);
  ConfigPublisher publisher(session.table_);
  aRequest.deadline_ = session.deadline_;
  PublishResult result = PublishUnknown("not finished");
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
Platform::ListInstances(std::uint16_t aAdminPort)
{
  Session session(endpoint_, timeout_);
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
    ThrowUnavailable(endpoint_, "reading of the instance list");
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
FindInstances(const CtlOptions& aOptions)
{
  std::vector<AdminTarget> targets;
  for (const Endpoint& endpoint : aOptions.instances_) {
    targets.push_back({ endpoint, ToString(endpoint), "" });
  }
  if (!targets.empty()) {
    return targets;
  }
  if (!aOptions.platform_) {
    throw UsageError("give --instance IP:PORT for each instance, or --platform IP:PORT");
  }
  return Platform(*aOptions.platform_, aOptions.timeout_).ListInstances(aOptions.adminPort_);
}

} // namespace boragepier::ctl
