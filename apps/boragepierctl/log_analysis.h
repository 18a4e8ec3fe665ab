#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_LOG_ANALYSIS_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_LOG_ANALYSIS_H

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "apps/boragepierctl/log_line.h"

namespace boragepier::ctl {

/// Log lines that concern one request, and the cause derived from them.
struct RequestTrace
{
  std::vector<LogLine> lines_;        ///< lines that name the request, ordered by time
  std::vector<LogLine> contextLines_; ///< lines about its upstreams and instances from shortly
                                      ///< before and during it, ordered by time
  std::string cause_;                 ///< why it failed or where its time was spent, as a sentence
};

/// Collects the lines of a request and derives the cause of its failure or duration.
/// @param aLines lines of all instances, in any order
/// @param aRequestId value of the field `request`
/// @return a result without lines if none names the request
RequestTrace
TraceRequest(const std::vector<LogLine>& aLines, std::string_view aRequestId);

/// Writes the lines of a request and the cause as text, one line for each event.
void
WriteRequestTrace(const RequestTrace& aTrace, std::ostream& aOutput);

/// Writes how many requests failed by reason, service and second, and how many attempts failed by
/// failure and upstream.
/// @param aJson write one JSON object instead of tables
void
WriteLogSummary(const std::vector<LogLine>& aLines, bool aJson, std::ostream& aOutput);

} // namespace boragepier::ctl

#endif
