#include "boragepier/decision/fair_queue.h"

#include <algorithm>

namespace boragepier {

double
FairQueue::NextTag(std::uint64_t aTeam) const
{
  const auto found = finishTags_.find(aTeam);
  return found == finishTags_.end() ? virtualTime_ : std::max(virtualTime_, found->second);
}

double
FairQueue::Charge(std::uint64_t aTeam, double aCost)
{
  if (finishTags_.size() >= nextCleanupSize_) {
    RemoveIdle();
  }
  const double tag = NextTag(aTeam);
  finishTags_[aTeam] = tag + aCost;
  return tag;
}

void
FairQueue::Refund(std::uint64_t aTeam, double aCost)
{
  if (const auto found = finishTags_.find(aTeam); found != finishTags_.end()) {
    found->second -= aCost;
  }
}

void
FairQueue::OnDispatch(double aTag)
{
  virtualTime_ = std::max(virtualTime_, aTag);
}

void
FairQueue::Clear()
{
  finishTags_.clear();
  virtualTime_ = 0;
  nextCleanupSize_ = 64;
}

void
FairQueue::RemoveIdle()
{
  std::erase_if(finishTags_, [&](const auto& aEntry) { return aEntry.second <= virtualTime_; });
  // So that the cost of a cleanup is spread over as many new teams.
  nextCleanupSize_ = std::max<std::size_t>(64, 2 * finishTags_.size());
}

} // namespace boragepier
