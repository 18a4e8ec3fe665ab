#ifndef BORAGEPIER_STATE_CONFIG_READER_H
#define BORAGEPIER_STATE_CONFIG_READER_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "boragepier/ports/table_store.h"
#include "boragepier/state/config_record.h"
#include "boragepier/state/config_registry.h"

namespace boragepier {

/// Reads the configuration from the table: first `config-head`, then only the rows that changed.
/// A reader that missed more changes than the head keeps scans all rows. One read sequence at a
/// time; the owner submits the requests and passes the replies on.
class ConfigReader
{
public:
  /// What follows from a reply.
  struct Step
  {
    std::optional<TableRequest> next_;  ///< to submit; nothing ends the sequence
    std::vector<ConfigRecord> records_; ///< rows read, to be accepted in this order
    bool failed_ = false;               ///< the store did not answer
    std::vector<std::string> errors_;   ///< rows that are not valid
  };

  /// Starts a sequence, dropping an unfinished one.
  TableRequest Begin();
  /// @param aReply to the last request
  /// @param aRegistry tells which versions are held already
  Step OnReply(const TableReply& aReply, const ConfigRegistry& aRegistry);

  /// @return serial up to which all changes are held
  std::uint64_t Serial() const { return serial_; }
  /// A peer with the same versions as this instance holds all changes up to a serial.
  void Advance(std::uint64_t aSerial);

private:
  Step OnHead(const TableReply& aReply, const ConfigRegistry& aRegistry);
  void OnRows(const TableReply& aReply, Step& aStep);

  enum class Phase : std::uint8_t
  {
    Head,
    Rows,
    Scan
  };
  Phase phase_ = Phase::Head;
  std::uint64_t serial_ = 0;
  std::uint64_t target_ = 0; ///< serial of the head that was read
};

} // namespace boragepier

#endif
