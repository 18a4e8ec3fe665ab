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
  /// Changes with every write to the row and never repeats, not even after the row was deleted and
  /// inserted again. A delayed Update or Delete thus cannot affect a later row with the same key.
  std::uint64_t revision_ = 0;
};

/// One operation of a table request.
struct TableOperation
{
  enum class Kind : std::uint8_t
  {
    Get,
    Scan,   ///< up to limit_ rows whose key starts with key_ and sorts after startAfter_
    Insert, ///< fails if the row exists
    Update, ///< fails unless the row exists with expectedRevision_
    Delete, ///< fails unless the row exists with expectedRevision_
  };
  Kind kind_ = Kind::Get;
  std::string key_{};
  std::string value_{};                ///< Insert and Update only
  std::uint64_t expectedRevision_ = 0; ///< Update and Delete only
  std::string startAfter_{};           ///< Scan only; empty starts at the first match
  std::size_t limit_ = 100;            ///< Scan only
};

/// A request to the table service; counts as one write if it contains any write operation.
struct TableRequest
{
  std::vector<TableOperation> operations_;
  bool atomic_ = false; ///< apply all operations or none; otherwise each one independently
};

/// @return whether the request contains an Insert, Update or Delete
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
  bool applied_ = false; ///< the condition was met; for an atomic request, all conditions were met
  std::optional<TableRow> row_{};   ///< the row after the operation, also if the condition failed
  std::vector<TableRow> scanned_{}; ///< Scan only
};

/// Reply of the table service.
struct TableReply
{
  enum class Status : std::uint8_t
  {
    Done,        ///< results_ has one entry for each operation
    Unavailable, ///< no operation was applied
    Unknown,     ///< the response was lost: writes may have been applied
  };
  Status status_ = Status::Unavailable;
  std::vector<TableOperationResult> results_;
};

using TableCallback = std::function<void(TableReply)>;

/// Client of the platform's transactional table. Submit() returns at once. The callback runs
/// exactly once, after Submit() returned, on the event loop of the thread that called it, and no
/// later than shortly after aDeadline.
template<typename T>
concept TableStore =
  requires(T& aStore, TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
{
  aStore.Submit(std::move(aRequest), aDeadline, std::move(aDone));
};

} // namespace boragepier

#endif
