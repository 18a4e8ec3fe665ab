#include "boragepier/state/config_publish.h"

#include <unordered_set>
#include <utility>

namespace boragepier {

namespace {

using Kind = TableOperation::Kind;

std::optional<ConfigRecord>
Decode(const std::optional<TableRow>& aRow)
{
  return aRow ? std::optional(DecodeConfigRecord(aRow->value_)) : std::nullopt;
}

// Inserts a row that was absent, or replaces it at the revision at which it was read.
TableOperation
Replace(std::string aKey, std::string aValue, const std::optional<TableRow>& aRow)
{
  return { .kind_ = aRow ? Kind::Update : Kind::Insert,
           .key_ = std::move(aKey),
           .value_ = std::move(aValue),
           .expectedRevision_ = aRow ? aRow->revision_ : 0 };
}

} // namespace

PublishConflict::PublishConflict(ServiceName aService,
                                 std::uint64_t aExpected,
                                 std::uint64_t aPresent,
                                 std::string aWinner)
  : Error("service " + aService.Text() + ": based on version " + std::to_string(aExpected) +
          ", but version " + std::to_string(aPresent) + " was published as " + aWinner)
  , service_(std::move(aService))
  , expected_(aExpected)
  , present_(aPresent)
  , winner_(std::move(aWinner))
{
}

PublishAttempt::PublishAttempt(PublishRequest aRequest)
  : request_(std::move(aRequest))
  , mayBeApplied_(request_.repeated_)
{
  if (request_.publishId_.empty() || request_.changes_.empty()) {
    throw PublishRequestError("a publish needs an id and at least one service");
  }
  std::unordered_set<ServiceName> seen;
  for (const ServiceChange& change : request_.changes_) {
    if (change.service_.Empty() || !seen.insert(change.service_).second) {
      throw PublishRequestError("service \"" + change.service_.Text() +
                                "\" is empty or named twice");
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
PublishAttempt::ReadRequest() const
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
PublishAttempt::IsComplete(const TableReply& aReply) const
{
  return aReply.status_ == TableReply::Status::Done &&
         aReply.results_.size() == request_.changes_.size() + 1;
}

PublishResult
PublishAttempt::GiveUp(std::string_view aReason) const
{
  if (mayBeApplied_) {
    return PublishUnknown(std::string(aReason) + "; the publish may be in effect");
  }
  return PublishUnavailable(std::string(aReason) + "; the publish is not in effect");
}

PublishAttempt::Step
PublishAttempt::OnRead(const TableReply& aReply)
{
  if (!IsComplete(aReply)) {
    return GiveUp("the table cannot be read");
  }
  Rows rows;
  for (const TableOperationResult& result : aReply.results_) {
    rows.push_back(result.row_);
  }
  try {
    if (std::optional<PublishResult> result = Judge(std::span(rows).first(rows.size() - 1))) {
      return *std::move(result);
    }
    return WriteRequest(rows);
  } catch (const ConfigRecordError& error) {
    return GiveUp(error.what());
  }
}

// Ends the publish if a row shows that it is in effect or that another one was first.
std::optional<PublishResult>
PublishAttempt::Judge(std::span<const std::optional<TableRow>> aRows) const
{
  std::vector<ConfigRecord> present;
  for (const std::optional<TableRow>& row : aRows) {
    present.push_back(Decode(row).value_or(ConfigRecord{}));
    // One row is enough, because all rows of a publish are written together.
    if (present.back().publishId_ == request_.publishId_) {
      return Published{ records_ };
    }
  }
  for (std::size_t index = 0; index < present.size(); ++index) {
    const ServiceChange& change = request_.changes_[index];
    if (present[index].version_ != change.baseVersion_) {
      return ConflictOrUnknown(change, present[index]);
    }
  }
  return std::nullopt;
}

PublishResult
PublishAttempt::ConflictOrUnknown(const ServiceChange& aChange, const ConfigRecord& aPresent) const
{
  // If the version directly after the base belongs to another publish, this one can never have been
  // applied. Beyond that, it may have been applied and replaced since.
  if (mayBeApplied_ && aPresent.version_ > aChange.baseVersion_ + 1) {
    return PublishUnknown("service " + aChange.service_.Text() + " was published again as " +
                          aPresent.publishId_ + "; whether this publish came first is not known");
  }
  return PublishConflict(
    aChange.service_, aChange.baseVersion_, aPresent.version_, aPresent.publishId_);
}

TableRequest
PublishAttempt::WriteRequest(const Rows& aRows) const
{
  TableRequest request;
  request.atomic_ = true;
  const std::optional<TableRow>& headRow = aRows.back();
  ConfigHead head = headRow ? DecodeConfigHead(headRow->value_) : ConfigHead{};
  for (std::size_t index = 0; index < records_.size(); ++index) {
    const ConfigRecord& record = records_[index];
    request.operations_.push_back(
      Replace(ConfigRowKey(record.service_), EncodeConfigRecord(record), aRows[index]));
    head.Append(record.service_, record.version_);
  }
  request.operations_.push_back(
    Replace(std::string(kConfigHeadKey), EncodeConfigHead(head), headRow));
  return request;
}

PublishAttempt::Step
PublishAttempt::OnWritten(const TableReply& aReply)
{
  if (aReply.status_ == TableReply::Status::Unavailable) {
    return GiveUp("the table refused the publish");
  }
  if (!IsComplete(aReply)) {
    mayBeApplied_ = true;
    return ReadRequest();
  }
  if (aReply.results_.front().applied_) {
    return Published{ records_ };
  }
  // A condition failed. The fresh read tells whether a service row or only the head has changed.
  return ReadRequest();
}

} // namespace boragepier
