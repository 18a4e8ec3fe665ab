#ifndef BORAGEPIER_QUOTA_QUOTA_GATE_H
#define BORAGEPIER_QUOTA_QUOTA_GATE_H

#include <cstdint>
#include <functional>

#include "boragepier/base/time.h"
#include "boragepier/state/team_directory.h"

namespace boragepier {

/// Credit for one request of a team.
struct QuotaCredit
{
  std::uint64_t team_ = 0; ///< TeamIdOf() its name
  MonotonicTime endsAt_{};
};

/// Whether a request is within the quota of its team.
struct QuotaVerdict
{
  enum class Kind : std::uint8_t
  {
    Admitted,
    Refused,
    Waits, ///< decided later, by a callback
  };

  Kind kind_ = Kind::Refused;
  QuotaCredit credit_;    ///< if admitted
  Duration retryAfter_{}; ///< if refused: time after which the quota may allow a request
};

/// Receives the verdict of a request that waited. May run in any thread.
using QuotaCallback = std::function<void(const QuotaVerdict&)>;

/// Admits the requests of teams with a quota. Thread-safe.
class QuotaGate
{
public:
  QuotaGate() = default;
  virtual ~QuotaGate() = default;
  QuotaGate(const QuotaGate&) = delete;
  QuotaGate& operator=(const QuotaGate&) = delete;

  /// Takes credit for a request.
  /// @param aTeam team with a rate above 0
  /// @param aWaitUntil the request gets no credit after this time
  /// @param aCallback called at most once if the result is Waits, possibly after aWaitUntil, so the
  /// caller needs a timer of its own
  virtual QuotaVerdict Admit(const Team& aTeam,
                             MonotonicTime aNow,
                             MonotonicTime aWaitUntil,
                             QuotaCallback aCallback) = 0;
  /// Returns the credit of a request that was not sent to any upstream. At most once for each.
  virtual void Return(const QuotaCredit& aCredit, MonotonicTime aNow) = 0;
};

} // namespace boragepier

#endif
