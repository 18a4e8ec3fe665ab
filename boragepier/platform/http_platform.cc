#include "boragepier/platform/http_platform.h"

#include <algorithm>
#include <memory>

#include "boragepier/base/internal_error.h"
#include "boragepier/platform/instance_codec.h"
#include "boragepier/platform/table_codec.h"

namespace boragepier::platform {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;
constexpr int kStatusNotFound = 404;

http::Request
MakeRequest(std::string_view aMethod, std::string aTarget, std::string aBody = {})
{
  http::Request request{ std::string(aMethod), std::move(aTarget), {}, std::move(aBody) };
  request.headers_.Set("Accept", "application/json");
  return request;
}

// Whether no byte of the request was sent, or the platform states that it did not apply it.
bool
IsCertainlyNotApplied(const http::SendResult& aResult)
{
  return aResult.outcome_ == Outcome::NotRun ||
         (aResult.outcome_ == Outcome::Answered && aResult.response_.status_ != kStatusOk &&
          IsNotApplied(aResult.response_.body_));
}

TableReply
ToTableReply(const http::SendResult& aResult, const TableRequest& aRequest)
{
  if (IsCertainlyNotApplied(aResult)) {
    return { TableReply::Status::Unavailable, {} };
  }
  if (aResult.outcome_ == Outcome::Answered && aResult.response_.status_ == kStatusOk) {
    try {
      return { TableReply::Status::Done, DecodeTableResults(aResult.response_.body_, aRequest) };
    } catch (const ProtocolError&) {
      return { TableReply::Status::Unknown, {} };
    } catch (const std::exception&) {
      ReportInternalError(ErrorScope::Answer);
      return { TableReply::Status::Unknown, {} };
    }
  }
  return { TableReply::Status::Unknown, {} };
}

ObjectStatus
ToObjectStatus(const http::SendResult& aResult)
{
  if (IsCertainlyNotApplied(aResult)) {
    return ObjectStatus::Unavailable;
  }
  if (aResult.outcome_ != Outcome::Answered) {
    return ObjectStatus::Unknown;
  }
  switch (aResult.response_.status_) {
    case kStatusOk:
      return ObjectStatus::Done;
    case kStatusNotFound:
      return ObjectStatus::NotFound;
    default:
      return ObjectStatus::Unknown;
  }
}

// Other characters could make the request target another resource of the platform.
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
                     bool aIsWrite,
                     MonotonicTime aDeadline,
                     http::Client::Callback aDone)
{
  const Duration timeout = std::min(aDeadline - loop_.Now(), options_.requestTimeout_);
  if (timeout <= Duration::zero()) {
    loop_.Post([done = std::move(aDone)] { done({}); });
    return;
  }
  http::SendOptions options;
  options.timeout_ = timeout;
  // The outcome of a write on a connection that the platform has just closed is Unknown, and
  // finding it out takes a read.
  options.recentlyActiveOnly_ = aIsWrite;
  options.maxConnections_ = options_.maxConnections_;
  options.maxResponseBody_ = options_.maxResponseBytes_;
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
  const bool isWrite = HoldsWrite(aRequest);
  platform_.Send(std::move(request),
                 isWrite,
                 aDeadline,
                 [done = std::move(aDone), tableRequest = std::move(aRequest)](
                   const http::SendResult& aResult) { done(ToTableReply(aResult, tableRequest)); });
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
    [done = std::move(aDone)](const http::SendResult& aResult) { done(ToObjectStatus(aResult)); });
}

void
HttpObjectStore::Get(std::string_view aName, MonotonicTime aDeadline, GetCallback aDone)
{
  if (!IsObjectName(aName)) {
    platform_.Loop().Post([done = std::move(aDone)] { done(ObjectStatus::NotFound, {}); });
    return;
  }
  platform_.Send(
    MakeRequest("GET", "/objects/" + std::string(aName)),
    false,
    aDeadline,
    [done = std::move(aDone)](const http::SendResult& aResult) {
      const ObjectStatus status = ToObjectStatus(aResult);
      done(status, status == ObjectStatus::Done ? aResult.response_.body_.Text() : std::string());
    });
}

void
HttpInstanceList::Fetch(ListCallback aDone)
{
  const MonotonicTime deadline = platform_.Loop().Now() + platform_.RequestTimeout();
  http::Request request = MakeRequest("GET", "/instances");
  if (!listEtag_.empty()) {
    request.headers_.Set("If-None-Match", listEtag_);
  }
  platform_.Send(std::move(request),
                 false,
                 deadline,
                 [this, done = std::move(aDone)](const http::SendResult& aResult) {
                   done(ProcessResponse(aResult));
                 });
}

std::optional<std::vector<ListedProcess>>
HttpInstanceList::ProcessResponse(const http::SendResult& aResult)
{
  const http::Response& response = aResult.response_;
  if (aResult.outcome_ != Outcome::Answered) {
    return std::nullopt;
  }
  if (response.status_ == kStatusNotModified && !listEtag_.empty()) {
    return lastList_;
  }
  if (response.status_ != kStatusOk) {
    return std::nullopt;
  }
  try {
    lastList_ = DecodeProcessList(response.body_);
    listEtag_ = std::string(response.headers_.Get("ETag").value_or(""));
  } catch (const ProtocolError&) {
    return std::nullopt;
  } catch (const std::exception&) {
    ReportInternalError(ErrorScope::Answer);
    return std::nullopt;
  }
  return lastList_;
}

} // namespace boragepier::platform
