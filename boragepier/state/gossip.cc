#include "boragepier/state/gossip.h"

#include <algorithm>
#include <array>

#include "boragepier/state/gossip_entries.h"

namespace boragepier {

namespace {

// Entry versions sent in reply to a digest: about 4 KB. Buckets that are omitted are found again
// with the next digest.
constexpr std::size_t kMaxOfferedVersions = 128;
// A received configuration up to this size is pushed whole. A pull costs a round trip, and each of
// its messages can be lost.
constexpr std::size_t kMaxPushedBodyBytes = 1024;
// Time to wait for a requested entry before it is requested again.
constexpr Duration kPullTimeout = std::chrono::milliseconds(300);
constexpr std::size_t kMembersPerSample = 8;
constexpr std::size_t kMembersForNewPeer = 32;
// Digest intervals between two samples of members: one sample per second.
constexpr std::uint64_t kTicksPerMemberSample = 2;

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
  digestQueue_.clear(); // digests still waiting for the byte budget are out of date
  const std::vector<PeerEndpoint> peers = RandomPeers(kDigestFanout);
  for (const PeerEndpoint& peer : peers) {
    digestQueue_.push_back({ peer, OwnDigest() });
  }
  if (++ticks_ % kTicksPerMemberSample == 0 && !peers.empty()) {
    SendMembers(peers.front(), kMembersPerSample);
  }
  std::erase_if(recentPulls_,
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
      // The other types are handled by DirectoryWatch and QuotaAgent.
      if constexpr (!std::is_same_v<Content, PeerSubscribe> &&
                    !std::is_same_v<Content, PeerStoreUpdate> &&
                    !std::is_same_v<Content, PeerQuotaRequest> &&
                    !std::is_same_v<Content, PeerQuotaGrant>) {
        Handle(aSender, aContent);
      }
    },
    aMessage);
  return std::exchange(configErrors_, {});
}

void
Gossip::Handle(const PeerEndpoint& aSender, const PeerDigest& aDigest)
{
  state_.AdoptRound(aDigest.round_);
  // The entry has the sender's own round, so that a digest that arrives out of order does not
  // replace newer information.
  const bool senderIsBehind = state_.IsBehind(aDigest.round_);
  const MemberEntry member{ aSender,
                            senderIsBehind ? state_.Round() : aDigest.round_,
                            aDigest.leaving_ };
  if (senderIsBehind) {
    Reply(aSender, OwnDigest()); // makes the sender adopt the current round
  }
  if (state_.AcceptMember(member)) {
    SendMembers(aSender, kMembersForNewPeer);
    if (aDigest.leaving_) {
      RelayMember(member);
    }
  }
  if (std::ranges::equal(aDigest.configs_, state_.Configs().Versions().BucketChecksums())) {
    state_.StoreReader().AdvanceSerial(aDigest.configSerial_);
  }
  if (std::ranges::equal(aDigest.processes_, state_.Processes().Versions().BucketChecksums())) {
    state_.ConfirmList(aDigest.listRound_);
  }
  if (receiveBudget_.HasTokens(now_)) {
    OfferVersions(aSender, PeerSection::Departures, aDigest.departures_);
    OfferVersions(aSender, PeerSection::Configs, aDigest.configs_);
    OfferVersions(aSender, PeerSection::Processes, aDigest.processes_);
  }
}

void
Gossip::OfferVersions(const PeerEndpoint& aPeer,
                      PeerSection aSection,
                      std::span<const std::uint32_t> aChecksums)
{
  const VersionIndex& versions = SectionVersions(state_, aSection);
  const std::span<const std::uint32_t> ownChecksums = versions.BucketChecksums();
  if (aChecksums.size() != ownChecksums.size()) {
    return;
  }
  PeerKeyVersions keyVersions{ aSection, {}, {} };
  const std::size_t firstBucket = random_(static_cast<std::uint32_t>(ownChecksums.size()));
  for (std::size_t i = 0; i < ownChecksums.size(); ++i) {
    const std::size_t bucket = (firstBucket + i) % ownChecksums.size();
    const bool isFull =
      !keyVersions.keyVersions_.empty() &&
      keyVersions.keyVersions_.size() + versions.BucketAt(bucket).size() > kMaxOfferedVersions;
    if (ownChecksums[bucket] == aChecksums[bucket] || isFull ||
        versions.BucketAt(bucket).size() > kMaxPeerItems) {
      continue;
    }
    keyVersions.buckets_.push_back(static_cast<std::uint16_t>(bucket));
    for (const auto& [key, version] : versions.BucketAt(bucket)) {
      keyVersions.keyVersions_.push_back({ key, version });
    }
  }
  if (!keyVersions.buckets_.empty()) {
    Reply(aPeer, std::move(keyVersions));
  }
}

