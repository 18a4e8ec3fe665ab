#include "boragepier/state/config_registry.h"

#include <utility>

namespace boragepier {

namespace {

constexpr std::size_t kConfigBucketCount = 16;

} // namespace

ConfigRejected::ConfigRejected(const ConfigRecord& aRecord, const std::string& aReason)
  : Error("configuration of " + aRecord.service_.Text() + " version " +
          std::to_string(aRecord.version_) + " rejected: " + aReason)
  , service_(aRecord.service_)
  , version_(aRecord.version_)
{
}

ConfigRegistry::ConfigRegistry(ConfigParser aParser)
  : parser_(std::move(aParser))
  , versions_(kConfigBucketCount)
{
}

bool
ConfigRegistry::Accept(ConfigRecord aRecord)
{
  if (aRecord.service_.Empty() || aRecord.body_.size() > kMaxConfigBodyBytes) {
    throw ConfigRejected(aRecord, "it has no service name or its body is too large");
  }
  if (aRecord.version_ <= AcceptedVersion(aRecord.service_)) {
    return false;
  }
  Entry& entry = entries_[aRecord.service_];
  entry.record_ = std::move(aRecord);
  versions_.Set(entry.record_.service_.View(), { entry.record_.version_, 0 });
  try {
    ServiceConfig config = parser_(entry.record_.body_, entry.record_.service_.View());
    if (config.name_ != entry.record_.service_) {
      throw Error("the body is for another service");
    }
    activeCount_ += entry.activeConfig_ ? 0 : 1;
    entry.activeConfig_ = std::move(config);
    entry.activeVersion_ = entry.record_.version_;
    entry.rejectionReason_.clear();
  } catch (const Error& error) {
    entry.rejectionReason_ = error.what();
    throw ConfigRejected(entry.record_, entry.rejectionReason_);
  }
  return true;
}

std::uint64_t
ConfigRegistry::AcceptedVersion(const ServiceName& aService) const
{
  const auto found = entries_.find(aService);
  return found == entries_.end() ? 0 : found->second.record_.version_;
}

const ConfigRecord*
ConfigRegistry::Find(std::string_view aService) const
{
  const auto found = entries_.find(ServiceName(std::string(aService)));
  return found == entries_.end() ? nullptr : &found->second.record_;
}

} // namespace boragepier
