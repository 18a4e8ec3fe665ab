#ifndef BORAGEPIER_TESTING_PLATFORM_MEMORY_TABLE_H
#define BORAGEPIER_TESTING_PLATFORM_MEMORY_TABLE_H

#include <cstdint>
#include <map>
#include <string>

#include "boragepier/ports/table_store.h"

namespace boragepier::testing {

/// In-memory transactional table with the semantics of the platform's table service.
class MemoryTable
{
public:
  /// Applies the operations whose preconditions hold; those of an atomic request only if all hold.
  /// @return one result for each operation, in the same order
  std::vector<TableOperationResult> Apply(const TableRequest& aRequest);

  const std::map<std::string, TableRow>& Rows() const { return rows_; }

private:
  /// @return whether the row's existence and revision are as the operation expects
  bool PreconditionHolds(const TableOperation& aOperation) const;
  TableOperationResult ApplyOperation(const TableOperation& aOperation, bool aApply);

  std::map<std::string, TableRow> rows_;
  std::uint64_t lastRevision_ = 0; ///< counted over all rows, so that revisions are unique
};

} // namespace boragepier::testing

#endif
