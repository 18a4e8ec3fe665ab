#ifndef BORAGEPIER_STATE_CONFIG_PUBLISH_H
#define BORAGEPIER_STATE_CONFIG_PUBLISH_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "boragepier/base/errors.h"
#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"
#include "boragepier/ports/table_store.h"
#include "boragepier/state/config_record.h"

namespace boragepier {

/// A publish that cannot be sent: no service, the same service twice, no publish id, or text that
/// is not UTF-8.
class PublishRequestError : public Error
{
public:
  using Error::Error;
};

/// Another publish changed a service first. Nothing of this publish is in effect.
class PublishConflict : public Error
{
public:
  PublishConflict(ServiceName aService,
                  std::uint64_t aExpected,
                  std::uint64_t aPresent,
                  std::string aWinner);

  const ServiceName& Service() const { return service_; }
  std::uint64_t ExpectedVersion() const { return expected_; }
  std::uint64_t PresentVersion() const { return present_; }
  /// @return the publish id of the present version
  const std::string& Winner() const { return winner_; }

private:
  ServiceName service_;
  std::uint64_t expected_;
  std::uint64_t present_;
  std::string winner_;
};

/// The table could not be used. Nothing of this publish is in effect.
class PublishUnavailable : public Error
{
public:
  using Error::Error;
};

/// The publish may be in effect. Repeating it with the same publish id is harmless and tells.
class PublishUnknown : public Error
{
public:
  using Error::Error;
};

/// New configuration of one service.
struct ServiceChange
{
  ServiceName service_;
  std::uint64_t baseVersion_ = 0; ///< version on which it is based; 0 for a new service
  std::string body_;
};

/// Several changes that take effect together or not at all.
struct PublishRequest
{
  std::string publishId_; ///< unique for each publish; the same when it is repeated
  std::vector<ServiceChange> changes_{};
  /// An earlier call with this publish id ended with PublishUnknown.
  bool repeated_ = false;
  MonotonicTime deadline_{};
};

/// The publish is in effect.
struct Published
{
  std::vector<ConfigRecord> records_; ///< in the order of the changes
};

using PublishResult = std::variant<Published, PublishConflict, PublishUnavailable, PublishUnknown>;
using PublishCallback = std::function<void(PublishResult)>;

/// The part of ConfigPublisher that does not depend on the table: decides on the next request after
/// each reply.
class PublishAttempt
{
public:
  /// The next request, or the end.
  using Step = std::variant<TableRequest, PublishResult>;

  /// @throws PublishRequestError
  explicit PublishAttempt(PublishRequest aRequest);

  /// @return a request for the head and the rows of all services
  TableRequest ReadRequest() const;
  /// @param aReply to ReadRequest()
  Step OnRead(const TableReply& aReply);
  /// @param aReply to the request that OnRead() returned
  Step OnWritten(const TableReply& aReply);
  /// @return the result when time is up
  PublishResult GiveUp(std::string_view aReason) const;

  MonotonicTime Deadline() const { return request_.deadline_; }

private:
  using Rows = std::vector<std::optional<TableRow>>;

  std::optional<PublishResult> Judge(std::span<const std::optional<TableRow>> aRows) const;
  PublishResult ConflictOrUnknown(const ServiceChange& aChange, const ConfigRecord& aPresent) const;
  TableRequest WriteRequest(const Rows& aRows) const;
  bool IsComplete(const TableReply& aReply) const;

  PublishRequest request_;
  std::vector<ConfigRecord> records_;
  bool mayBeApplied_; ///< an answer to a write with this publish id was lost
};

} // namespace boragepier

#endif
