#include "testing/platform/platform_server.h"

#include <nlohmann/json.hpp>

#include "boragepier/platform/instance_codec.h"
#include "boragepier/platform/table_codec.h"

namespace boragepier::testing {

namespace {

using nlohmann::json;

constexpr std::string_view kObjectsPath = "/objects/";
constexpr std::string_view kInstancesPath = "/instances/";
// Limits the lag of the process list that can be simulated.
constexpr Duration kListHistoryLength = std::chrono::minutes(10);

http::Response
MakeJsonResponse(int aStatus, std::string aBody)
{
  http::Response response;
  response.status_ = aStatus;
  response.headers_.Set("Content-Type", "application/json");
  response.body_ = std::move(aBody);
  return response;
}

http::Response
MakeErrorResponse(int aStatus, std::string_view aReason)
{
  return MakeJsonResponse(aStatus, platform::EncodeNotApplied(aReason));
}

} // namespace

PlatformServer::PlatformServer(net::EventLoop& aLoop)
  : loop_(aLoop)
  , server_(
      aLoop,
      { .maxBody_ = std::size_t{ 64 } << 20 },
      [this](const std::shared_ptr<http::Exchange>& aExchange) { OnRequest(aExchange); },
      [](RefusalReason aReason) {
        return MakeErrorResponse(HttpStatusOf(aReason), ToString(aReason));
      })
{
  listHistory_.emplace_back(MonotonicTime::min(), ProcessList{});
}

std::uint16_t
PlatformServer::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  return server_.Listen(aAddress, aPort);
}

void
PlatformServer::OnRequest(const std::shared_ptr<http::Exchange>& aExchange)
{
  const bool isControl = aExchange->GetRequest().target_.starts_with("/control");
  if (isControl || faults_.responseDelayMs_ == 0) {
    HandleRequest(aExchange);
    return;
  }
  loop_.After(std::chrono::milliseconds(faults_.responseDelayMs_),
              [this, aExchange] { HandleRequest(aExchange); });
}

void
PlatformServer::HandleRequest(const std::shared_ptr<http::Exchange>& aExchange)
{
  const http::Request& request = aExchange->GetRequest();
  if (faults_.unreachable_ && !request.target_.starts_with("/control")) {
    aExchange->Abort();
    return;
  }
  requestIsWrite_ = false;
  http::Response response;
  try {
    response = Route(request);
  } catch (const platform::ProtocolError& error) {
    response = MakeErrorResponse(400, error.what());
  } catch (const json::exception& error) {
    response = MakeErrorResponse(400, error.what());
  }
  if (ConsumeLostAnswer()) {
    aExchange->Abort();
  } else {
    aExchange->Respond(std::move(response));
  }
}

bool
PlatformServer::ConsumeLostAnswer()
{
  if (!requestIsWrite_ || faults_.writeAnswersToLose_ == 0) {
    return false;
  }
  --faults_.writeAnswersToLose_;
  return true;
}

http::Response
PlatformServer::Route(const http::Request& aRequest)
{
  const std::string_view target = aRequest.target_;
  const std::string_view method = aRequest.method_;
  if (method == "POST" && target == "/table") {
    return ServeTable(aRequest);
  }
  if (target.starts_with(kObjectsPath) && (method == "GET" || method == "PUT")) {
    return ServeObject(aRequest, target.substr(kObjectsPath.size()));
  }
  if (method == "GET" && target == "/instances") {
    return ServeList(aRequest);
  }
  if (target.starts_with(kInstancesPath) && (method == "PUT" || method == "DELETE")) {
    return UpdateList(aRequest, std::string(target.substr(kInstancesPath.size())));
  }
  if (method == "POST" && target == "/control") {
    return ApplyControl(aRequest.body_);
  }
  if (method == "GET" && target == "/control/counts") {
    return CountsAsJson();
  }
  return MakeErrorResponse(404, "unknown resource");
}

