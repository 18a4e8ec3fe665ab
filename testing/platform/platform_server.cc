#include "testing/platform/platform_server.h"

#include <nlohmann/json.hpp>

#include "boragepier/platform/instance_codec.h"
#include "boragepier/platform/table_codec.h"

namespace boragepier::testing {

namespace {

using nlohmann::json;

constexpr std::string_view kObjects = "/objects/";
constexpr std::string_view kInstances = "/instances/";
// Longest lag of the list that can be switched on.
constexpr Duration kHistory = std::chrono::minutes(10);

http::Response
Answer(int aStatus, std::string aBody)
{
  http::Response response;
  response.status_ = aStatus;
  response.headers_.Set("Content-Type", "application/json");
  response.body_ = std::move(aBody);
  return response;
}

http::Response
Refuse(int aStatus, std::string_view aReason)
{
  return Answer(aStatus, platform::EncodeNotApplied(aReason));
}

} // namespace

PlatformServer::PlatformServer(net::EventLoop& aLoop)
  : loop_(aLoop)
  , server_(
      aLoop,
      { .maxBody_ = std::size_t{ 64 } << 20 },
      [this](const std::shared_ptr<http::Exchange>& aExchange) { OnRequest(aExchange); },
      [](RefusalReason aReason) { return Refuse(HttpStatusOf(aReason), ToString(aReason)); })
{
  history_.emplace_back(MonotonicTime::min(), List{});
}

std::uint16_t
PlatformServer::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  return server_.Listen(aAddress, aPort);
}

void
PlatformServer::OnRequest(const std::shared_ptr<http::Exchange>& aExchange)
{
  const bool control = aExchange->GetRequest().target_.starts_with("/control");
  if (control || faults_.slowMs_ == 0) {
    Serve(aExchange);
    return;
  }
  loop_.After(std::chrono::milliseconds(faults_.slowMs_), [this, aExchange] { Serve(aExchange); });
}

void
PlatformServer::Serve(const std::shared_ptr<http::Exchange>& aExchange)
{
  const http::Request& request = aExchange->GetRequest();
  if (faults_.down_ && !request.target_.starts_with("/control")) {
    aExchange->Abort();
    return;
  }
  lastWasWrite_ = false;
  http::Response response;
  try {
    response = Route(request);
  } catch (const platform::ProtocolError& error) {
    response = Refuse(400, error.what());
  } catch (const json::exception& error) {
    response = Refuse(400, error.what());
  }
  if (LosesAnswer()) {
    aExchange->Abort();
  } else {
    aExchange->Respond(std::move(response));
  }
}

bool
PlatformServer::LosesAnswer()
{
  if (!lastWasWrite_ || faults_.loseNextWriteAnswers_ == 0) {
    return false;
  }
  --faults_.loseNextWriteAnswers_;
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
  if (target.starts_with(kObjects) && (method == "GET" || method == "PUT")) {
    return ServeObject(aRequest, target.substr(kObjects.size()));
  }
  if (method == "GET" && target == "/instances") {
    return ServeList(aRequest);
  }
  if (target.starts_with(kInstances) && (method == "PUT" || method == "DELETE")) {
    return ChangeList(aRequest, std::string(target.substr(kInstances.size())));
  }
  if (method == "POST" && target == "/control") {
    return Control(aRequest.body_);
  }
  if (method == "GET" && target == "/control/counts") {
    return Counts();
  }
  return Refuse(404, "no such resource");
}

http::Response
PlatformServer::ServeTable(const http::Request& aRequest)
{
  if (faults_.tableDown_) {
    return Refuse(503, "table is down");
  }
  const TableRequest request = platform::DecodeTableRequest(aRequest.body_);
  lastWasWrite_ = HoldsWrite(request);
  ++(lastWasWrite_ ? writes_ : reads_);
  operations_ += request.operations_.size();
  return Answer(200, platform::EncodeTableResults(table_.Apply(request)));
}

http::Response
PlatformServer::ServeObject(const http::Request& aRequest, std::string_view aName)
{
  if (faults_.tableDown_) {
    return Refuse(503, "object store is down");
  }
  if (aRequest.method_ == "PUT") {
    lastWasWrite_ = true;
    ++writes_;
    objects_.insert_or_assign(std::string(aName), aRequest.body_);
    return Answer(200, "{}");
  }
  ++reads_;
  const auto object = objects_.find(aName);
  return object == objects_.end() ? Answer(404, "{}") : Answer(200, object->second);
}

http::Response
PlatformServer::ServeList(const http::Request& aRequest)
{
  if (faults_.listDown_) {
    return Refuse(503, "list is down");
  }
  ++listReads_;
  const MonotonicTime now = loop_.Now();
  while (history_.size() > 1 && history_[1].first <= now - kHistory) {
    history_.pop_front();
  }
  const MonotonicTime seen = now - std::chrono::milliseconds(faults_.listLagMs_);
  const List* list = &history_.front().second;
  for (const auto& [time, version] : history_) {
    list = time <= seen ? &version : list;
  }
  http::Response response = Answer(200, platform::EncodeProcessList(*list));
  const std::string tag = '"' + std::to_string(std::hash<std::string>()(response.body_)) + '"';
  if (aRequest.headers_.Get("If-None-Match") == tag) {
    ++listUnchanged_;
    response = Answer(304, "");
  }
  response.headers_.Set("ETag", tag);
  return response;
}

http::Response
PlatformServer::ChangeList(const http::Request& aRequest, const std::string& aId)
{
  if (aRequest.method_ == "DELETE") {
    processes_.erase(aId);
  } else {
    ListedProcess process = platform::DecodeProcess(aRequest.body_);
    if (process.id_ != aId) {
      return Refuse(400, "id differs from the one in the path");
    }
    processes_.insert_or_assign(aId, std::move(process));
  }
  List list;
  for (const auto& [id, process] : processes_) {
    list.push_back(process);
  }
  history_.emplace_back(loop_.Now(), std::move(list));
  return Answer(200, "{}");
}

http::Response
PlatformServer::Control(std::string_view aBody)
{
  const json switches = json::parse(aBody);
  PlatformFaults faults = faults_;
  for (const auto& [name, value] : switches.items()) {
    if (name == "down") {
      faults.down_ = value.get<bool>();
    } else if (name == "table_down") {
      faults.tableDown_ = value.get<bool>();
    } else if (name == "list_down") {
      faults.listDown_ = value.get<bool>();
    } else if (name == "slow_ms") {
      faults.slowMs_ = value.get<std::uint64_t>();
    } else if (name == "lose_next_write_answers") {
      faults.loseNextWriteAnswers_ = value.get<std::uint64_t>();
    } else if (name == "list_lag_ms") {
      faults.listLagMs_ = value.get<std::uint64_t>();
    } else {
      return Refuse(400, "unknown switch " + name);
    }
  }
  faults_ = faults;
  return Answer(200, "{}");
}

http::Response
PlatformServer::Counts() const
{
  return Answer(200,
                json{ { "reads", reads_ },
                      { "writes", writes_ },
                      { "operations", operations_ },
                      { "list_reads", listReads_ },
                      { "list_unchanged", listUnchanged_ } }
                  .dump());
}

} // namespace boragepier::testing
