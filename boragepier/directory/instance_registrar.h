#ifndef BORAGEPIER_DIRECTORY_INSTANCE_REGISTRAR_H
#define BORAGEPIER_DIRECTORY_INSTANCE_REGISTRAR_H

#include <algorithm>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/directory/directory_timing.h"
#include "boragepier/ports/directory_feed.h"
#include "boragepier/ports/scheduler.h"

namespace boragepier {

/// Collects the instances that are to be registered in the store for a short time, so that many
/// that start together take few calls. The owner then writes them, or passes them on towards the
/// root of the relay tree. A batch that is lost is not repeated: each instance asks again until it
/// is listed.
template<Scheduler S, DirectoryFeed F>
class InstanceRegistrar
{
public:
  using BatchCallback = std::function<void(std::vector<InstanceEntry>)>;
  using WriteFailedCallback = std::function<void(std::size_t, const std::string&)>;

  /// @param aScheduler must outlive this object, like aFeed
  /// @param aOnBatch receives the collected instances, at most kMaxRegistrations
  /// @param aOnWriteFailed receives the number of instances and the error of a failed Write()
  InstanceRegistrar(S& aScheduler,
                    F& aFeed,
                    const DirectoryTiming& aTiming,
                    BatchCallback aOnBatch,
                    WriteFailedCallback aOnWriteFailed)
    : scheduler_(aScheduler)
    , feed_(aFeed)
    , timing_(aTiming)
    , onBatch_(std::move(aOnBatch))
    , onWriteFailed_(std::move(aOnWriteFailed))
  {
  }

  /// Adds an instance to the next batch.
  void Add(const InstanceEntry& aInstance)
  {
    if (pending_.empty()) {
      scheduler_.After(timing_.registrationBatchDelay_, [this] { EmitBatches(); });
    }
    pending_.insert_or_assign(aInstance.id_, aInstance);
  }

  /// Writes instances to the store.
  void Write(std::span<const InstanceEntry> aInstances)
  {
    feed_.Register(aInstances, [this, count = aInstances.size()](const FeedResponse& aResponse) {
      if (aResponse.status_ != FeedStatus::Ok) {
        onWriteFailed_(count, aResponse.error_);
      }
    });
  }

private:
  void EmitBatches()
  {
    std::vector<InstanceEntry> batch;
    for (auto& [id, instance] : std::exchange(pending_, {})) {
      batch.push_back(std::move(instance));
      if (batch.size() == kMaxRegistrations) {
        onBatch_(std::exchange(batch, {}));
      }
    }
    if (!batch.empty()) {
      onBatch_(std::move(batch));
    }
  }

  S& scheduler_;
  F& feed_;
  const DirectoryTiming& timing_;
  const BatchCallback onBatch_;
  const WriteFailedCallback onWriteFailed_;
  std::map<InstanceId, InstanceEntry> pending_;
};

} // namespace boragepier

#endif
