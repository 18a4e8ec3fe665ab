#include "boragepier/state/publish_transaction.h"

#include <unordered_set>
#include <utility>

namespace boragepier {

namespace {

using Kind = TableOperation::Kind;

std::optional<ConfigRecord>
DecodeIfPresent(const std::optional<TableRow>& aRow)
{
  return aRow ? std::optional(DecodeConfigRecord(aRow->value_)) : std::nullopt;
}

// Updates a row if it still has the revision that was read, or inserts it if it did not exist.
TableOperation
InsertOrUpdate(std::string aKey, std::string aValue, const std::optional<TableRow>& aRow)
{
  return { .kind_ = aRow ? Kind::Update : Kind::Insert,
           .key_ = std::move(aKey),
           .value_ = std::move(aValue),
           .expectedRevision_ = aRow ? aRow->revision_ : 0 };
}

} // namespace

PublishConflict::PublishConflict(ServiceName aService,
                                 std::uint64_t aExpectedVersion,
                                 std::uint64_t aCurrentVersion,
                                 std::string aCurrentPublishId)
  : Error("service " + aService.Text() + ": the change is based on version " +
          std::to_string(aExpectedVersion) + ", but version " + std::to_string(aCurrentVersion) +
          " was published by publish " + aCurrentPublishId)
  , service_(std::move(aService))
  , expectedVersion_(aExpectedVersion)
  , currentVersion_(aCurrentVersion)
  , currentPublishId_(std::move(aCurrentPublishId))
{
}

PublishTransaction::PublishTransaction(PublishRequest aRequest)
  : request_(std::move(aRequest))
  , mayBeApplied_(request_.repeated_)
{
  if (request_.publishId_.empty() || request_.changes_.empty()) {
    throw PublishRequestError("a publish needs a publish id and at least one service");
  }
  std::unordered_set<ServiceName> services;
  for (const ServiceChange& change : request_.changes_) {
    if (change.service_.Empty() || !services.insert(change.service_).second) {
      throw PublishRequestError("service \"" + change.service_.Text() +
                                "\" has an empty name or is given twice");
    }
    records_.push_back(
      { change.service_, change.baseVersion_ + 1, request_.publishId_, change.body_ });
    try {
      EncodeConfigRecord(records_.back());
    } catch (const ConfigRecordError& error) {
      throw PublishRequestError("service " + change.service_.Text() + ": " + error.what());
    }
  }
}

TableRequest
PublishTransaction::ReadRequest() const
{
  TableRequest request;
  for (const ServiceChange& change : request_.changes_) {
    request.operations_.push_back({ .kind_ = Kind::Get, .key_ = ConfigRowKey(change.service_) });
  }
  request.operations_.push_back({ .kind_ = Kind::Get, .key_ = std::string(kConfigHeadKey) });
  request.atomic_ = true;
  return request;
}

bool
PublishTransaction::IsComplete(const TableReply& aReply) const
{
  return aReply.status_ == TableReply::Status::Done &&
         aReply.results_.size() == request_.changes_.size() + 1;
}

PublishResult
PublishTransaction::ResultIfStopped(std::string_view aReason) const
{
  if (mayBeApplied_) {
    return PublishUnknown(std::string(aReason) + "; it is unknown whether the publish was applied");
  }
  return PublishUnavailable(std::string(aReason) + "; the publish was not applied");
}

PublishTransaction::Step
PublishTransaction::OnRead(const TableReply& aReply)
{
  if (!IsComplete(aReply)) {
    return ResultIfStopped("the table could not be read");
  }
  Rows rows;
  for (const TableOperationResult& result : aReply.results_) {
    rows.push_back(result.row_);
  }
  try {
    if (std::optional<PublishResult> result =
          ResultFromRows(std::span(rows).first(rows.size() - 1))) {
      return *std::move(result);
    }
    return WriteRequest(rows);
  } catch (const ConfigRecordError& error) {
    return ResultIfStopped(error.what());
  }
}

// Returns the result if the rows show that this publish was applied or that a service is not at its
// base version.
std::optional<PublishResult>
PublishTransaction::ResultFromRows(std::span<const std::optional<TableRow>> aRows) const
{
  std::vector<ConfigRecord> current;
  for (const std::optional<TableRow>& row : aRows) {
    current.push_back(DecodeIfPresent(row).value_or(ConfigRecord{}));
    // One row is sufficient evidence, because all rows of a publish are written atomically.
    if (current.back().publishId_ == request_.publishId_) {
      return Published{ records_ };
    }
  }
  for (std::size_t index = 0; index < current.size(); ++index) {
    const ServiceChange& change = request_.changes_[index];
    if (current[index].version_ != change.baseVersion_) {
      return ConflictOrUnknown(change, current[index]);
    }
  }
  return std::nullopt;
}

PublishResult
PublishTransaction::ConflictOrUnknown(const ServiceChange& aChange,
                                      const ConfigRecord& aCurrent) const
{
  // If the version after the base version is from another publish, this one was not applied. If the
  // current version is higher than that, this one may have been applied and then replaced.
  if (mayBeApplied_ && aCurrent.version_ > aChange.baseVersion_ + 1) {
    return PublishUnknown("service " + aChange.service_.Text() +
                          " is now at a later version, by publish " + aCurrent.publishId_ +
                          "; it is unknown whether this publish was applied");
  }
  return PublishConflict(
    aChange.service_, aChange.baseVersion_, aCurrent.version_, aCurrent.publishId_);
}

TableRequest
PublishTransaction::WriteRequest(const Rows& aRows) const
{
  TableRequest request;
  request.atomic_ = true;
  const std::optional<TableRow>& headRow = aRows.back();
  ConfigHead head = headRow ? DecodeConfigHead(headRow->value_) : ConfigHead{};
  for (std::size_t index = 0; index < records_.size(); ++index) {
    const ConfigRecord& record = records_[index];
    request.operations_.push_back(
      InsertOrUpdate(ConfigRowKey(record.service_), EncodeConfigRecord(record), aRows[index]));
    head.Append(record.service_, record.version_);
  }
  request.operations_.push_back(
    InsertOrUpdate(std::string(kConfigHeadKey), EncodeConfigHead(head), headRow));
  return request;
}

PublishTransaction::Step
PublishTransaction::OnWritten(const TableReply& aReply)
{
  if (aReply.status_ == TableReply::Status::Unavailable) {
    return ResultIfStopped("the table did not accept the write");
  }
  if (!IsComplete(aReply)) {
    mayBeApplied_ = true;
    return ReadRequest();
  }
  if (aReply.results_.front().applied_) {
    return Published{ records_ };
  }
  // A condition failed. Reading again shows whether a service row or only the head has changed.
  return ReadRequest();
}

} // namespace boragepier
