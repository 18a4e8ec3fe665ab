#include "apps/boragepierctl/inspect_command.h"

#include <map>
#include <ostream>
#include <set>

#include <nlohmann/json.hpp>

#include "apps/boragepierctl/blocking_calls.h"
#include "apps/boragepierctl/ctl_errors.h"
#include "apps/boragepierctl/explain_text.h"
#include "boragepier/admin/instance_status.h"

namespace boragepier::ctl {

namespace {

using nlohmann::json;

// Responses to /status of all instances.
struct StatusResponses
{
  std::vector<std::pair<AdminTarget, InstanceStatus>> statuses_;
  std::vector<AdminResponse> failures_; // no response, or not a status
};

StatusResponses
QueryStatuses(const CtlOptions& aOptions)
{
  StatusResponses responses;
  const http::Request request{ "GET", "/status", {}, {} };
  for (AdminResponse& response :
       SendToInstances(ResolveAdminTargets(aOptions), request, aOptions.timeout_)) {
    try {
      if (response.status_ == 200) {
        responses.statuses_.emplace_back(response.target_,
                                         DecodeInstanceStatus(response.bodyOrError_));
        continue;
      }
    } catch (const InstanceStatusError& error) {
      response.bodyOrError_ = error.what();
    }
    responses.failures_.push_back(std::move(response));
  }
  return responses;
}

void
WriteStatusText(const StatusResponses& aResponses, std::ostream& aOutput)
{
  std::map<ServiceName, std::set<std::uint64_t>> versions;
  for (const auto& [target, status] : aResponses.statuses_) {
    aOutput << status.id_.View() << " zone=" << status.zone_.View()
            << " ready=" << (status.ready_ ? "yes" : "no");
    if (!status.ready_) {
      aOutput << " reason=\"" << status.notReadyReason_ << "\"";
    }
    aOutput << " peers=" << status.peers_;
    for (const ServiceStatus& service : status.services_) {
      aOutput << " " << service.name_.View() << "=" << service.version_;
      if (service.evacuatedUpstreams_ > 0) {
        aOutput << " evacuated=" << service.evacuatedUpstreams_;
      }
      if (service.coldUpstreams_ > 0) {
        aOutput << " cold=" << service.coldUpstreams_;
      }
      versions[service.name_].insert(service.version_);
    }
    aOutput << "\n";
  }
  for (const AdminResponse& failure : aResponses.failures_) {
    aOutput << failure.target_.name_ << " " << failure.bodyOrError_ << "\n";
  }
  for (const auto& [name, distinct] : versions) {
    if (distinct.size() > 1) {
      aOutput << "versions differ: " << name.View() << " from " << *distinct.begin() << " to "
              << *distinct.rbegin() << "\n";
    }
  }
}

void
WriteStatusJson(const StatusResponses& aResponses, std::ostream& aOutput)
{
  json instances = json::array();
  for (const auto& [target, status] : aResponses.statuses_) {
    json entry = json::parse(EncodeInstanceStatus(status));
    entry["admin"] = ToString(target.endpoint_);
    instances.push_back(std::move(entry));
  }
  json failures = json::array();
  for (const AdminResponse& failure : aResponses.failures_) {
    failures.push_back({ { "instance", failure.target_.name_ },
                         { "admin", ToString(failure.target_.endpoint_) },
                         { "error", failure.bodyOrError_ } });
  }
  aOutput << json{ { "instances", instances }, { "failures", failures } }.dump(
               -1, ' ', false, json::error_handler_t::replace)
          << "\n";
}

// Writes the response of one instance to /explain: one record, or an array for --last.
void
WriteExplainResponse(const CtlOptions& aOptions, const std::string& aBody, std::ostream& aOutput)
{
  if (aOptions.json_) {
    aOutput << aBody;
    return;
  }
  const json parsed = json::parse(aBody);
  if (parsed.is_array()) {
    for (const json& record : parsed) {
      WriteExplainText(record, aOutput);
    }
  } else {
    WriteExplainText(parsed, aOutput);
  }
}

} // namespace

void
RunStatus(const CtlOptions& aOptions, std::ostream& aOutput)
{
  const StatusResponses responses = QueryStatuses(aOptions);
  (aOptions.json_ ? WriteStatusJson : WriteStatusText)(responses, aOutput);
  if (responses.statuses_.empty() && responses.failures_.empty()) {
    throw InstanceProblemError("the platform lists no instance with an admin port; give "
                               "--admin-port PORT or --instance IP:PORT");
  }
  std::string problems;
  for (const auto& [target, status] : responses.statuses_) {
    problems += status.ready_ ? "" : " " + status.id_.Text();
  }
  for (const AdminResponse& failure : responses.failures_) {
    problems += " " + failure.target_.name_;
  }
  if (!problems.empty()) {
    throw InstanceProblemError("instances that are not ready or did not respond:" + problems +
                               "; read their logs and see docs/OPERATIONS.md");
  }
}

void
RunExplain(const CtlOptions& aOptions, std::ostream& aOutput)
{
  const bool byId = aOptions.operands_.size() == 1 && aOptions.lastCount_ == 0;
  const bool byLast = aOptions.operands_.empty() && aOptions.lastCount_ > 0;
  if (!byId && !byLast) {
    throw UsageError("explain needs one request id (from the header Boragepier-Request-Id) or "
                     "--last N");
  }
  const std::string query =
    byId ? "id=" + aOptions.operands_[0] : "last=" + std::to_string(aOptions.lastCount_);
  const auto targets = ResolveAdminTargets(aOptions);
  std::string problems;
  std::size_t found = 0;
  for (const AdminResponse& response :
       SendToInstances(targets, { "GET", "/explain?" + query, {}, {} }, aOptions.timeout_)) {
    if (response.status_ == 200) {
      ++found;
      WriteExplainResponse(aOptions, response.bodyOrError_, aOutput);
    } else if (response.status_ != 404) {
      problems += "\n" + response.target_.name_ + ": " + response.bodyOrError_;
    }
  }
  if (found == 0 && byId && problems.empty()) {
    throw RequestUnknownError("none of " + std::to_string(targets.size()) +
                              " instances keeps a record of request " + aOptions.operands_[0] +
                              "; each keeps its last 4,096 requests; try explain with --log");
  }
  if (!problems.empty() && (found == 0 || byLast)) {
    throw InstanceProblemError("instances that did not return records:" + problems);
  }
}

} // namespace boragepier::ctl