http::Response
PlatformServer::ServeTable(const http::Request& aRequest)
{
  if (faults_.tableDown_) {
    return MakeErrorResponse(503, "table is unavailable");
  }
  const TableRequest request = platform::DecodeTableRequest(aRequest.body_);
  requestIsWrite_ = HoldsWrite(request);
  ++(requestIsWrite_ ? writes_ : reads_);
  operations_ += request.operations_.size();
  return MakeJsonResponse(200, platform::EncodeTableResults(table_.Apply(request)));
}

http::Response
PlatformServer::ServeObject(const http::Request& aRequest, std::string_view aName)
{
  if (faults_.tableDown_) {
    return MakeErrorResponse(503, "object store is unavailable");
  }
  if (aRequest.method_ == "PUT") {
    requestIsWrite_ = true;
    ++writes_;
    objects_.insert_or_assign(std::string(aName), aRequest.body_);
    return MakeJsonResponse(200, "{}");
  }
  ++reads_;
  const auto object = objects_.find(aName);
  return object == objects_.end() ? MakeJsonResponse(404, "{}")
                                  : MakeJsonResponse(200, object->second);
}

http::Response
PlatformServer::ServeList(const http::Request& aRequest)
{
  if (faults_.listDown_) {
    return MakeErrorResponse(503, "process list is unavailable");
  }
  ++listReads_;
  const MonotonicTime now = loop_.Now();
  while (listHistory_.size() > 1 && listHistory_[1].first <= now - kListHistoryLength) {
    listHistory_.pop_front();
  }
  const MonotonicTime visibleTime = now - std::chrono::milliseconds(faults_.listLagMs_);
  const ProcessList* list = &listHistory_.front().second;
  for (const auto& [time, version] : listHistory_) {
    list = time <= visibleTime ? &version : list;
  }
  http::Response response = MakeJsonResponse(200, platform::EncodeProcessList(*list));
  const std::string etag =
    '"' + std::to_string(std::hash<std::string_view>()(response.body_)) + '"';
  if (aRequest.headers_.Get("If-None-Match") == etag) {
    ++listUnchanged_;
    response = MakeJsonResponse(304, "");
  }
  response.headers_.Set("ETag", etag);
  return response;
}

http::Response
PlatformServer::UpdateList(const http::Request& aRequest, const std::string& aId)
{
  if (aRequest.method_ == "DELETE") {
    processes_.erase(aId);
  } else {
    ListedProcess process = platform::DecodeProcess(aRequest.body_);
    if (process.id_ != aId) {
      return MakeErrorResponse(400, "id in the body differs from the id in the path");
    }
    processes_.insert_or_assign(aId, std::move(process));
  }
  ProcessList list;
  for (const auto& [id, process] : processes_) {
    list.push_back(process);
  }
  listHistory_.emplace_back(loop_.Now(), std::move(list));
  return MakeJsonResponse(200, "{}");
}

http::Response
PlatformServer::ApplyControl(std::string_view aBody)
{
  const json faultSettings = json::parse(aBody);
  PlatformFaults faults = faults_;
  for (const auto& [name, value] : faultSettings.items()) {
    if (name == "down") {
      faults.unreachable_ = value.get<bool>();
    } else if (name == "table_down") {
      faults.tableDown_ = value.get<bool>();
    } else if (name == "list_down") {
      faults.listDown_ = value.get<bool>();
    } else if (name == "slow_ms") {
      faults.responseDelayMs_ = value.get<std::uint64_t>();
    } else if (name == "lose_next_write_answers") {
      faults.writeAnswersToLose_ = value.get<std::uint64_t>();
    } else if (name == "list_lag_ms") {
      faults.listLagMs_ = value.get<std::uint64_t>();
    } else {
      return MakeErrorResponse(400, "unknown fault setting " + name);
    }
  }
  faults_ = faults;
  return MakeJsonResponse(200, "{}");
}

http::Response
PlatformServer::CountsAsJson() const
{
  return MakeJsonResponse(200,
                          json{ { "reads", reads_ },
                                { "writes", writes_ },
                                { "operations", operations_ },
                                { "list_reads", listReads_ },
                                { "list_unchanged", listUnchanged_ } }
                            .dump());
}

} // namespace boragepier::testing
