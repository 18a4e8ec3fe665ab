#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_LOG_STORY_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_LOG_STORY_H

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "apps/boragepierctl/log_line.h"

namespace boragepier::ctl {

/// What the logs tell of one request.
struct RequestStory
{
  std::vector<LogLine> lines_; ///< that name the request, in order of time
  std::vector<LogLine>
    around_;          ///< about its upstreams and its instances, shortly before and during
  std::string cause_; ///< why it failed or took long, in words
};

/// @param aLines of all instances, in any order
/// @param aId as in the field `request`
/// @return a story without lines if none names the request
RequestStory
FindStory(const std::vector<LogLine>& aLines, std::string_view aId);

/// Writes a story for people, one line for each event.
void
WriteStory(const RequestStory& aStory, std::ostream& aOutput);

/// Writes how many requests and attempts failed by reason, service, upstream and second.
/// @param aJson as one JSON object instead of a table
void
WriteLogSummary(const std::vector<LogLine>& aLines, bool aJson, std::ostream& aOutput);

} // namespace boragepier::ctl

#endif
