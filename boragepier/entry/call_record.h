#ifndef BORAGEPIER_ENTRY_CALL_RECORD_H
#define BORAGEPIER_ENTRY_CALL_RECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/decision/service_balancer.h"

namespace boragepier {

/// One choice of an upstream, with what it was based on.
struct ChoiceRecord
{
  Duration sinceArrival_{};
  Choice choice_;
  std::vector<CandidateInfo> candidates_;
};

/// One attempt of a request.
struct AttemptRecord
{
  UpstreamId upstream_;
  std::optional<RetryReason> reason_; ///< nothing for the first attempt
  Duration sinceArrival_{};
  Duration latency_{};
  Outcome outcome_ = Outcome::Unknown;
  AttemptFailure failure_ = AttemptFailure::None;
  int status_ = 0;
};

/// What happened to one request, for metrics, logs and explain records.
struct CallRecord
{
  RequestId id_;
  ServiceName service_; ///< empty if no service matched
  std::string method_;
  std::string path_;
  Duration timeLimit_{};
  Duration total_{}; ///< from arrival to response
  Outcome outcome_ = Outcome::NotRun;
  std::optional<RefusalReason> refusal_;
  int status_ = 0;
  bool replayed_ = false;  ///< answered from the record of an earlier run
  bool abandoned_ = false; ///< the caller left before the response
  std::vector<ChoiceRecord> choices_;
  std::vector<AttemptRecord> attempts_;
};

/// Receives what the request pipeline does. Called in traffic threads.
class CallObserver
{
public:
  virtual ~CallObserver() = default;
  /// A request ended; called once for each request.
  virtual void OnCallEnded(const CallRecord& aRecord) = 0;
  /// Another attempt is sent for a request.
  virtual void OnRetry(const ServiceName& aService, RetryReason aReason) = 0;
  /// An upstream said in an answer that it is leaving.
  virtual void OnUpstreamLeaving(const UpstreamEndpoint& aUpstream) = 0;
};

} // namespace boragepier

#endif
