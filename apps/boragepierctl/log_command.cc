#include "apps/boragepierctl/log_command.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <span>

#include <nlohmann/json.hpp>

#include "apps/boragepierctl/ctl_errors.h"
#include "apps/boragepierctl/log_analysis.h"

namespace boragepier::ctl {

namespace {

constexpr const char* kStandardInputOperand = "-";

// Appends the lines of aInput that are events. Lines without a source get aSource.
void
AppendEvents(std::istream& aInput, const std::string& aSource, std::vector<LogLine>& aLines)
{
  std::string text;
  while (std::getline(aInput, text)) {
    if (auto line = ParseLogLine(text)) {
      if (line->source_.empty()) {
        line->source_ = aSource;
      }
      aLines.push_back(*std::move(line));
    }
  }
}

// Lines without a source get the file name without its extension, or none for the standard input.
std::vector<LogLine>
ReadLogs(std::span<const std::string> aFiles)
{
  std::vector<LogLine> lines;
  for (const std::string& file : aFiles) {
    if (file == kStandardInputOperand) {
      AppendEvents(std::cin, {}, lines);
      continue;
    }
    std::ifstream input(file);
    if (!input) {
      throw CtlError(ExitCode::Failed,
                     "cannot read log file \"" + file + "\"; check its path and permissions");
    }
    AppendEvents(input, std::filesystem::path(file).stem().string(), lines);
  }
  return lines;
}

nlohmann::json
ToJson(const std::vector<LogLine>& aLines)
{
  auto result = nlohmann::json::array();
  for (const LogLine& line : aLines) {
    nlohmann::json fields = nlohmann::json::object();
    for (const auto& [name, value] : line.fields_) {
      fields[name] = value;
    }
    result.push_back({ { "time", line.time_ },
                       { "source", line.source_ },
                       { "event", line.eventId_ },
                       { "name", line.name_ },
                       { "fields", fields } });
  }
  return result;
}

} // namespace

void
RunExplainFromLogs(const CtlOptions& aOptions, std::ostream& aOutput)
{
  if (aOptions.operands_.size() != 1) {
    throw UsageError("explain --log needs one request id (from the header Boragepier-Request-Id)");
  }
  const RequestTrace trace = TraceRequest(ReadLogs(aOptions.logFiles_), aOptions.operands_[0]);
  if (trace.lines_.empty()) {
    throw RequestUnknownError(
      "no log line names request " + aOptions.operands_[0] +
      "; give the logs of all instances; under load, instances may leave out lines "
      "of answered requests");
  }
  if (aOptions.json_) {
    const nlohmann::json result{ { "cause", trace.cause_ },
                                 { "lines", ToJson(trace.lines_) },
                                 { "around", ToJson(trace.contextLines_) } };
    aOutput << result.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
  } else {
    WriteRequestTrace(trace, aOutput);
  }
}

void
RunLogSummary(const CtlOptions& aOptions, std::ostream& aOutput)
{
  if (aOptions.operands_.empty() || aOptions.operands_[0] != "summary") {
    throw UsageError(
      "log needs the operand summary; for example boragepierctl log summary instance.log");
  }
  std::vector<std::string> files(aOptions.operands_.begin() + 1, aOptions.operands_.end());
  files.insert(files.end(), aOptions.logFiles_.begin(), aOptions.logFiles_.end());
  if (files.empty()) {
    files.emplace_back(kStandardInputOperand);
  }
  WriteLogSummary(ReadLogs(files), aOptions.json_, aOutput);
}

} // namespace boragepier::ctl
