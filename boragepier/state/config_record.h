#ifndef BORAGEPIER_STATE_CONFIG_RECORD_H
#define BORAGEPIER_STATE_CONFIG_RECORD_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/errors.h"
#include "boragepier/base/ids.h"

namespace boragepier {

/// Key of the row that lists the latest changes and is updated by every publish; see ConfigHead.
inline constexpr std::string_view kConfigHeadKey = "config-head";
/// Number of changes listed in ConfigHead. A reader that missed more has to read all rows.
inline constexpr std::size_t kConfigHeadChanges = 64;

/// Thrown when the value of a configuration row cannot be encoded or decoded.
class ConfigRecordError : public Error
{
public:
  using Error::Error;
};

/// Published configuration of one service: value of the table row `config/<service>`.
struct ConfigRecord
{
  ServiceName service_;
  std::uint64_t version_ = 0; ///< starts at 1; each publish of the service adds 1
  std::string publishId_;     ///< lets the publisher recognise its write if the reply was lost
  std::string body_;          ///< text of the service file

  friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

/// Log of the latest configuration changes: value of the table row `config-head`. Readers poll this
/// small row and then fetch only the configurations that changed.
struct ConfigHead
{
  /// One published version of one service.
  struct Change
  {
    std::uint64_t serial_ = 0; ///< position in the sequence of all changes
    ServiceName service_;
    std::uint64_t version_ = 0;
    friend bool operator==(const Change&, const Change&) = default;
  };

  std::uint64_t serial_ = 0;    ///< serial of the latest change; 0 if there was none
  std::vector<Change> changes_; ///< the latest kConfigHeadChanges, oldest first

  /// Appends a change with the next serial. Removes the oldest change if there are more than
  /// kConfigHeadChanges.
  void Append(const ServiceName& aService, std::uint64_t aVersion);

  friend bool operator==(const ConfigHead&, const ConfigHead&) = default;
};

/// @return the key of the table row with the configuration of a service
std::string
ConfigRowKey(const ServiceName& aService);

/// @return the value of the row, in JSON
/// @throws ConfigRecordError if a string is not UTF-8
std::string
EncodeConfigRecord(const ConfigRecord& aRecord);
/// @throws ConfigRecordError if aValue is not an encoded record
ConfigRecord
DecodeConfigRecord(std::string_view aValue);

/// @return the value of the row, in JSON
/// @throws ConfigRecordError if a service name is not UTF-8
std::string
EncodeConfigHead(const ConfigHead& aHead);
/// @throws ConfigRecordError if aValue is not an encoded head
ConfigHead
DecodeConfigHead(std::string_view aValue);

} // namespace boragepier

#endif
