#ifndef BORAGEPIER_TESTING_PLATFORM_MEMORY_TABLE_H
#define BORAGEPIER_TESTING_PLATFORM_MEMORY_TABLE_H

#include <cstdint>
#include <map>
#include <string>

#include "boragepier/ports/table_store.h"

namespace boragepier::testing {

/// Rows of a transactional table, as the platform's table service keeps them.
class MemoryTable
{
public:
  /// Applies a request.
  /// @return a result for each operation
  std::vector<TableOperationResult> Apply(const TableRequest& aRequest);

  const std::map<std::string, TableRow>& Rows() const { return rows_; }

private:
  bool Holds(const TableOperation& aOperation) const;
  TableOperationResult ApplyOne(const TableOperation& aOperation, bool aApply);

  std::map<std::string, TableRow> rows_;
  std::uint64_t lastRevision_ = 0; ///< of the whole table, so that no revision comes twice
};

} // namespace boragepier::testing

#endif
