#include "boragepier/admin/admin_api.h"

#include <charconv>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include "boragepier/base/internal_error.h"
#include "boragepier/base/json_text.h"
#include "boragepier/config/service_file.h"
#include "boragepier/telemetry/log.h"

namespace boragepier {

namespace {

using nlohmann::json;

AdminResponse
JsonResponse(int aStatus, const json& aJson)
{
  return { .status_ = aStatus,
           .contentType_ = "application/json",
           .body_ = SerializeJson(aJson) + "\n" };
}

// Logs the refusal and returns the error response.
AdminResponse
RefuseAndLog(int aStatus, std::string_view aError, const std::string& aDetail)
{
  Log(EventId::AdminRequestRefused, { { "error", aError }, { "detail", aDetail } });
  return ErrorResponse(aStatus, aError, aDetail);
}

// Accepts up to 128 letters, digits, '-', '_' and '.'. Other text cannot be a request id, so it is
// refused without a search.
bool
IsRequestId(std::string_view aText)
{
  constexpr std::string_view kCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  return !aText.empty() && aText.size() <= 128 &&
         aText.find_first_not_of(kCharacters) == std::string_view::npos;
}

// Parses the service file in the body as well, so that the control thread receives only records
// that can be activated. Throws ConfigRecordError or ConfigError.
ConfigRecord
DecodeAndValidateRecord(std::string_view aBody)
{
  ConfigRecord record = DecodeConfigRecord(aBody);
  if (record.version_ == 0) {
    throw ConfigRecordError("the version is 0; it must be 1 or above");
  }
  const ServiceConfig config = ParseServiceFile(record.body_, "body");
  if (config.name_ != record.service_) {
    throw ConfigRecordError("the record names service " + record.service_.Text() +
                            " but its body configures " + config.name_.Text());
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
  } catch (...) {
    ReportInternalError(ErrorScope::AdminRequest);
    return ErrorResponse(
      503, "unavailable", "the instance cannot answer the request now; try again");
  }
}

AdminResponse
AdminApi::Route(const AdminRequest& aRequest) const
{
  const bool isAnnounce = aRequest.path_ == "/config/announce";
  const std::string_view allowedMethod = isAnnounce ? "POST" : "GET";
  const bool pathIsKnown = isAnnounce || aRequest.path_ == "/live" || aRequest.path_ == "/ready" ||
                           aRequest.path_ == "/metrics" || aRequest.path_ == "/status" ||
                           aRequest.path_ == "/explain";
  if (!pathIsKnown) {
    return RefuseAndLog(
      404,
      "not-found",
      "unknown path; use /live, /ready, /metrics, /status, /explain or /config/announce");
  }
  if (aRequest.method_ != allowedMethod) {
    return RefuseAndLog(
      405, "method-not-allowed", "this path accepts only " + std::string(allowedMethod));
  }
  if (isAnnounce) {
    return HandleAnnounce(aRequest.body_);
  }
  if (aRequest.path_ == "/live") {
    return HandleLive();
  }
  if (aRequest.path_ == "/ready") {
    return HandleReady();
  }
  if (aRequest.path_ == "/metrics") {
    return { .status_ = 200,
             .contentType_ = "text/plain; version=0.0.4",
             .body_ = hooks_.metrics_->WritePrometheus(std::chrono::steady_clock::now()) };
  }
  if (aRequest.path_ == "/status") {
    return { .status_ = 200,
             .contentType_ = "application/json",
             .body_ = EncodeInstanceStatus(hooks_.status_()) + "\n" };
  }
  return HandleExplain(aRequest.query_);
}

AdminResponse
AdminApi::HandleLive() const
{
  const bool live = hooks_.live_();
  return JsonResponse(live ? 200 : 503, { { "live", live } });
}

AdminResponse
AdminApi::HandleReady() const
{
  const InstanceStatus status = hooks_.status_();
  return JsonResponse(status.ready_ ? 200 : 503,
                      { { "ready", status.ready_ }, { "reason", status.notReadyReason_ } });
}

AdminResponse
AdminApi::HandleExplain(std::string_view aQuery) const
{
  const std::size_t equals = aQuery.find('=');
  const std::string_view name = aQuery.substr(0, equals);
  const std::string_view value =
    equals == std::string_view::npos ? std::string_view() : aQuery.substr(equals + 1);
  if (name == "id" && IsRequestId(value)) {
    const auto record = hooks_.explain_->Find(value);
    if (!record) {
      return ErrorResponse(
        404,
        "request-unknown",
        "no record of this request; it was served by another instance or is not among the latest " +
          std::to_string(hooks_.explain_->Capacity()));
    }
    return { .status_ = 200, .contentType_ = "application/json", .body_ = ToJson(*record) + "\n" };
  }
  std::size_t count = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), count);
  if (name == "last" && !value.empty() && error == std::errc() &&
      end == value.data() + value.size() && count >= 1 && count <= kMaxExplainRecords) {
    return { .status_ = 200,
             .contentType_ = "application/json",
             .body_ = ToJson(hooks_.explain_->Last(count)) + "\n" };
  }
  return RefuseAndLog(400,
                      "bad-query",
                      "the query must be id=REQUEST-ID or last=N with N from 1 to " +
                        std::to_string(kMaxExplainRecords));
}

AdminResponse
AdminApi::HandleAnnounce(std::string_view aBody) const
{
  if (aBody.size() > kMaxAnnounceBodyBytes) {
    return RefuseAndLog(413,
                        "body-too-large",
                        "the body may have at most " + std::to_string(kMaxAnnounceBodyBytes) +
                          " bytes");
  }
  ConfigRecord record;
  try {
    record = DecodeAndValidateRecord(aBody);
  } catch (const ConfigRecordError& error) {
    return RefuseAndLog(400, "bad-record", error.what());
  } catch (const ConfigError& error) {
    return RefuseAndLog(422, "bad-configuration", error.what());
  }
  Log(EventId::ConfigAnnounced,
      { { "service", record.service_ },
        { "version", record.version_ },
        { "publish", record.publishId_ } });
  const json recordIdentity{ { "service", record.service_.Text() },
                             { "version", record.version_ } };
  json response = recordIdentity;
  response["result"] =
    hooks_.announce_(std::move(record)) == AnnounceResult::Accepted ? "accepted" : "outdated";
  return JsonResponse(200, response);
}

} // namespace boragepier
