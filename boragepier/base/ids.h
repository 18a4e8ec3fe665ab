#ifndef BORAGEPIER_BASE_IDS_H
#define BORAGEPIER_BASE_IDS_H

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace boragepier {

/// A string identifier with a distinct type for each Tag, so that identifiers of different kinds
/// cannot be mixed up. Compares and hashes like its text.
///
///   UpstreamId upstream("stock-3");
///   std::string_view text = upstream.View();
template<typename Tag>
class StrongName
{
public:
  StrongName() = default;
  explicit StrongName(std::string aText)
    : text_(std::move(aText))
  {
  }

  std::string_view View() const { return text_; }
  const std::string& Text() const { return text_; }
  bool Empty() const { return text_.empty(); }

  // clang-tidy 14 reports a false positive for the defaulted comparison.
  friend auto operator<=>(const StrongName&,
                          const StrongName&) = default; // NOLINT(modernize-use-nullptr)

private:
  std::string text_;
};

/// Identifies one upstream process, unique in the installation.
using UpstreamId = StrongName<struct UpstreamTag>;
/// Identifies one entry instance, unique in the installation.
using InstanceId = StrongName<struct InstanceTag>;
/// Name of a service, unique in the installation.
using ServiceName = StrongName<struct ServiceTag>;
/// Name of an availability zone.
using ZoneName = StrongName<struct ZoneTag>;
/// Name of a team, unique in the configuration. Teams share the fleet; each has callers of its own.
using TeamName = StrongName<struct TeamTag>;
/// Identifies one request; sent to the caller in the response and accepted by
/// `boragepierctl explain`.
using RequestId = StrongName<struct RequestTag>;

} // namespace boragepier

template<typename Tag>
struct std::hash<boragepier::StrongName<Tag>>
{
  std::size_t operator()(const boragepier::StrongName<Tag>& aName) const noexcept
  {
    return std::hash<std::string_view>()(aName.View());
  }
};

#endif
