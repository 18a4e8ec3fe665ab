#ifndef BORAGEPIER_STATE_CLAIM_RECORD_H
#define BORAGEPIER_STATE_CLAIM_RECORD_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "boragepier/base/errors.h"
#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"

namespace boragepier {

/// Prefix of the keys of all claim rows.
inline constexpr std::string_view kClaimPrefix = "claim/";
/// Largest body kept with a recorded answer, in bytes. A larger answer is recorded without body, so
/// that a row and a batch of rows stay small.
inline constexpr std::size_t kMaxRecordedBody = std::size_t{ 64 } * 1024;

/// Contents of a row that is not a valid claim.
class ClaimRecordError : public Error
{
public:
  using Error::Error;
};

/// Answer of an upstream, kept so that a repeat of the call receives it.
struct RecordedAnswer
{
  int status_ = 0;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  friend bool operator==(const RecordedAnswer&, const RecordedAnswer&) = default;
};

/// Row `claim/<service>/<hash of key>` of the table. Holds neither the key nor the request.
struct ClaimRecord
{
  std::string claimId_;     ///< unique among all claims of all instances
  std::string fingerprint_; ///< of the request
  WallTime created_;
  std::optional<RecordedAnswer> answer_{}; ///< absent while the outcome is not known
  bool bodyOmitted_ = false;               ///< the answer's body exceeded kMaxRecordedBody
  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// @return the key of the claim row of a call
std::string
ClaimRowKey(const ServiceName& aService, std::string_view aIdempotencyKey);

/// @param aParts what identifies a request: method, target, body
/// @return a hash that differs when a part differs or the parts are divided differently
std::string
RequestFingerprint(std::span<const std::string_view> aParts);

/// Prepares an answer for recording: removes hop-by-hop fields and Content-Length, and the body if
/// it exceeds kMaxRecordedBody.
/// @return the record with the answer
ClaimRecord
WithAnswer(ClaimRecord aRecord, RecordedAnswer aAnswer);

std::string
EncodeClaimRecord(const ClaimRecord& aRecord);
/// @throws ClaimRecordError if aValue is not a record
ClaimRecord
DecodeClaimRecord(std::string_view aValue);

} // namespace boragepier

#endif
