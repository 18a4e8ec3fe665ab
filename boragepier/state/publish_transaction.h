#ifndef BORAGEPIER_STATE_PUBLISH_TRANSACTION_H
#define BORAGEPIER_STATE_PUBLISH_TRANSACTION_H

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

/// Thrown for an invalid publish: no service, a service given twice, no publish id, or text that is
/// not UTF-8.
class PublishRequestError : public Error
{
public:
  using Error::Error;
};

/// A service is no longer at the version on which the change was based. Nothing was published.
class PublishConflict : public Error
{
public:
  PublishConflict(ServiceName aService,
                  std::uint64_t aExpectedVersion,
                  std::uint64_t aCurrentVersion,
                  std::string aCurrentPublishId);

  const ServiceName& Service() const { return service_; }
  std::uint64_t ExpectedVersion() const { return expectedVersion_; }
  std::uint64_t CurrentVersion() const { return currentVersion_; }
  /// @return the publish id of the current version
  const std::string& CurrentPublishId() const { return currentPublishId_; }

private:
  ServiceName service_;
  std::uint64_t expectedVersion_;
  std::uint64_t currentVersion_;
  std::string currentPublishId_;
};

/// The table could not be read or written. Nothing was published.
class PublishUnavailable : public Error
{
public:
  using Error::Error;
};

/// The outcome of the publish is unknown. The caller can find out by publishing again with the same
/// publish id, which does not publish twice; see PublishRequest::repeated_.
class PublishUnknown : public Error
{
public:
  using Error::Error;
};

/// New configuration for one service.
struct ServiceChange
{
  ServiceName service_;
  std::uint64_t baseVersion_ = 0; ///< version that the change replaces; 0 for a new service
  std::string body_;              ///< text of the service file
};

/// Changes of one or more services, published atomically.
struct PublishRequest
{
  std::string publishId_; ///< unique for each publish; unchanged when it is repeated
  std::vector<ServiceChange> changes_{};
  /// Whether an earlier call with this publish id ended with PublishUnknown.
  bool repeated_ = false;
  MonotonicTime deadline_{};
};

/// All changes were published.
struct Published
{
  std::vector<ConfigRecord> records_; ///< in the order of the changes
};

using PublishResult = std::variant<Published, PublishConflict, PublishUnavailable, PublishUnknown>;
using PublishCallback = std::function<void(PublishResult)>;

/// One publish as an optimistic transaction: reads the rows, then writes them on condition that
/// they did not change. Contains the logic of ConfigPublisher, which sends the requests.
class PublishTransaction
{
public:
  /// The next request to send, or the result of the publish.
  using Step = std::variant<TableRequest, PublishResult>;

  /// @throws PublishRequestError if the request is invalid
  explicit PublishTransaction(PublishRequest aRequest);

  /// @return a request that reads the rows of all services and the head
  TableRequest ReadRequest() const;
  /// @param aReply reply to ReadRequest()
  Step OnRead(const TableReply& aReply);
  /// @param aReply reply to the write request that OnRead() returned
  Step OnWritten(const TableReply& aReply);
  /// @return the result if no further request is sent: PublishUnknown if a write may have been
  ///   applied, else PublishUnavailable
  PublishResult ResultIfStopped(std::string_view aReason) const;

  MonotonicTime Deadline() const { return request_.deadline_; }

private:
  using Rows = std::vector<std::optional<TableRow>>;

  std::optional<PublishResult> ResultFromRows(std::span<const std::optional<TableRow>> aRows) const;
  PublishResult ConflictOrUnknown(const ServiceChange& aChange, const ConfigRecord& aCurrent) const;
  TableRequest WriteRequest(const Rows& aRows) const;
  bool IsComplete(const TableReply& aReply) const;

  PublishRequest request_;
  std::vector<ConfigRecord> records_;
  bool mayBeApplied_; ///< a write with this publish id got no reply
};

} // namespace boragepier

#endif
