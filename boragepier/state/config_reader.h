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

/// Reads configurations from the table incrementally: first the row `config-head`, then the rows
/// that changed since the last read. If more changes were missed than the head lists, all rows are
/// scanned. The owner sends the requests and passes the replies on; only one sequence of requests
/// runs at a time.
class ConfigReader
{
public:
  /// Result of handling one reply.
  struct Step
  {
    std::optional<TableRequest> nextRequest_; ///< request to send next; empty at the end
    std::vector<ConfigRecord> records_;       ///< records read, to be accepted in this order
    bool tableFailed_ = false;                ///< the table did not reply or was unavailable
    std::vector<std::string> rowErrors_;      ///< one message for each row that cannot be decoded
  };

  /// Starts a read; an unfinished one is abandoned.
  /// @return the first request to send
  TableRequest Begin();
  /// @param aReply reply to the last request
  /// @param aRegistry the configurations accepted so far; their rows are not read again
  Step OnReply(const TableReply& aReply, const ConfigRegistry& aRegistry);

  /// @return the serial up to which all published changes have been received
  std::uint64_t SyncedSerial() const { return serial_; }
  /// Raises the serial without a read, because a peer with the same configuration versions has
  /// received all changes up to it.
  void AdvanceSerial(std::uint64_t aSerial);

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
  std::uint64_t headSerial_ = 0; ///< serial of the head that started this read
};

} // namespace boragepier

#endif
