#include "testing/platform/memory_table.h"

#include <algorithm>

namespace boragepier::testing {

using Kind = TableOperation::Kind;

bool
MemoryTable::PreconditionHolds(const TableOperation& aOperation) const
{
  const auto row = rows_.find(aOperation.key_);
  switch (aOperation.kind_) {
    case Kind::Insert:
      return row == rows_.end();
    case Kind::Update:
    case Kind::Delete:
      return row != rows_.end() && row->second.revision_ == aOperation.expectedRevision_;
    case Kind::Get:
    case Kind::Scan:
      break;
  }
  return true;
}

TableOperationResult
MemoryTable::ApplyOperation(const TableOperation& aOperation, bool aApply)
{
  TableOperationResult result{ .applied_ = aApply };
  if (aOperation.kind_ == Kind::Scan) {
    auto row = aOperation.startAfter_ < aOperation.key_ ? rows_.lower_bound(aOperation.key_)
                                                        : rows_.upper_bound(aOperation.startAfter_);
    while (row != rows_.end() && row->first.starts_with(aOperation.key_) &&
           result.scanned_.size() < aOperation.limit_) {
      result.scanned_.push_back((row++)->second);
    }
    return result;
  }
  if (aApply && aOperation.kind_ == Kind::Delete) {
    rows_.erase(aOperation.key_);
  } else if (aApply && aOperation.kind_ != Kind::Get) {
    rows_[aOperation.key_] = { aOperation.key_, aOperation.value_, ++lastRevision_ };
  }
  if (const auto row = rows_.find(aOperation.key_); row != rows_.end()) {
    result.row_ = row->second;
  }
  return result;
}

std::vector<TableOperationResult>
MemoryTable::Apply(const TableRequest& aRequest)
{
  const bool allPreconditionsHold = std::ranges::all_of(
    aRequest.operations_, [&](const auto& aOperation) { return PreconditionHolds(aOperation); });
  std::vector<TableOperationResult> results;
  for (const TableOperation& operation : aRequest.operations_) {
    const bool shouldApply = aRequest.atomic_ ? allPreconditionsHold : PreconditionHolds(operation);
    results.push_back(ApplyOperation(operation, shouldApply));
  }
  return results;
}

} // namespace boragepier::testing
