#include "apps/boragepierctl/explain_text.h"

#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

namespace boragepier::ctl {

namespace {

using nlohmann::json;

std::string
StringField(const json& aRecord, const char* aKey)
{
  return aRecord.at(aKey).get<std::string>();
}

void
WriteCandidates(const json& aCandidates, std::ostream& aOutput)
{
  for (const json& candidate : aCandidates) {
    aOutput << "    " << StringField(candidate, "upstream")
            << " zone=" << StringField(candidate, "zone")
            << " expected-wait=" << candidate.at("expectedWaitMs").get<double>()
            << "ms own=" << candidate.at("ownOutstanding").get<std::uint64_t>()
            << " others=" << candidate.at("othersEstimate").get<double>()
            << " standing=" << candidate.at("standing").get<double>()
            << (candidate.at("leaving").get<bool>() ? " leaving" : "")
            << (candidate.value("evacuated", false) ? " evacuated" : "");
    // Instances of an earlier release do not report it.
    if (const double coldMs = candidate.value("coldMs", 0.0); coldMs > 0) {
      aOutput << " cold=" << coldMs << "ms";
    }
    aOutput << "\n";
  }
}

void
WriteAttempt(const json& aAttempt, std::size_t aNumber, std::ostream& aOutput)
{
  aOutput << "  attempt " << aNumber << " at " << StringField(aAttempt, "upstream") << " ("
          << StringField(aAttempt, "reason") << ") after "
          << aAttempt.at("startedAfterMs").get<double>()
          << "ms: " << StringField(aAttempt, "outcome");
  if (const int status = aAttempt.at("status").get<int>(); status != 0) {
    aOutput << " status=" << status;
  }
  if (const std::string failure = StringField(aAttempt, "failure"); failure != "none") {
    aOutput << " failure=" << failure;
  }
  aOutput << " in " << aAttempt.at("latencyMs").get<double>() << "ms, chosen from "
          << aAttempt.at("candidateCount").get<std::uint64_t>() << "\n";
  WriteCandidates(aAttempt.at("candidates"), aOutput);
}

} // namespace

void
WriteExplainText(const json& aRecord, std::ostream& aOutput)
{
  aOutput << StringField(aRecord, "requestId") << " " << StringField(aRecord, "method") << " "
          << StringField(aRecord, "path") << " service=" << StringField(aRecord, "service");
  if (const std::string team = aRecord.value("team", ""); !team.empty()) {
    aOutput << " team=" << team;
  }
  aOutput << " outcome=" << StringField(aRecord, "outcome");
  if (!aRecord.at("refusal").is_null()) {
    aOutput << " refusal=" << StringField(aRecord, "refusal");
  }
  if (aRecord.at("replayed").get<bool>()) {
    aOutput << " replayed";
  }
  aOutput << " in " << aRecord.at("latencyMs").get<double>() << "ms of "
          << aRecord.at("deadlineMs").get<double>() << "ms, queued "
          << aRecord.at("queuedMs").get<double>() << "ms\n";
  std::size_t number = 0;
  for (const json& attempt : aRecord.at("attempts")) {
    WriteAttempt(attempt, ++number, aOutput);
  }
  if (const json& refused = aRecord.at("refusedCandidates"); !refused.empty()) {
    aOutput << "  refused; candidates were\n";
    WriteCandidates(refused, aOutput);
  }
}

} // namespace boragepier::ctl
