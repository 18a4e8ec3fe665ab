#include "boragepier/state/process_list.h"

#include <algorithm>
#include <set>
#include <utility>

#include <xxhash.h>

namespace boragepier {

namespace {

constexpr std::size_t kProcessBuckets = 64;
constexpr unsigned kContentBits = 20; // rounds use 40 bits, see kMaxRound

// Orders entries by round; entries of one round by contents, so that all instances choose the same.
EntryVersion
VersionOf(const ProcessEntry& aEntry)
{
  const ListedProcess& process = aEntry.process_;
  std::string text = process.service_ + '\n' + process.address_ + '\n' + process.zone_ + '\n';
  text += std::to_string(process.port_) + ' ' + std::to_string(process.peerPort_);
  text += process.leaving_ ? 'l' : '-';
  text += aEntry.missing_ ? 'm' : '-';
  const std::uint64_t content = XXH3_64bits(text.data(), text.size()) >> (64U - kContentBits);
  return { process.startNumber_, (aEntry.round_ << kContentBits) | content };
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
  : index_(kProcessBuckets)
{
}

std::vector<std::string>
ProcessList::Merge(std::span<const ListedProcess> aList, std::uint64_t aRound)
{
  std::vector<std::string> changed;
  std::set<std::string, std::less<>> seen;
  bool hasUpstream = false;
  for (const ListedProcess& process : aList) {
    hasUpstream = hasUpstream || process.role_ == "upstream";
    std::string key = KeyOf(process);
    if (Update(process, false, aRound)) {
      changed.push_back(key);
    }
    seen.insert(std::move(key));
  }
  if (!hasUpstream) {
    return changed;
  }
  Confirm(aRound);
  std::vector<ListedProcess> missing;
  for (const auto& [key, entry] : entries_) {
    if (!entry.missing_ && !seen.contains(key)) {
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
  if (const ProcessEntry* held = Find(KeyOf(aProcess)); held != nullptr) {
    const bool older = aProcess.startNumber_ < held->process_.startNumber_;
    const bool same = held->missing_ == aMissing && SameContents(held->process_, aProcess);
    if (older || same) {
      return false;
    }
    // What was fetched here last wins over a peer's entry of the same or a later round.
    entry.round_ = std::min(std::max(aRound, held->round_ + 1), kMaxRound);
  }
  Put(KeyOf(aProcess), std::move(entry));
  return true;
}

bool
ProcessList::Accept(ProcessEntry aEntry, std::uint64_t aRound)
{
  if (aEntry.missing_ && aEntry.round_ + kForgetRounds <= aRound) {
    return false;
  }
  std::string key = KeyOf(aEntry.process_);
  if (const auto held = index_.Find(key); held && *held >= VersionOf(aEntry)) {
    return false;
  }
  Put(std::move(key), std::move(aEntry));
  return true;
}

void
ProcessList::Put(std::string aKey, ProcessEntry aEntry)
{
  index_.Set(aKey, VersionOf(aEntry));
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
    if (!entry.missing_ || entry.round_ + kForgetRounds > aRound) {
      return false;
    }
    index_.Erase(key);
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
ProcessList::Usable(const ProcessEntry& aEntry, std::uint64_t aRound)
{
  return !aEntry.missing_ || aEntry.round_ + kMissingGraceRounds > aRound;
}

std::string
ProcessList::KeyOf(const ListedProcess& aProcess)
{
  return aProcess.role_ + '/' + aProcess.id_;
}

} // namespace boragepier
