#include "boragepier/directory/config_parts.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>

#include <msgpack.hpp>
#include <xxhash.h>

#include "boragepier/config/route_set.h"

namespace boragepier {

namespace {

constexpr unsigned kPartBits = 20;
constexpr std::uint64_t kLastPart = (std::uint64_t{ 1 } << kPartBits) - 1;

constexpr char kRouteKeyPrefix = 'r';
constexpr char kServiceKeyPrefix = 's';
constexpr char kTeamKeyPrefix = 't';
constexpr char kTeamKeyKeyPrefix = 'k';

constexpr std::uint32_t kMaxListSize = 4096;
constexpr std::uint32_t kMaxTextBytes = 64 << 10;
constexpr std::uint32_t kMaxDepth = 8;

bool
IsConfigSummary(std::string_view aKey)
{
  return aKey == kConfigSummaryKey;
}

// Keys have a fixed length, because the names that they stand for may exceed the limits of a key.
std::string
MakePartKey(char aPrefix, std::string_view aName)
{
  std::array<char, 17> digits{};
  std::snprintf(digits.data(),
                digits.size(),
                "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(aName.data(), aName.size())));
  return aPrefix + std::string(digits.data());
}

std::uint64_t
PositionOfPart(std::string_view aKey, std::uint64_t aStorePosition)
{
  const std::uint64_t place =
    IsConfigSummary(aKey) ? kLastPart : XXH64(aKey.data(), aKey.size(), 0) % kLastPart;
  return (aStorePosition << kPartBits) | place;
}

// VisitFields() passes references to all fields of a value to aVisit. Encoding and decoding share
// it. The structured bindings name all members, so that a new one cannot be forgotten.
void
VisitFields(auto& aVisit, auto& aValue) requires
  std::is_same_v<std::remove_cvref_t<decltype(aValue)>, WeightedService>
{
  auto& [service, weight] = aValue;
  aVisit(service, weight);
}

void
VisitFields(auto& aVisit,
            auto& aValue) requires std::is_same_v<std::remove_cvref_t<decltype(aValue)>, MethodRule>
{
  auto& [method, pathPrefix, repeatability] = aValue;
  aVisit(method, pathPrefix, repeatability);
}

void
VisitFields(auto& aVisit, auto& aValue) requires
  std::is_same_v<std::remove_cvref_t<decltype(aValue)>, CallerLimits>
{
  auto& [maxHeader, maxBody, headerTimeout, idleTimeout] = aValue;
  aVisit(maxHeader, maxBody, headerTimeout, idleTimeout);
}

void
VisitFields(auto& aVisit, auto& aValue) requires
  std::is_same_v<std::remove_cvref_t<decltype(aValue)>, ConfigSummary>
{
  auto& [version, limits, keysRequired, digest] = aValue;
  aVisit(version, limits, keysRequired, digest);
}

void
VisitFields(auto& aVisit, auto& aValue) requires
  std::is_same_v<std::remove_cvref_t<decltype(aValue)>, RouteConfig>
{
  auto& [name,
         host,
         pathPrefix,
         services,
         repeatability,
         maxAttempts,
         timeLimit,
         latencyTarget,
         priority,
         isPublic] = aValue;
  aVisit(name,
         host,
         pathPrefix,
         services,
         repeatability,
         maxAttempts,
         timeLimit,
         latencyTarget,
         priority,
         isPublic);
}

void
VisitFields(auto& aVisit, auto& aValue) requires
  std::is_same_v<std::remove_cvref_t<decltype(aValue)>, ServiceConfig>
{
  auto& [name,
         pathPrefix,
         trafficClass,
         rules,
         keyRequired,
         defaultDeadline,
         maxDeadline,
         policy,
         slots,
         connectionsPerUpstream,
         zoneOneWayDelay,
         probesPerUpstreamSecond,
         probePath,
         retryRatio,
         retrySlack,
         retryWindow,
         hedgeRatio,
         maxEjectedShare,
         queueLimit,
         maxRequestBody,
         maxResponseBody,
         coldRequestsPerSecond,
         coldOverage,
         coldSlack,
         claimRetention] = aValue;
  aVisit(name,
         pathPrefix,
         trafficClass,
         rules,
         keyRequired,
         defaultDeadline,
         maxDeadline,
         policy,
         slots,
         connectionsPerUpstream,
         zoneOneWayDelay,
         probesPerUpstreamSecond,
         probePath,
         retryRatio,
         retrySlack,
         retryWindow,
         hedgeRatio,
         maxEjectedShare,
         queueLimit,
         maxRequestBody,
         maxResponseBody,
         coldRequestsPerSecond,
         coldOverage,
         coldSlack,
         claimRetention);
}

void
VisitFields(auto& aVisit,
            auto& aValue) requires std::is_same_v<std::remove_cvref_t<decltype(aValue)>, TeamTerms>
{
  auto& [name, priority, ratePerSecond, burst] = aValue;
  aVisit(name, priority, ratePerSecond, burst);
}

void
VisitFields(auto& aVisit,
            auto& aValue) requires std::is_same_v<std::remove_cvref_t<decltype(aValue)>, TeamKey>
{
  auto& [key, team] = aValue;
  aVisit(key, team);
}

using Packer = msgpack::packer<msgpack::sbuffer>;

// Appends the fields that it is called with, as an array.
class PartEncoder
{
public:
  explicit PartEncoder(Packer& aPacker)
    : packer_(aPacker)
  {
  }

  void operator()(const auto&... aFields)
  {
    packer_.pack_array(sizeof...(aFields));
    (Put(aFields), ...);
  }

private:
  template<typename T>
  void Put(const T& aValue)
  {
    if constexpr (std::is_enum_v<T>) {
      packer_.pack(static_cast<std::underlying_type_t<T>>(aValue));
    } else if constexpr (std::is_same_v<T, Duration>) {
      packer_.pack(static_cast<std::int64_t>(aValue.count()));
    } else if constexpr (std::is_same_v<T, KeyDigest>) {
      packer_.pack_bin(static_cast<std::uint32_t>(aValue.size()));
      packer_.pack_bin_body(reinterpret_cast<const char*>(aValue.data()), aValue.size());
    } else if constexpr (std::is_aggregate_v<T>) {
      VisitFields(*this, aValue);
    } else {
      packer_.pack(aValue);
    }
  }
  template<typename Tag>
  void Put(const StrongName<Tag>& aValue)
  {
    packer_.pack(aValue.Text());
  }
  template<typename T>
  void Put(const std::optional<T>& aValue)
  {
    if (aValue) {
      Put(*aValue);
    } else {
      packer_.pack_nil();
    }
  }
  template<typename T>
  void Put(const std::vector<T>& aValue)
  {
    packer_.pack_array(static_cast<std::uint32_t>(aValue.size()));
    for (const T& item : aValue) {
      Put(item);
    }
  }

  Packer& packer_;
};

// Decodes an array into the fields that it is called with. Throws msgpack::type_error.
class PartDecoder
{
public:
  explicit PartDecoder(const msgpack::object& aObject)
    : object_(aObject)
  {
  }

  void operator()(auto&... aFields)
  {
    if (object_.type != msgpack::type::ARRAY || object_.via.array.size != sizeof...(aFields)) {
      throw msgpack::type_error();
    }
    const msgpack::object* next = object_.via.array.ptr;
    (Get(*next++, aFields), ...);
  }

private:
  template<typename T>
  static void Get(const msgpack::object& aObject, T& aValue)
  {
    if constexpr (std::is_enum_v<T>) {
      aValue = static_cast<T>(aObject.as<std::underlying_type_t<T>>());
      if (!IsEnumerator(aValue)) {
        throw msgpack::type_error();
      }
    } else if constexpr (std::is_same_v<T, Duration>) {
      aValue = Duration(aObject.as<std::int64_t>());
    } else if constexpr (std::is_same_v<T, KeyDigest>) {
      if (aObject.type != msgpack::type::BIN || aObject.via.bin.size != aValue.size()) {
        throw msgpack::type_error();
      }
      std::memcpy(aValue.data(), aObject.via.bin.ptr, aValue.size());
    } else if constexpr (std::is_same_v<T, double>) {
      aValue = aObject.as<double>();
      if (!std::isfinite(aValue)) {
        throw msgpack::type_error();
      }
    } else if constexpr (std::is_aggregate_v<T>) {
      PartDecoder decoder(aObject);
      VisitFields(decoder, aValue);
    } else {
      aValue = aObject.as<T>();
    }
  }
  template<typename Tag>
  static void Get(const msgpack::object& aObject, StrongName<Tag>& aValue)
  {
    aValue = StrongName<Tag>(aObject.as<std::string>());
  }
  template<typename T>
  static void Get(const msgpack::object& aObject, std::optional<T>& aValue)
  {
    aValue.reset();
    if (aObject.type != msgpack::type::NIL) {
      Get(aObject, aValue.emplace());
    }
  }
  template<typename T>
  static void Get(const msgpack::object& aObject, std::vector<T>& aValue)
  {
    if (aObject.type != msgpack::type::ARRAY) {
      throw msgpack::type_error();
    }
    aValue.resize(aObject.via.array.size);
    for (std::size_t i = 0; i < aValue.size(); ++i) {
      Get(aObject.via.array.ptr[i], aValue[i]);
    }
  }

  static bool IsEnumerator(Repeatability aValue) { return aValue <= Repeatability::AtMostOnce; }
  static bool IsEnumerator(TrafficClass aValue) { return aValue <= TrafficClass::Background; }
  static bool IsEnumerator(PolicyKind aValue) { return aValue <= PolicyKind::FreshProbes; }

  const msgpack::object& object_;
};

FeedRow
MakePart(std::string aKey, const auto& aValue, std::uint64_t aStorePosition)
{
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  PartEncoder encoder(packer);
  VisitFields(encoder, aValue);
  const std::uint64_t position = PositionOfPart(aKey, aStorePosition);
  return { std::move(aKey), position, false, std::string(buffer.data(), buffer.size()) };
}

template<typename T>
T
DecodeAs(const msgpack::object& aObject)
{
  T value;
  PartDecoder decoder(aObject);
  VisitFields(decoder, value);
  return value;
}

} // namespace

std::uint64_t
ToPartPosition(std::uint64_t aStorePosition)
{
  return (aStorePosition << kPartBits) | kLastPart;
}

std::uint64_t
ToStorePosition(std::uint64_t aPartPosition)
{
  // A position within the range of a store position does not include all of its parts.
  return (aPartPosition + 1) >> kPartBits == 0 ? 0 : ((aPartPosition + 1) >> kPartBits) - 1;
}

std::uint64_t
DigestOfPart(const FeedRow& aRow)
{
  if (aRow.removed_ || IsConfigSummary(aRow.key_)) {
    return 0;
  }
  const std::uint64_t keyHash = XXH64(aRow.key_.data(), aRow.key_.size(), 0);
  return XXH64(aRow.value_.data(), aRow.value_.size(), keyHash);
}

std::vector<FeedRow>
DivideConfig(const FleetConfig& aConfig, std::uint64_t aStorePosition)
{
  std::vector<FeedRow> parts;
  parts.reserve(aConfig.routes_.size() + aConfig.services_.size() + 1);
  std::set<std::string> keys;
  std::uint64_t digest = 0;
  const auto add = [&](char aPrefix, std::string_view aName, const auto& aValue) {
    std::string key = MakePartKey(aPrefix, aName);
    if (keys.insert(key).second) {
      parts.push_back(MakePart(std::move(key), aValue, aStorePosition));
      digest += DigestOfPart(parts.back());
    }
  };
  for (const RouteConfig& route : aConfig.routes_) {
    add(kRouteKeyPrefix, MakeRouteKey(route.host_, route.pathPrefix_), route);
  }
  for (const ServiceConfig& service : aConfig.services_) {
    add(kServiceKeyPrefix, service.name_.View(), service);
  }
  std::map<KeyDigest, TeamName> teamsByKey;
  for (const TeamConfig& team : aConfig.teams_) {
    add(kTeamKeyPrefix, team.terms_.name_.View(), team.terms_);
    for (const KeyDigest& key : team.keys_) {
      if (const auto [known, isNew] = teamsByKey.emplace(key, team.terms_.name_);
          !isNew && known->second != team.terms_.name_) {
        known->second = {}; // it would be unclear for whom a request with the key counts
      }
    }
  }
  for (const auto& [key, team] : teamsByKey) {
    add(kTeamKeyKeyPrefix,
        std::string_view(reinterpret_cast<const char*>(key.data()), key.size()),
        TeamKey{ key, team });
  }
  const ConfigSummary summary{ aConfig.version_, aConfig.limits_, aConfig.keysRequired_, digest };
  parts.push_back(MakePart(std::string(kConfigSummaryKey), summary, aStorePosition));
  return parts;
}

ConfigPart
DecodeConfigPart(const FeedRow& aRow)
{
  const msgpack::unpack_limit limit(
    kMaxListSize, 0, kMaxTextBytes, sizeof(KeyDigest), 0, kMaxDepth);
  try {
    const msgpack::object_handle handle =
      msgpack::unpack(aRow.value_.data(), aRow.value_.size(), nullptr, nullptr, limit);
    if (IsConfigSummary(aRow.key_)) {
      return DecodeAs<ConfigSummary>(handle.get());
    }
    if (aRow.key_.starts_with(kServiceKeyPrefix)) {
      return DecodeAs<ServiceConfig>(handle.get());
    }
    if (aRow.key_.starts_with(kRouteKeyPrefix)) {
      return DecodeAs<RouteConfig>(handle.get());
    }
    if (aRow.key_.starts_with(kTeamKeyPrefix)) {
      return DecodeAs<TeamTerms>(handle.get());
    }
    if (aRow.key_.starts_with(kTeamKeyKeyPrefix)) {
      return DecodeAs<TeamKey>(handle.get());
    }
  } catch (const msgpack::unpack_error& error) {
    throw ConfigPartError(error.what());
  } catch (const msgpack::type_error& error) {
    throw ConfigPartError(error.what());
  }
  throw ConfigPartError("unknown kind of part");
}

} // namespace boragepier
