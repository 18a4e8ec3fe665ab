#include "boragepier/state/process_list.h"

#include <algorithm>
#include <set>
#include <utility>

#include <xxhash.h>

namespace boragepier {

namespace {

constexpr std::size_t kProcessBucketCount = 64;
constexpr unsigned kContentHashBits = 20; // rounds use 40 bits, see kMaxRound

// Orders entries of one start by round, and entries of one round by a hash of their contents, so
// that all instances prefer the same entry.
EntryVersion
EntryVersionOf(const ProcessEntry& aEntry)
{
  const ListedProcess& process = aEntry.process_;
  std::string contents = process.service_ + '\n' + process.address_ + '\n' + process.zone_ + '\n';
  contents += std::to_string(process.port_) + ' ' + std::to_string(process.peerPort_);
  contents += process.leaving_ ? 'l' : '-';
  contents += aEntry.missing_ ? 'm' : '-';
  const std::uint64_t contentHash =
    XXH3_64bits(contents.data(), contents.size()) >> (64U - kContentHashBits);
  return { process.startNumber_, (aEntry.round_ << kContentHashBits) | contentHash };
}

bool
SameContents(const ListedProcess& aLeft, const ListedProcess& aRight)
{
  return aLeft.service_ == aRight.service_ && aLeft.address_ == aRight.address_ &&
         aLeft.port_ == aRight.port_ && aLeft.peerPort_ == aRight.peerPort_ &&
         aLeft.zone_ == aRight.zone_ && aLeft.startNumber_ == aRight.startNumber_ &&
         aLeft.leaving_ == aRight.leaving_;
}

} // namespace

ProcessList::ProcessList()
  : versions_(kProcessBucketCount)
{
}

std::vector<std::string>
ProcessList::Merge(std::span<const ListedProcess> aList, std::uint64_t aRound)
{
  std::vector<std::string> changed;
  std::set<std::string, std::less<>> listedKeys;
  bool hasUpstream = false;
  for (const ListedProcess& process : aList) {
    hasUpstream = hasUpstream || process.role_ == "upstream";
    std::string key = KeyOf(process);
    if (Update(process, false, aRound)) {
      changed.push_back(key);
    }
    listedKeys.insert(std::move(key));
  }
  if (!hasUpstream) {
    return changed;
  }
  Confirm(aRound);
  std::vector<ListedProcess> missing;
  for (const auto& [key, entry] : entries_) {
    if (!entry.missing_ && !listedKeys.contains(key)) {
      missing.push_back(entry.process_);
    }
  }
  for (const ListedProcess& process : missing) {
    if (Update(process, true, aRound)) {
      changed.push_back(KeyOf(process));
    }
  }
  return changed;
}

bool
ProcessList::Update(const ListedProcess& aProcess, bool aMissing, std::uint64_t aRound)
{
  ProcessEntry entry{ aProcess, aRound, aMissing };
  if (const ProcessEntry* known = Find(KeyOf(aProcess)); known != nullptr) {
    const bool older = aProcess.startNumber_ < known->process_.startNumber_;
    const bool same = known->missing_ == aMissing && SameContents(known->process_, aProcess);
    if (older || same) {
      return false;
    }
    // The list fetched just now wins over an entry from a peer, even one of a later round.
    entry.round_ = std::min(std::max(aRound, known->round_ + 1), kMaxRound);
  }
  Store(KeyOf(aProcess), std::move(entry));
  return true;
}

bool
ProcessList::Accept(ProcessEntry aEntry, std::uint64_t aRound)
{
  if (aEntry.missing_ && aEntry.round_ + kTombstoneRounds <= aRound) {
    return false;
  }
  std::string key = KeyOf(aEntry.process_);
  if (const auto known = versions_.Find(key); known && *known >= EntryVersionOf(aEntry)) {
    return false;
  }
  Store(std::move(key), std::move(aEntry));
  return true;
}

void
ProcessList::Store(std::string aKey, ProcessEntry aEntry)
{
  versions_.Set(aKey, EntryVersionOf(aEntry));
  entries_.insert_or_assign(std::move(aKey), std::move(aEntry));
}

void
ProcessList::Confirm(std::uint64_t aRound)
{
  confirmedRound_ = std::max(confirmedRound_, aRound);
}

void
ProcessList::Expire(std::uint64_t aRound)
{
  std::erase_if(entries_, [&](const auto& aItem) {
    const auto& [key, entry] = aItem;
    if (!entry.missing_ || entry.round_ + kTombstoneRounds > aRound) {
      return false;
    }
    versions_.Erase(key);
    return true;
  });
}

const ProcessEntry*
ProcessList::Find(std::string_view aKey) const
{
  const auto found = entries_.find(aKey);
  return found == entries_.end() ? nullptr : &found->second;
}

const ProcessEntry*
ProcessList::FindUpstream(const UpstreamId& aId) const
{
  return Find("upstream/" + aId.Text());
}

bool
ProcessList::IsUsable(const ProcessEntry& aEntry, std::uint64_t aRound)
{
  return !aEntry.missing_ || aEntry.round_ + kMissingGraceRounds > aRound;
}

std::string
ProcessList::KeyOf(const ListedProcess& aProcess)
{
  return aProcess.role_ + '/' + aProcess.id_;
}

} // namespace boragepier
