#include "boragepier/platform/http_platform.h"

#include <algorithm>
#include <memory>

#include "boragepier/platform/instance_codec.h"
#include "boragepier/platform/table_codec.h"

namespace boragepier::platform {

namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;

http::Request
MakeRequest(std::string_view aMethod, std::string aTarget, std::string aBody = {})
{
  http::Request request{ std::string(aMethod), std::move(aTarget), {}, std::move(aBody) };
  request.headers_.Set("Accept", "application/json");
  return request;
}

// What is certain about a request that did not bring the wanted answer.
bool
IsCertainlyNotApplied(const http::SendResult& aResult)
{
  return aResult.outcome_ == Outcome::NotRun ||
         (aResult.outcome_ == Outcome::Answered && aResult.response_.status_ != kOk &&
          IsNotApplied(aResult.response_.body_));
}

TableReply
ReplyOf(const http::SendResult& aResult, const TableRequest& aRequest)
{
  if (IsCertainlyNotApplied(aResult)) {
    return { TableReply::Status::Unavailable, {} };
  }
  if (aResult.outcome_ == Outcome::Answered && aResult.response_.status_ == kOk) {
    try {
      return { TableReply::Status::Done, DecodeTableResults(aResult.response_.body_, aRequest) };
    } catch (const ProtocolError&) {
      return { TableReply::Status::Unknown, {} };
    }
  }
  return { TableReply::Status::Unknown, {} };
}

ObjectStatus
ObjectStatusOf(const http::SendResult& aResult)
{
  if (IsCertainlyNotApplied(aResult)) {
    return ObjectStatus::Unavailable;
  }
  if (aResult.outcome_ != Outcome::Answered) {
    return ObjectStatus::Unknown;
  }
  switch (aResult.response_.status_) {
    case kOk:
      return ObjectStatus::Done;
    case kNotFound:
      return ObjectStatus::NotFound;
    default:
      return ObjectStatus::Unknown;
  }
}

// A name with other characters could reach another resource of the platform.
bool
IsObjectName(std::string_view aName)
{
  const auto allowed = [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
           (aChar >= '0' && aChar <= '9') || aChar == '.' || aChar == '-' || aChar == '_';
  };
  return !aName.empty() && std::ranges::all_of(aName, allowed) && aName != "." && aName != "..";
}

} // namespace

PlatformClient::PlatformClient(net::EventLoop& aLoop,
                               http::Client& aClient,
                               PlatformOptions aOptions)
  : loop_(aLoop)
  , client_(aClient)
  , options_(std::move(aOptions))
{
}

void
PlatformClient::Send(http::Request aRequest,
                     bool aChanges,
                     MonotonicTime aDeadline,
                     http::Client::Callback aDone)
{
  const Duration left = std::min(aDeadline - loop_.Now(), options_.requestTimeout_);
  if (left <= Duration::zero()) {
    loop_.Post([done = std::move(aDone)] { done({}); });
    return;
  }
  http::SendOptions options;
  options.timeout_ = left;
  // A request on a connection that its peer has just closed is Unknown, which costs a read.
  options.recentlyActiveOnly_ = aChanges;
  options.maxConnections_ = options_.maxConnections_;
  options.maxResponseBody_ = options_.maxResponse_;
  client_.Send(options_.target_,
               std::make_shared<const http::Request>(std::move(aRequest)),
               options,
               std::move(aDone));
}

void
HttpTableStore::Submit(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
{
  std::string body;
  try {
    body = EncodeTableRequest(aRequest);
  } catch (const ProtocolError&) {
    platform_.Loop().Post([done = std::move(aDone)] { done({}); });
    return;
  }
  http::Request request = MakeRequest("POST", "/table", std::move(body));
  request.headers_.Set("Content-Type", "application/json");
  const bool changes = HoldsWrite(aRequest);
  platform_.Send(std::move(request),
                 changes,
                 aDeadline,
                 [done = std::move(aDone), sent = std::move(aRequest)](
                   const http::SendResult& aResult) { done(ReplyOf(aResult, sent)); });
}

void
HttpObjectStore::Put(std::string_view aName,
                     std::string aBytes,
                     MonotonicTime aDeadline,
                     PutCallback aDone)
{
  if (!IsObjectName(aName)) {
    platform_.Loop().Post([done = std::move(aDone)] { done(ObjectStatus::Unavailable); });
    return;
  }
  platform_.Send(
    MakeRequest("PUT", "/objects/" + std::string(aName), std::move(aBytes)),
    true,
    aDeadline,
    [done = std::move(aDone)](const http::SendResult& aResult) { done(ObjectStatusOf(aResult)); });
}

void
HttpObjectStore::Get(std::string_view aName, MonotonicTime aDeadline, GetCallback aDone)
{
  if (!IsObjectName(aName)) {
    platform_.Loop().Post([done = std::move(aDone)] { done(ObjectStatus::NotFound, {}); });
    return;
  }
  platform_.Send(MakeRequest("GET", "/objects/" + std::string(aName)),
                 false,
                 aDeadline,
                 [done = std::move(aDone)](http::SendResult aResult) {
                   const ObjectStatus status = ObjectStatusOf(aResult);
                   done(status,
                        status == ObjectStatus::Done ? std::move(aResult.response_.body_)
                                                     : std::string());
                 });
}

void
HttpInstanceList::Fetch(ListCallback aDone)
{
  const MonotonicTime deadline = platform_.Loop().Now() + platform_.RequestTimeout();
  http::Request request = MakeRequest("GET", "/instances");
  if (!entityTag_.empty()) {
    request.headers_.Set("If-None-Match", entityTag_);
  }
  platform_.Send(
    std::move(request),
    false,
    deadline,
    [this, done = std::move(aDone)](const http::SendResult& aResult) { done(Accept(aResult)); });
}

std::optional<std::vector<ListedProcess>>
HttpInstanceList::Accept(const http::SendResult& aResult)
{
  const http::Response& response = aResult.response_;
  if (aResult.outcome_ != Outcome::Answered) {
    return std::nullopt;
  }
  if (response.status_ == kNotModified && !entityTag_.empty()) {
    return last_;
  }
  if (response.status_ != kOk) {
    return std::nullopt;
  }
  try {
    last_ = DecodeProcesses(response.body_);
    entityTag_ = std::string(response.headers_.Get("ETag").value_or(""));
  } catch (const ProtocolError&) {
    return std::nullopt;
  }
  return last_;
}

} // namespace boragepier::platform
