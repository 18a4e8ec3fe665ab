#include "apps/boragepierctl/inspect_command.h"

#include <map>
#include <ostream>
#include <set>

#include <nlohmann/json.hpp>

#include "apps/boragepierctl/ctl_errors.h"
#include "apps/boragepierctl/explain_text.h"
#include "apps/boragepierctl/remote.h"
#include "boragepier/admin/instance_status.h"

namespace boragepier::ctl {

namespace {

using nlohmann::json;

// The statuses of instances and those that gave none.
struct Survey
{
  std::vector<std::pair<AdminTarget, InstanceStatus>> statuses_;
  std::vector<AdminAnswer> failures_;
};

Survey
AskStatuses(const CtlOptions& aOptions)
{
  Survey survey;
  const http::Request request{ "GET", "/status", {}, {} };
  for (AdminAnswer& answer : AskInstances(FindInstances(aOptions), request, aOptions.timeout_)) {
    try {
      if (answer.status_ == 200) {
        survey.statuses_.emplace_back(answer.target_, DecodeInstanceStatus(answer.body_));
        continue;
      }
    } catch (const InstanceStatusError& error) {
      answer.body_ = error.what();
    }
    survey.failures_.push_back(std::move(answer));
  }
  return survey;
}

void
WriteStatusText(const Survey& aSurvey, std::ostream& aOutput)
{
  std::map<ServiceName, std::set<std::uint64_t>> versions;
  for (const auto& [target, status] : aSurvey.statuses_) {
    aOutput << status.id_.View() << " zone=" << status.zone_.View()
            << " ready=" << (status.ready_ ? "yes" : "no");
    if (!status.ready_) {
      aOutput << " reason=\"" << status.notReadyReason_ << "\"";
    }
    aOutput << " peers=" << status.peers_;
    for (const ServiceStatus& service : status.services_) {
      aOutput << " " << service.name_.View() << "=" << service.version_;
      versions[service.name_].insert(service.version_);
    }
    aOutput << "\n";
  }
  for (const AdminAnswer& failure : aSurvey.failures_) {
    aOutput << failure.target_.name_ << " " << failure.body_ << "\n";
  }
  for (const auto& [name, seen] : versions) {
    if (seen.size() > 1) {
      aOutput << "versions differ: " << name.View() << " from " << *seen.begin() << " to "
              << *seen.rbegin() << "\n";
    }
  }
}

void
WriteStatusJson(const Survey& aSurvey, std::ostream& aOutput)
{
  json instances = json::array();
  for (const auto& [target, status] : aSurvey.statuses_) {
    json entry = json::parse(EncodeInstanceStatus(status));
    entry["admin"] = ToString(target.endpoint_);
    instances.push_back(std::move(entry));
  }
  json failures = json::array();
  for (const AdminAnswer& failure : aSurvey.failures_) {
    failures.push_back({ { "instance", failure.target_.name_ },
                         { "admin", ToString(failure.target_.endpoint_) },
                         { "error", failure.body_ } });
  }
  aOutput << json{ { "instances", instances }, { "failures", failures } }.dump(
               -1, ' ', false, json::error_handler_t::replace)
          << "\n";
}

// Writes the records of one instance.
void
WriteRecords(const CtlOptions& aOptions, const std::string& aBody, std::ostream& aOutput)
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
  const Survey survey = AskStatuses(aOptions);
  (aOptions.json_ ? WriteStatusJson : WriteStatusText)(survey, aOutput);
  if (survey.statuses_.empty() && survey.failures_.empty()) {
    throw InstanceProblemError("the platform lists no instance with an admin port; give "
                               "--admin-port or --instance");
  }
  std::string problems;
  for (const auto& [target, status] : survey.statuses_) {
    problems += status.ready_ ? "" : " " + status.id_.Text();
  }
  for (const AdminAnswer& failure : survey.failures_) {
    problems += " " + failure.target_.name_;
  }
  if (!problems.empty()) {
    throw InstanceProblemError("not ready or without an answer:" + problems +
                               "; see the log of each and docs/OPERATIONS.md");
  }
}

void
RunExplain(const CtlOptions& aOptions, std::ostream& aOutput)
{
  const bool byId = aOptions.operands_.size() == 1 && aOptions.last_ == 0;
  const bool byLast = aOptions.operands_.empty() && aOptions.last_ > 0;
  if (!byId && !byLast) {
    throw UsageError("explain needs one request id (from the header Boragepier-Request-Id) or "
                     "--last N");
  }
  const std::string query =
    byId ? "id=" + aOptions.operands_[0] : "last=" + std::to_string(aOptions.last_);
  const auto targets = FindInstances(aOptions);
  std::string problems;
  std::size_t found = 0;
  for (const AdminAnswer& answer :
       AskInstances(targets, { "GET", "/explain?" + query, {}, {} }, aOptions.timeout_)) {
    if (answer.status_ == 200) {
      ++found;
      WriteRecords(aOptions, answer.body_, aOutput);
    } else if (answer.status_ != 404) {
      problems += "\n" + answer.target_.name_ + ": " + answer.body_;
    }
  }
  if (found == 0 && byId && problems.empty()) {
    throw RequestUnknownError("none of " + std::to_string(targets.size()) +
                              " instances keeps request " + aOptions.operands_[0] +
                              "; each keeps its last 4,096 requests");
  }
  if (!problems.empty() && (found == 0 || byLast)) {
    throw InstanceProblemError("instances without an answer:" + problems);
  }
}

} // namespace boragepier::ctl
