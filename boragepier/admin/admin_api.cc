#include "boragepier/admin/admin_api.h"

#include <charconv>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include "boragepier/config/service_file.h"
#include "boragepier/telemetry/log.h"

namespace boragepier {

namespace {

using nlohmann::json;

std::string
Dump(const json& aJson)
{
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace);
}

AdminResponse
JsonResponse(int aStatus, const json& aJson)
{
  return { .status_ = aStatus, .contentType_ = "application/json", .body_ = Dump(aJson) + "\n" };
}

AdminResponse
Refused(int aStatus, std::string_view aError, const std::string& aDetail)
{
  Log(EventId::AdminRequestRefused, { { "error", aError }, { "detail", aDetail } });
  return ErrorResponse(aStatus, aError, aDetail);
}

// Request ids are hexadecimal text; anything else is refused instead of being searched for.
bool
IsRequestId(std::string_view aText)
{
  constexpr std::string_view kCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  return !aText.empty() && aText.size() <= 128 &&
         aText.find_first_not_of(kCharacters) == std::string_view::npos;
}

ConfigRecord
CheckedRecord(std::string_view aBody)
{
  ConfigRecord record = DecodeConfigRecord(aBody);
  if (record.version_ == 0) {
    throw ConfigRecordError("the version is 0; accepted are 1 and above");
  }
  const ServiceConfig config = ParseServiceFile(record.body_, "body");
  if (config.name_ != record.service_) {
    throw ConfigRecordError("the record is for service " + record.service_.Text() +
                            " but its body for " + config.name_.Text());
  }
  return record;
}

} // namespace

AdminResponse
ErrorResponse(int aStatus, std::string_view aError, const std::string& aDetail)
{
  return JsonResponse(aStatus, { { "error", aError }, { "detail", aDetail } });
}

AdminApi::AdminApi(AdminHooks aHooks)
  : hooks_(std::move(aHooks))
{
}

AdminResponse
AdminApi::Handle(const AdminRequest& aRequest) const
{
  try {
    return Route(aRequest);
  } catch (const std::exception& error) {
    Log(EventId::InternalError, { { "where", "admin" }, { "error", error.what() } });
    return ErrorResponse(503, "unavailable", "the instance cannot answer now; try again");
  }
}

AdminResponse
AdminApi::Route(const AdminRequest& aRequest) const
{
  const bool announce = aRequest.path_ == "/config/announce";
  const std::string_view allowed = announce ? "POST" : "GET";
  const bool known = announce || aRequest.path_ == "/live" || aRequest.path_ == "/ready" ||
                     aRequest.path_ == "/metrics" || aRequest.path_ == "/status" ||
                     aRequest.path_ == "/explain";
  if (!known) {
    return Refused(404,
                   "not-found",
                   "paths are /live, /ready, /metrics, /status, /explain and /config/announce");
  }
  if (aRequest.method_ != allowed) {
    return Refused(405, "method-not-allowed", "use " + std::string(allowed));
  }
  if (announce) {
    return Announce(aRequest.body_);
  }
  if (aRequest.path_ == "/live") {
    return Live();
  }
  if (aRequest.path_ == "/ready") {
    return Ready();
  }
  if (aRequest.path_ == "/metrics") {
    return { .status_ = 200,
             .contentType_ = "text/plain; version=0.0.4",
             .body_ = hooks_.metrics_->WritePrometheus(std::chrono::steady_clock::now()) };
  }
  if (aRequest.path_ == "/status") {
    return { .status_ = 200,
             .contentType_ = "application/json",
             .body_ = EncodeStatus(hooks_.status_()) + "\n" };
  }
  return ExplainQuery(aRequest.query_);
}

AdminResponse
AdminApi::Live() const
{
  const bool live = hooks_.live_();
  return JsonResponse(live ? 200 : 503, { { "live", live } });
}

AdminResponse
AdminApi::Ready() const
{
  const InstanceStatus status = hooks_.status_();
  return JsonResponse(status.ready_ ? 200 : 503,
                      { { "ready", status.ready_ }, { "reason", status.notReadyReason_ } });
}

AdminResponse
AdminApi::ExplainQuery(std::string_view aQuery) const
{
  const std::size_t equals = aQuery.find('=');
  const std::string_view name = aQuery.substr(0, equals);
  const std::string_view value =
    equals == std::string_view::npos ? std::string_view() : aQuery.substr(equals + 1);
  if (name == "id" && IsRequestId(value)) {
    const auto record = hooks_.explain_->Find(value);
    if (!record) {
      return ErrorResponse(404,
                           "request-unknown",
                           "the request was served by another instance or is older than the last " +
                             std::to_string(hooks_.explain_->Capacity()));
    }
    return { .status_ = 200, .contentType_ = "application/json", .body_ = ToJson(*record) + "\n" };
  }
  std::size_t count = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), count);
  if (name == "last" && !value.empty() && error == std::errc() &&
      end == value.data() + value.size() && count >= 1 && count <= kMaxExplainLast) {
    return { .status_ = 200,
             .contentType_ = "application/json",
             .body_ = ToJson(hooks_.explain_->Last(count)) + "\n" };
  }
  return Refused(400,
                 "bad-query",
                 "use id=REQUEST-ID or last=N with N from 1 to " + std::to_string(kMaxExplainLast));
}

AdminResponse
AdminApi::Announce(std::string_view aBody) const
{
  if (aBody.size() > kMaxAnnounceBody) {
    return Refused(
      413, "body-too-large", "accepted are " + std::to_string(kMaxAnnounceBody) + " bytes");
  }
  ConfigRecord record;
  try {
    record = CheckedRecord(aBody);
  } catch (const ConfigRecordError& error) {
    return Refused(400, "bad-record", error.what());
  } catch (const ConfigError& error) {
    return Refused(422, "bad-configuration", error.what());
  }
  Log(EventId::ConfigAnnounced,
      { { "service", record.service_ },
        { "version", record.version_ },
        { "publish", record.publishId_ } });
  const json answer{ { "service", record.service_.Text() }, { "version", record.version_ } };
  json result = answer;
  result["result"] =
    hooks_.announce_(std::move(record)) == AnnounceResult::Accepted ? "accepted" : "outdated";
  return JsonResponse(200, result);
}

} // namespace boragepier
