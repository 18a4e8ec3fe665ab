#include "boragepier/decision/admission_queue.h"

#include <algorithm>

namespace boragepier {

bool
AdmissionQueue::Push(const CallInfo& aCall, std::optional<std::uint64_t>& aDisplaced)
{
  if (Size() >= limit_) {
    auto& background = queues_[1];
    if (aCall.trafficClass_ != TrafficClass::Interactive || background.empty()) {
      return false;
    }
    aDisplaced = background.back().id_;
    background.pop_back();
  }
  queues_.at(static_cast<std::size_t>(aCall.trafficClass_)).push_back(aCall);
  return true;
}

const CallInfo*
AdmissionQueue::Front() const
{
  for (const auto& queue : queues_) {
    if (!queue.empty()) {
      return &queue.front();
    }
  }
  return nullptr;
}

void
AdmissionQueue::PopFront()
{
  for (auto& queue : queues_) {
    if (!queue.empty()) {
      queue.pop_front();
      return;
    }
  }
}

std::vector<std::uint64_t>
AdmissionQueue::TakeExpired(MonotonicTime aTime)
{
  std::vector<std::uint64_t> expired;
  for (auto& queue : queues_) {
    std::erase_if(queue, [&](const CallInfo& aCall) {
      if (aCall.deadline_ > aTime) {
        return false;
      }
      expired.push_back(aCall.id_);
      return true;
    });
  }
  return expired;
}

bool
AdmissionQueue::Remove(std::uint64_t aCallId)
{
  for (auto& queue : queues_) {
    if (std::erase_if(queue, [&](const CallInfo& aCall) { return aCall.id_ == aCallId; }) > 0) {
      return true;
    }
  }
  return false;
}

std::optional<MonotonicTime>
AdmissionQueue::EarliestDeadline() const
{
  std::optional<MonotonicTime> earliest;
  for (const auto& queue : queues_) {
    for (const CallInfo& call : queue) {
      earliest = earliest ? std::min(*earliest, call.deadline_) : call.deadline_;
    }
  }
  return earliest;
}

std::size_t
AdmissionQueue::CountAhead(TrafficClass aClass) const
{
  return aClass == TrafficClass::Interactive ? queues_[0].size() : Size();
}

} // namespace boragepier