void
Gossip::Handle(const PeerEndpoint& aSender, const PeerKeyVersions& aKeyVersions)
{
  PeerPull pull{ aKeyVersions.section_, {} };
  for (const PeerKeyVersions::KeyVersion& keyVersion : aKeyVersions.keyVersions_) {
    if (ShouldPull(aKeyVersions.section_, keyVersion)) {
      pull.keys_.push_back(keyVersion.key_);
    }
  }
  if (!pull.keys_.empty()) {
    Reply(aSender, std::move(pull));
  }
  SendNewerEntries(aSender, aKeyVersions);
}

bool
Gossip::ShouldPull(PeerSection aSection, const PeerKeyVersions::KeyVersion& aKeyVersion)
{
  const std::optional<EntryVersion> known =
    SectionVersions(state_, aSection).Find(aKeyVersion.key_);
  if ((known && *known >= aKeyVersion.version_) || !receiveBudget_.HasTokens(now_)) {
    return false;
  }
  RecentPull& recentPull = recentPulls_[{ aSection, aKeyVersion.key_ }];
  if (recentPull.version_ >= aKeyVersion.version_ && recentPull.time_ + kPullTimeout > now_) {
    return false;
  }
  recentPull = { aKeyVersion.version_, now_ };
  return true;
}

// Sends entries that the peer lacks or has in an older version. The peer has listed all versions of
// the buckets in aKeyVersions.
void
Gossip::SendNewerEntries(const PeerEndpoint& aPeer, const PeerKeyVersions& aKeyVersions)
{
  const VersionIndex& versions = SectionVersions(state_, aKeyVersions.section_);
  std::map<std::string_view, EntryVersion> peerVersions;
  for (const PeerKeyVersions::KeyVersion& keyVersion : aKeyVersions.keyVersions_) {
    peerVersions.emplace(keyVersion.key_, keyVersion.version_);
  }
  std::vector<std::string> newerKeys;
  for (const std::uint16_t bucket : aKeyVersions.buckets_) {
    if (bucket >= versions.BucketChecksums().size()) {
      continue;
    }
    for (const auto& [key, version] : versions.BucketAt(bucket)) {
      const auto found = peerVersions.find(key);
      if (found == peerVersions.end() || found->second < version) {
        newerKeys.push_back(key);
      }
    }
  }
  if (!newerKeys.empty()) {
    std::span<const std::string> keys = newerKeys;
    Reply(aPeer,
          BuildEntriesMessage(state_, aKeyVersions.section_, keys, limits_.targetMessageBytes_));
  }
}

void
Gossip::Handle(const PeerEndpoint& aSender, const PeerPull& aPull)
{
  std::span<const std::string> keys = aPull.keys_;
  Reply(aSender, BuildEntriesMessage(state_, aPull.section_, keys, limits_.targetMessageBytes_));
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
      configErrors_.emplace_back(error.what());
    }
    if (accepted) {
      QueueUpdate(PeerSection::Configs, service, false);
    }
  }
}

void
Gossip::Handle(const PeerEndpoint&, const PeerProcesses& aProcesses)
{
  for (const ProcessEntry& entry : aProcesses.entries_) {
    if (state_.AcceptProcess(entry)) {
      QueueUpdate(PeerSection::Processes, ProcessList::KeyOf(entry.process_), false);
    }
  }
}

