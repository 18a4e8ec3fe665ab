#ifndef BORAGEPIER_STATE_CONFIG_RECORD_H
#define BORAGEPIER_STATE_CONFIG_RECORD_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/errors.h"
#include "boragepier/base/ids.h"

namespace boragepier {

/// Key of the row that every publish updates; see ConfigHead.
inline constexpr std::string_view kConfigHeadKey = "config-head";
/// Changes that ConfigHead keeps. A reader that missed more reads all rows.
inline constexpr std::size_t kConfigHeadChanges = 64;

/// Contents of a row that is not a valid configuration record.
class ConfigRecordError : public Error
{
public:
  using Error::Error;
};

/// Configuration of one service as published. Row `config/<service>` of the table.
struct ConfigRecord
{
  ServiceName service_;
  std::uint64_t version_ = 0; ///< starts at 1 and rises by 1 with each publish of the service
  std::string publishId_;     ///< identifies the publish, so that a lost answer can be resolved
  std::string body_;          ///< text of the service file

  friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

/// Row `config-head` of the table: says which services changed lately, so that a reader fetches one
/// small row instead of all configurations.
struct ConfigHead
{
  struct Change
  {
    std::uint64_t serial_ = 0;
    ServiceName service_;
    std::uint64_t version_ = 0;
    friend bool operator==(const Change&, const Change&) = default;
  };

  std::uint64_t serial_ = 0;    ///< rises by 1 with each change
  std::vector<Change> changes_; ///< the last kConfigHeadChanges, oldest first

  /// Appends a change under the next serial and drops the oldest beyond the limit.
  void Append(const ServiceName& aService, std::uint64_t aVersion);

  friend bool operator==(const ConfigHead&, const ConfigHead&) = default;
};

/// @return the key of the row of a service
std::string
ConfigRowKey(const ServiceName& aService);

/// @throws ConfigRecordError if a text is not UTF-8
std::string
EncodeConfigRecord(const ConfigRecord& aRecord);
/// @throws ConfigRecordError if aValue is not a record
ConfigRecord
DecodeConfigRecord(std::string_view aValue);

/// @throws ConfigRecordError if a service name is not UTF-8
std::string
EncodeConfigHead(const ConfigHead& aHead);
/// @throws ConfigRecordError if aValue is not a head
ConfigHead
DecodeConfigHead(std::string_view aValue);

} // namespace boragepier

#endif
