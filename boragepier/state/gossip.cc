#include "boragepier/state/gossip.h"

#include <algorithm>
#include <array>

#include "boragepier/state/gossip_entries.h"

namespace boragepier {

namespace {

// Heads that are offered at a time: about 4 KB. What is left over differs in the next digest too.
constexpr std::size_t kHeadsOffered = 128;
// A configuration up to this size is relayed as a whole: asking for it costs a round trip, and each
// message of it can be lost.
constexpr std::size_t kRelayedBody = 1024;
// An entry that was asked for is not asked for again during this time.
constexpr Duration kPullTimeout = std::chrono::milliseconds(300);
constexpr std::size_t kMembersSampled = 8;
constexpr std::size_t kMembersForNewcomer = 32;
// Members are sampled with every second digest interval: one sample per second.
constexpr std::uint64_t kTicksPerSample = 2;

} // namespace

Gossip::Gossip(FleetState& aState, std::uint64_t aSeed, GossipLimits aLimits)
  : state_(aState)
  , random_(aSeed)
  , limits_(aLimits)
  , sendBudget_(aLimits.bytesPerSecond_)
  , receiveBudget_(aLimits.bytesPerSecond_)
{
}

void
Gossip::Tick()
{
  digests_.clear(); // digests that the budget has held back are out of date
  const std::vector<PeerEndpoint> peers = RandomPeers(kDigestPeers);
  for (const PeerEndpoint& peer : peers) {
    digests_.push_back({ peer, OwnDigest() });
  }
  if (++ticks_ % kTicksPerSample == 0 && !peers.empty()) {
    SendMembers(peers.front(), kMembersSampled);
  }
  std::erase_if(pulled_,
                [&](const auto& aItem) { return aItem.second.time_ + kPullTimeout < now_; });
}

std::vector<std::string>
Gossip::OnMessage(const PeerEndpoint& aSender,
                  PeerMessage aMessage,
                  std::size_t aBytes,
                  MonotonicTime aNow)
{
  now_ = aNow;
  receiveBudget_.Take(aBytes, aNow);
  std::visit(
    [&]<typename Content>(Content& aContent) {
      // The others are between instances that share a store (DirectoryWatch).
      if constexpr (!std::is_same_v<Content, PeerSubscribe> &&
                    !std::is_same_v<Content, PeerStoreUpdate>) {
        Handle(aSender, aContent);
      }
    },
    aMessage);
  return std::exchange(errors_, {});
}

void
Gossip::Handle(const PeerEndpoint& aSender, const PeerDigest& aDigest)
{
  state_.JumpTo(aDigest.round_);
  // The sender's round orders what it says of itself, whatever the order of arrival.
  const bool behind = state_.IsBehind(aDigest.round_);
  const MemberEntry member{ aSender, behind ? state_.Round() : aDigest.round_, aDigest.leaving_ };
  if (behind) {
    Reply(aSender, OwnDigest()); // brings the sender to the round of the fleet
  }
  if (state_.AcceptMember(member)) {
    SendMembers(aSender, kMembersForNewcomer);
    if (aDigest.leaving_) {
      RelayMember(member);
    }
  }
  if (std::ranges::equal(aDigest.configs_, state_.Configs().Index().Sums())) {
    state_.Reader().Advance(aDigest.configSerial_);
  }
  if (std::ranges::equal(aDigest.processes_, state_.Processes().Index().Sums())) {
    state_.ConfirmList(aDigest.listRound_);
  }
  if (receiveBudget_.HasTokens(now_)) {
    SendHeads(aSender, PeerSection::Departures, aDigest.departures_);
    SendHeads(aSender, PeerSection::Configs, aDigest.configs_);
    SendHeads(aSender, PeerSection::Processes, aDigest.processes_);
  }
}

void
Gossip::SendHeads(const PeerEndpoint& aPeer,
                  PeerSection aSection,
                  std::span<const std::uint32_t> aSums)
{
  const VersionIndex& index = IndexOf(state_, aSection);
  const std::span<const std::uint32_t> own = index.Sums();
  if (aSums.size() != own.size()) {
    return;
  }
  PeerKeyVersions heads{ aSection, {}, {} };
  const std::size_t first = random_(static_cast<std::uint32_t>(own.size()));
  for (std::size_t i = 0; i < own.size(); ++i) {
    const std::size_t bucket = (first + i) % own.size();
    const bool full = !heads.keyVersions_.empty() &&
                      heads.keyVersions_.size() + index.At(bucket).size() > kHeadsOffered;
    if (own[bucket] == aSums[bucket] || full || index.At(bucket).size() > kMaxPeerItems) {
      continue;
    }
    heads.buckets_.push_back(static_cast<std::uint16_t>(bucket));
    for (const auto& [key, version] : index.At(bucket)) {
      heads.keyVersions_.push_back({ key, version });
    }
  }
  if (!heads.buckets_.empty()) {
    Reply(aPeer, std::move(heads));
  }
}

void
Gossip::Handle(const PeerEndpoint& aSender, const PeerKeyVersions& aHeads)
{
  PeerPull pull{ aHeads.section_, {} };
  for (const PeerKeyVersions::KeyVersion& head : aHeads.keyVersions_) {
    if (ShouldPull(aHeads.section_, head)) {
      pull.keys_.push_back(head.key_);
    }
  }
  if (!pull.keys_.empty()) {
    Reply(aSender, std::move(pull));
  }
  SendNewer(aSender, aHeads);
}

bool
Gossip::ShouldPull(PeerSection aSection, const PeerKeyVersions::KeyVersion& aHead)
{
  const std::optional<EntryVersion> held = IndexOf(state_, aSection).Find(aHead.key_);
  if ((held && *held >= aHead.version_) || !receiveBudget_.HasTokens(now_)) {
    return false;
  }
  Pulled& pulled = pulled_[{ aSection, aHead.key_ }];
  if (pulled.version_ >= aHead.version_ && pulled.time_ + kPullTimeout > now_) {
    return false;
  }
  pulled = { aHead.version_, now_ };
  return true;
}

// Sends entries that the sender of a complete listing lacks.
void
Gossip::SendNewer(const PeerEndpoint& aPeer, const PeerKeyVersions& aHeads)
{
  const VersionIndex& index = IndexOf(state_, aHeads.section_);
  std::map<std::string_view, EntryVersion> theirs;
  for (const PeerKeyVersions::KeyVersion& head : aHeads.keyVersions_) {
    theirs.emplace(head.key_, head.version_);
  }
  std::vector<std::string> newer;
  for (const std::uint16_t bucket : aHeads.buckets_) {
    if (bucket >= index.Sums().size()) {
      continue;
    }
    for (const auto& [key, version] : index.At(bucket)) {
      const auto found = theirs.find(key);
      if (found == theirs.end() || found->second < version) {
        newer.push_back(key);
      }
    }
  }
  if (!newer.empty()) {
    std::span<const std::string> keys = newer;
    Reply(aPeer, CollectEntries(state_, aHeads.section_, keys, limits_.messageBytes_));
  }
}

void
Gossip::Handle(const PeerEndpoint& aSender, const PeerPull& aPull)
{
  std::span<const std::string> keys = aPull.keys_;
  Reply(aSender, CollectEntries(state_, aPull.section_, keys, limits_.messageBytes_));
}

void
Gossip::Handle(const PeerEndpoint&, PeerConfigs& aConfigs)
{
  for (ConfigRecord& record : aConfigs.records_) {
    const std::string service = record.service_.Text();
    bool accepted = true;
    try {
      accepted = state_.AcceptConfig(std::move(record));
    } catch (const ConfigRejected& error) {
      errors_.emplace_back(error.what());
    }
    if (accepted) {
      AddNews(PeerSection::Configs, service, false);
    }
  }
}

void
Gossip::Handle(const PeerEndpoint&, const PeerProcesses& aProcesses)
{
  for (const ProcessEntry& entry : aProcesses.entries_) {
    if (state_.AcceptProcess(entry)) {
      AddNews(PeerSection::Processes, ProcessList::KeyOf(entry.process_), false);
    }
  }
}

void
Gossip::Handle(const PeerEndpoint&, const PeerDepartures& aDepartures)
{
  state_.JumpTo(aDepartures.round_);
  for (const Departure& departure : aDepartures.entries_) {
    if (state_.AcceptDeparture(departure, aDepartures.round_)) {
      AddNews(PeerSection::Departures, departure.upstream_.Text(), false);
    }
  }
}

void
Gossip::Handle(const PeerEndpoint&, const PeerMembers& aMembers)
{
  for (const MemberEntry& member : aMembers.members_) {
    if (state_.AcceptMember(member) && member.leaving_) {
      RelayMember(member);
    }
  }
}

void
Gossip::AddNews(PeerSection aSection, const std::string& aKey, bool aOrigin)
{
  const auto found = news_.find({ aSection, aKey });
  if (found == news_.end() && news_.size() >= limits_.pendingNews_) {
    ++dropped_;
    return;
  }
  bool& origin = news_[{ aSection, aKey }];
  origin = origin || aOrigin;
}

void
Gossip::AnnounceLeaving()
{
  leaving_ = true;
  RelayMember({ state_.Self(), state_.Round(), true });
}

void
Gossip::RelayMember(const MemberEntry& aMember)
{
  for (const PeerEndpoint& peer : RandomPeers(kNewsPeers)) {
    Push(urgent_, limits_.queuedMessages_, { peer, PeerMembers{ { aMember } } });
  }
}

void
Gossip::SendMembers(const PeerEndpoint& aPeer, std::size_t aCount)
{
  std::vector<MemberEntry> heard = state_.Members().Heard();
  std::erase_if(heard, [&](const auto& aMember) { return aMember.endpoint_.id_ == aPeer.id_; });
  std::ranges::shuffle(heard, random_);
  // A lost message about a leaving member is made up for by the next samples.
  std::stable_partition(
    heard.begin(), heard.end(), [](const auto& aMember) { return aMember.leaving_; });
  heard.resize(std::min(heard.size(), aCount));
  if (!heard.empty()) {
    Reply(aPeer, PeerMembers{ std::move(heard) });
  }
}

std::optional<Gossip::Outgoing>
Gossip::Next(MonotonicTime aNow)
{
  now_ = aNow;
  if (!sendBudget_.HasTokens(aNow)) {
    return std::nullopt;
  }
  if (urgent_.empty()) {
    FlushNews();
  }
  for (std::deque<Outgoing>* queue : { &urgent_, &replies_, &digests_ }) {
    if (!queue->empty()) {
      Outgoing item = std::move(queue->front());
      queue->pop_front();
      return item;
    }
  }
  return std::nullopt;
}

void
Gossip::OnSent(std::size_t aBytes, MonotonicTime aNow)
{
  sendBudget_.Take(aBytes, aNow);
}

std::optional<Duration>
Gossip::Wait(MonotonicTime aNow)
{
  if (news_.empty() && urgent_.empty() && replies_.empty() && digests_.empty()) {
    return std::nullopt;
  }
  return sendBudget_.TimeUntilAvailable(aNow);
}

void
Gossip::FlushNews()
{
  if (news_.empty()) {
    return;
  }
  const std::vector<PeerEndpoint> peers = RandomPeers(kNewsPeers);
  for (const PeerMessage& message : TakeNews()) {
    for (const PeerEndpoint& peer : peers) {
      urgent_.push_back({ peer, message });
    }
  }
}

// Takes one message of each kind from the pending news; departures first.
std::vector<PeerMessage>
Gossip::TakeNews()
{
  std::vector<PeerMessage> messages;
  PeerKeyVersions heads{ PeerSection::Configs, {}, {} };
  std::vector<std::string> configs;
  std::vector<std::string> processes;
  std::vector<std::string> departures;
  for (const auto& [item, origin] : std::exchange(news_, {})) {
    const auto& [section, key] = item;
    if (section == PeerSection::Departures) {
      departures.push_back(key);
    } else if (section == PeerSection::Processes) {
      processes.push_back(key);
    } else if (const ConfigRecord* record = state_.Configs().Find(key);
               origin || (record != nullptr && record->body_.size() <= kRelayedBody)) {
      configs.push_back(key);
    } else if (const auto version = IndexOf(state_, section).Find(key)) {
      heads.keyVersions_.push_back({ key, *version });
    }
  }
  const std::array<std::pair<PeerSection, std::span<const std::string>>, kPeerSectionCount>
    sections = { { { PeerSection::Departures, departures },
                   { PeerSection::Configs, configs },
                   { PeerSection::Processes, processes } } };
  for (auto [section, keys] : sections) {
    if (!keys.empty()) {
      messages.push_back(CollectEntries(state_, section, keys, limits_.messageBytes_));
    }
    for (const std::string& key : keys) { // what did not fit into the message
      AddNews(section, key, false);
    }
  }
  if (!heads.keyVersions_.empty()) {
    messages.emplace_back(std::move(heads));
  }
  return messages;
}

PeerDigest
Gossip::OwnDigest() const
{
  const auto copy = [](std::span<const std::uint32_t> aSums) {
    return std::vector<std::uint32_t>(aSums.begin(), aSums.end());
  };
  return { state_.Round(),
           state_.Reader().Serial(),
           state_.Processes().ConfirmedRound(),
           leaving_,
           copy(state_.Configs().Index().Sums()),
           copy(state_.Processes().Index().Sums()),
           copy(state_.Departing().Index().Sums()) };
}

std::vector<PeerEndpoint>
Gossip::RandomPeers(std::size_t aCount)
{
  std::vector<const PeerEndpoint*> all = state_.Members().Peers(state_.Round());
  std::vector<PeerEndpoint> peers;
  for (std::size_t i = 0; i < std::min(aCount, all.size()); ++i) {
    std::swap(all[i], all[i + random_(static_cast<std::uint32_t>(all.size() - i))]);
    peers.push_back(*all[i]);
  }
  return peers;
}

void
Gossip::Reply(const PeerEndpoint& aPeer, PeerMessage aMessage)
{
  Push(replies_, limits_.queuedMessages_, { aPeer, std::move(aMessage) });
}

void
Gossip::Push(std::deque<Outgoing>& aQueue, std::size_t aLimit, Outgoing aItem)
{
  if (aQueue.size() >= aLimit) {
    aQueue.pop_front();
    ++dropped_;
  }
  aQueue.push_back(std::move(aItem));
}

} // namespace boragepier