void
Gossip::Handle(const PeerEndpoint&, const PeerDepartures& aDepartures)
{
  state_.AdoptRound(aDepartures.round_);
  for (const Departure& departure : aDepartures.entries_) {
    if (state_.AcceptDeparture(departure, aDepartures.round_)) {
      QueueUpdate(PeerSection::Departures, departure.upstream_.Text(), false);
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
Gossip::QueueUpdate(PeerSection aSection, const std::string& aKey, bool aIsOrigin)
{
  const auto found = pendingUpdates_.find({ aSection, aKey });
  if (found == pendingUpdates_.end() && pendingUpdates_.size() >= limits_.maxPendingUpdates_) {
    ++droppedCount_;
    return;
  }
  bool& isOrigin = pendingUpdates_[{ aSection, aKey }];
  isOrigin = isOrigin || aIsOrigin;
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
  for (const PeerEndpoint& peer : RandomPeers(kPushFanout)) {
    PushBounded(pushQueue_, limits_.maxQueuedMessages_, { peer, PeerMembers{ { aMember } } });
  }
}

void
Gossip::SendMembers(const PeerEndpoint& aPeer, std::size_t aCount)
{
  std::vector<MemberEntry> heard = state_.Members().RecentlyHeard();
  std::erase_if(heard, [&](const auto& aMember) { return aMember.endpoint_.id_ == aPeer.id_; });
  std::ranges::shuffle(heard, random_);
  // Leaving members come first, so that later samples make up for a lost message about them.
  std::stable_partition(
    heard.begin(), heard.end(), [](const auto& aMember) { return aMember.leaving_; });
  heard.resize(std::min(heard.size(), aCount));
  if (!heard.empty()) {
    Reply(aPeer, PeerMembers{ std::move(heard) });
  }
}

std::optional<Gossip::Outgoing>
Gossip::NextMessage(MonotonicTime aNow)
{
  now_ = aNow;
  if (!sendBudget_.HasTokens(aNow)) {
    return std::nullopt;
  }
  if (pushQueue_.empty()) {
    QueuePushMessages();
  }
  for (std::deque<Outgoing>* queue : { &pushQueue_, &replyQueue_, &digestQueue_ }) {
    if (!queue->empty()) {
      Outgoing message = std::move(queue->front());
      queue->pop_front();
      return message;
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
Gossip::TimeUntilNextMessage(MonotonicTime aNow)
{
  if (pendingUpdates_.empty() && pushQueue_.empty() && replyQueue_.empty() &&
      digestQueue_.empty()) {
    return std::nullopt;
  }
  return sendBudget_.TimeUntilAvailable(aNow);
}

void
Gossip::QueuePushMessages()
{
  if (pendingUpdates_.empty()) {
    return;
  }
  const std::vector<PeerEndpoint> peers = RandomPeers(kPushFanout);
  for (const PeerMessage& message : BuildPushMessages()) {
    for (const PeerEndpoint& peer : peers) {
      pushQueue_.push_back({ peer, message });
    }
  }
}

// Builds one message for each section from the pending entries, departures first. Entries that do
// not fit stay pending.
std::vector<PeerMessage>
Gossip::BuildPushMessages()
{
  std::vector<PeerMessage> messages;
  PeerKeyVersions keyVersions{ PeerSection::Configs, {}, {} };
  std::vector<std::string> configs;
  std::vector<std::string> processes;
  std::vector<std::string> departures;
  for (const auto& [entry, isOrigin] : std::exchange(pendingUpdates_, {})) {
    const auto& [section, key] = entry;
    if (section == PeerSection::Departures) {
      departures.push_back(key);
    } else if (section == PeerSection::Processes) {
      processes.push_back(key);
    } else if (const ConfigRecord* record = state_.Configs().Find(key);
               isOrigin || (record != nullptr && record->body_.size() <= kMaxPushedBodyBytes)) {
      configs.push_back(key);
    } else if (const auto version = SectionVersions(state_, section).Find(key)) {
      keyVersions.keyVersions_.push_back({ key, *version });
    }
  }
  const std::array<std::pair<PeerSection, std::span<const std::string>>, kPeerSectionCount>
    sections = { { { PeerSection::Departures, departures },
                   { PeerSection::Configs, configs },
                   { PeerSection::Processes, processes } } };
  for (auto [section, keys] : sections) {
    if (!keys.empty()) {
      messages.push_back(BuildEntriesMessage(state_, section, keys, limits_.targetMessageBytes_));
    }
    for (const std::string& key : keys) { // keys that did not fit into the message
      QueueUpdate(section, key, false);
    }
  }
  if (!keyVersions.keyVersions_.empty()) {
    messages.emplace_back(std::move(keyVersions));
  }
  return messages;
}

PeerDigest
Gossip::OwnDigest() const
{
  const auto copyChecksums = [](std::span<const std::uint32_t> aChecksums) {
    return std::vector<std::uint32_t>(aChecksums.begin(), aChecksums.end());
  };
  return { state_.Round(),
           state_.StoreReader().SyncedSerial(),
           state_.Processes().ConfirmedRound(),
           leaving_,
           copyChecksums(state_.Configs().Versions().BucketChecksums()),
           copyChecksums(state_.Processes().Versions().BucketChecksums()),
           copyChecksums(state_.UpstreamDepartures().Versions().BucketChecksums()) };
}

std::vector<PeerEndpoint>
Gossip::RandomPeers(std::size_t aCount)
{
  std::vector<const PeerEndpoint*> all = state_.Members().ReachablePeers(state_.Round());
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
  PushBounded(replyQueue_, limits_.maxQueuedMessages_, { aPeer, std::move(aMessage) });
}

void
Gossip::PushBounded(std::deque<Outgoing>& aQueue, std::size_t aLimit, Outgoing aItem)
{
  if (aQueue.size() >= aLimit) {
    aQueue.pop_front();
    ++droppedCount_;
  }
  aQueue.push_back(std::move(aItem));
}

} // namespace boragepier
