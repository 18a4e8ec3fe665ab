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

/// Key prefix of the rows that hold claims.
inline constexpr std::string_view kClaimKeyPrefix = "claim/";
/// Largest body that is stored with a recorded answer. A larger body is not stored, because it
/// would make the row and every batch or page that contains it large.
inline constexpr std::size_t kMaxRecordedBodyBytes = std::size_t{ 64 } * 1024;

/// Thrown when the value of a claim row cannot be decoded.
class ClaimRecordError : public Error
{
public:
  using Error::Error;
};

/// Response of an upstream, stored so that a later call with the same idempotency key receives it.
struct RecordedAnswer
{
  int status_ = 0;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  friend bool operator==(const RecordedAnswer&, const RecordedAnswer&) = default;
};

/// Value of the table row `claim/<service>/<hash of the idempotency key>`. Contains neither the key
/// nor the request, only hashes of them.
struct ClaimRecord
{
  std::string claimId_;                    ///< unique across all instances
  std::string fingerprint_;                ///< see RequestFingerprint()
  WallTime created_;                       ///< by the clock of the instance that made the claim
  std::optional<RecordedAnswer> answer_{}; ///< empty until the outcome of the call is recorded
  bool bodyOmitted_ = false;               ///< the body exceeded kMaxRecordedBodyBytes
  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// @return the key of the table row for the claim of a service and idempotency key
std::string
ClaimRowKey(const ServiceName& aService, std::string_view aIdempotencyKey);

/// Hashes the parts of a request, so that reuse of an idempotency key for another request is found.
/// @param aParts the method, the target and the body
/// @return a 128-bit hash in hexadecimal. It covers the length of each part, so moving bytes from
///   one part to the next changes it.
std::string
RequestFingerprint(std::span<const std::string_view> aParts);

/// Adds an answer to a claim. Removes the hop-by-hop header fields and Content-Length, and the body
/// if it exceeds kMaxRecordedBodyBytes.
/// @return the record to store
ClaimRecord
WithAnswer(ClaimRecord aRecord, RecordedAnswer aAnswer);

/// @return the value of the claim row, in MessagePack
std::string
EncodeClaimRecord(const ClaimRecord& aRecord);
/// @throws ClaimRecordError if aValue is not an encoded claim
ClaimRecord
DecodeClaimRecord(std::string_view aValue);

} // namespace boragepier

#endif
