#include "apps/boragepierctl/ctl.h"

#include <algorithm>
#include <ostream>

#include <nlohmann/json.hpp>

#include "apps/boragepierctl/ctl_options.h"
#include "apps/boragepierctl/inspect_command.h"
#include "apps/boragepierctl/log_command.h"
#include "apps/boragepierctl/publish_command.h"

namespace boragepier::ctl {

namespace {

constexpr std::string_view kVersion = "0.1.0";

void
RunCommand(const CtlOptions& aOptions, std::ostream& aOutput, std::ostream& aErrors)
{
  if (aOptions.help_) {
    aOutput << HelpText();
  } else if (aOptions.version_) {
    aOutput << "boragepierctl " << kVersion << "\n";
  } else if (aOptions.command_ == "check") {
    RunCheck(aOptions, aOutput);
  } else if (aOptions.command_ == "publish") {
    RunPublish(aOptions, aOutput, aErrors);
  } else if (aOptions.command_ == "status") {
    RunStatus(aOptions, aOutput);
  } else if (aOptions.command_ == "explain") {
    (aOptions.logFiles_.empty() ? RunExplain : RunExplainFromLogs)(aOptions, aOutput);
  } else if (aOptions.command_ == "log") {
    RunLogSummary(aOptions, aOutput);
  } else {
    throw UsageError((aOptions.command_.empty() ? "the command is missing"
                                                : "unknown command \"" + aOptions.command_ + "\"") +
                     "; use check, publish, status, explain or log; see boragepierctl --help");
  }
}

ExitCode
ReportFailure(ExitCode aCode,
              std::string_view aDetail,
              bool aJson,
              std::ostream& aOutput,
              std::ostream& aErrors)
{
  aErrors << "boragepierctl: " << aDetail << "\n";
  if (aJson) {
    const nlohmann::json error{ { "error", InfoOf(aCode).name_ }, { "detail", aDetail } };
    aOutput << error.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
  }
  return aCode;
}

} // namespace

ExitCode
RunCtl(std::span<const std::string> aArguments, std::ostream& aOutput, std::ostream& aErrors)
{
  const bool json = std::find(aArguments.begin(), aArguments.end(), "--json") != aArguments.end();
  try {
    RunCommand(ParseOptions(aArguments), aOutput, aErrors);
  } catch (const CtlError& error) {
    return ReportFailure(error.Code(), error.what(), json, aOutput, aErrors);
  } catch (const std::exception& error) {
    return ReportFailure(ExitCode::Failed, error.what(), json, aOutput, aErrors);
  }
  return ExitCode::Ok;
}

} // namespace boragepier::ctl
