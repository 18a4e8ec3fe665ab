#ifndef BORAGEPIER_PORTS_TABLE_STORE_H
#define BORAGEPIER_PORTS_TABLE_STORE_H

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "boragepier/base/time.h"

namespace boragepier {

/// One row of the platform's table.
struct TableRow
{
  std::string key_;
  std::string value_;
  /// Changes with every write to the row and never takes an earlier value again, not even after the
  /// row was deleted and inserted: a late Update or Delete must not hit a later row of the same
  /// key.
  std::uint64_t revision_ = 0;
};

/// One operation of a table request.
struct TableOperation
{
  enum class Kind : std::uint8_t
  {
    Get,
    Scan,   ///< rows whose key starts with key_, after startAfter_, at most limit_
    Insert, ///< fails if the row exists
    Update, ///< fails unless the row has expectedRevision_
    Delete, ///< fails unless the row has expectedRevision_
  };
  Kind kind_ = Kind::Get;
  std::string key_{};
  std::string value_{};                ///< of Insert and Update
  std::uint64_t expectedRevision_ = 0; ///< of Update and Delete
  std::string startAfter_{};           ///< of Scan
  std::size_t limit_ = 100;            ///< of Scan
};

/// A request to the table service; counts as one write if it holds any write.
struct TableRequest
{
  std::vector<TableOperation> operations_;
  bool atomic_ = false; ///< all operations take effect or none; else each stands for itself
};

/// @return whether the request holds an Insert, Update or Delete
inline bool
HoldsWrite(const TableRequest& aRequest)
{
  return std::ranges::any_of(aRequest.operations_, [](const TableOperation& aOperation) {
    return aOperation.kind_ != TableOperation::Kind::Get &&
           aOperation.kind_ != TableOperation::Kind::Scan;
  });
}

/// Result of one operation.
struct TableOperationResult
{
  bool applied_ = false; ///< the condition held; for an atomic request, all conditions held
  std::optional<TableRow> row_{}; ///< the row after the operation; for a failed condition, as it is
  std::vector<TableRow> scanned_{}; ///< of Scan
};

/// Reply of the table service.
struct TableReply
{
  enum class Status : std::uint8_t
  {
    Done,        ///< results_ has one entry for each operation
    Unavailable, ///< certainly not applied
    Unknown,     ///< the answer was lost: writes may have been applied
  };
  Status status_ = Status::Unavailable;
  std::vector<TableOperationResult> results_;
};

using TableCallback = std::function<void(TableReply)>;

/// The platform's transactional table. Submit() returns at once; the callback runs later, exactly
/// once, in the thread of the caller's event loop, at the latest soon after aDeadline.
template<typename T>
concept TableStore =
  requires(T& aStore, TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
{
  aStore.Submit(std::move(aRequest), aDeadline, std::move(aDone));
};

} // namespace boragepier

#endif
