#include "boragepier/control/fleet_fixture.h"

#include <algorithm>

namespace boragepier::fleet {

namespace {

// Bytes that HTTP/2 and its header compression add per message on an open connection, in both
// directions; see docs/peers.md.
constexpr std::size_t kFramingBytes = 64;
constexpr Duration kUnreachableDelay = std::chrono::seconds(2);

PeerEndpoint
EndpointOf(int aNumber)
{
  return { InstanceId("instance-" + std::to_string(aNumber)),
           "10.0.0." + std::to_string(aNumber),
           static_cast<std::uint16_t>(7000 + aNumber) };
}

ServiceConfig
ParseBody(std::string_view aText, std::string_view aName)
{
  if (aText == "bad") {
    throw Error("body does not parse");
  }
  ServiceConfig config;
  config.name_ = ServiceName(std::string(aName));
  return config;
}

} // namespace

MonotonicTime
Instance::Loop::Now() const
{
  return owner_.fleet_.clock_.Now();
}

std::uint64_t
Instance::Loop::After(Duration aDelay, std::function<void()> aTask)
{
  return owner_.fleet_.clock_.ScheduleAt(
    Now() + aDelay, [weakOwner = owner_.weak_from_this(), task = std::move(aTask)] {
      if (const auto instance = weakOwner.lock()) {
        task();
      }
    });
}

bool
Instance::Loop::Cancel(std::uint64_t aId)
{
  return owner_.fleet_.clock_.Cancel(aId);
}

void
Instance::Store::Submit(const TableRequest& aRequest, MonotonicTime, TableCallback aDone)
{
  Fleet& fleet = owner_.fleet_;
  ++fleet.storeReads_;
  TableReply reply;
  if (!fleet.storeDown_ &&
      fleet.partitionsWithPlatform_.contains(fleet.PartitionOf(owner_.number_))) {
    reply.status_ = TableReply::Status::Done;
    for (const TableOperation& operation : aRequest.operations_) {
      TableOperationResult result;
      if (operation.kind_ == TableOperation::Kind::Scan) {
        for (auto row =
               fleet.tableRows_.upper_bound(std::max(operation.key_, operation.startAfter_));
             row != fleet.tableRows_.end() && row->first.starts_with(operation.key_) &&
             result.scanned_.size() < operation.limit_;
             ++row) {
          result.scanned_.push_back({ row->first, row->second, 1 });
        }
      } else if (const auto row = fleet.tableRows_.find(operation.key_);
                 row != fleet.tableRows_.end()) {
        result.row_ = TableRow{ row->first, row->second, 1 };
      }
      reply.results_.push_back(std::move(result));
    }
  }
  owner_.loop_.After(std::chrono::milliseconds(10),
                     [reply = std::move(reply), done = std::move(aDone)] { done(reply); });
}

void
Instance::List::Fetch(ListCallback aDone)
{
  Fleet& fleet = owner_.fleet_;
  ++fleet.listReads_;
  std::optional<std::vector<ListedProcess>> list;
  if (!fleet.listDown_ &&
      fleet.partitionsWithPlatform_.contains(fleet.PartitionOf(owner_.number_))) {
    list = fleet.listedProcesses_;
  }
  owner_.loop_.After(std::chrono::milliseconds(10),
                     [list = std::move(list), done = std::move(aDone)] { done(list); });
}

std::size_t
Instance::Transport::Send(const PeerEndpoint& aPeer, const PeerMessage& aMessage)
{
  Fleet& fleet = owner_.fleet_;
  const std::string bytes = peer::EncodePeerMessage(aMessage);
  counters_.bytesSent_ += bytes.size() + kFramingBytes;
  ++counters_.messagesSent_;
  const int number = aPeer.port_ - 7000;
  if (!fleet.instances_.contains(number) || !fleet.Connected(owner_.number_, number)) {
    owner_.loop_.After(kUnreachableDelay, [this, id = aPeer.id_] { onUnreachable_(id); });
    return bytes.size();
  }
  const int copies = (fleet.RandomFraction() < fleet.network_.lossRate_ ? 0 : 1) +
                     (fleet.RandomFraction() < fleet.network_.duplicationRate_);
  for (int i = 0; i < copies; ++i) {
    const std::shared_ptr<Instance> receiver = fleet.instances_[number];
    receiver->loop_.After(
      fleet.RandomDelay(), [&target = *receiver, bytes, sender = EndpointOf(owner_.number_)] {
        target.transport_.counters_.bytesReceived_ += bytes.size() + kFramingBytes;
        ++target.transport_.counters_.messagesReceived_;
        target.transport_.onMessage_(sender, peer::DecodePeerMessage(bytes), bytes.size());
      });
  }
  return bytes.size();
}

Instance::Instance(Fleet& aFleet, int aNumber, std::uint64_t aSeed)
  : fleet_(aFleet)
  , number_(aNumber)
  , plane_(loop_,
           store_,
           list_,
           transport_,
           ControlOptions(EndpointOf(aNumber), ParseBody)
             .WithSeeds({ EndpointOf(1), EndpointOf(2), EndpointOf(3) })
             .WithRandomSeed(aSeed))
{
  plane_.OnRoutingChanged(
    [this](std::shared_ptr<const RoutingTable> aTable) { OnRoutingTable(std::move(aTable)); });
}

void
Instance::OnRoutingTable(std::shared_ptr<const RoutingTable> aTable)
{
  table_ = std::move(aTable);
  for (const ServiceRoute& route : table_->services_) {
    std::uint64_t& version = configVersions_[route.config_.name_];
    if (route.version_ < version) {
      fleet_.violations_.push_back("instance " + std::to_string(number_) +
                                   " decreased the version of " + route.config_.name_.Text());
    }
    version = route.version_;
    for (const UpstreamEndpoint& upstream : route.upstreams_) {
      std::uint64_t& departedStart = departedStarts_[upstream.id_];
      if (upstream.leaving_) {
        departedStart = std::max(departedStart, upstream.startNumber_);
      } else if (upstream.startNumber_ <= departedStart) {
        fleet_.violations_.push_back("instance " + std::to_string(number_) +
                                     " used a departed start of " + upstream.id_.Text());
      }
    }
  }
}

std::uint64_t
Instance::ConfigVersionOf(const std::string& aService) const
{
  const auto found = configVersions_.find(ServiceName(aService));
  return found == configVersions_.end() ? 0 : found->second;
}

const UpstreamEndpoint*
Instance::FindUpstream(const std::string& aId) const
{
  for (const ServiceRoute& route : table_->services_) {
    for (const UpstreamEndpoint& upstream : route.upstreams_) {
      if (upstream.id_.View() == aId) {
        return &upstream;
      }
    }
  }
  return nullptr;
}

bool
Instance::KnowsLeaving(const std::string& aId, std::uint64_t aStartNumber) const
{
  const UpstreamEndpoint* found = FindUpstream(aId);
  return found != nullptr && (found->startNumber_ > aStartNumber || found->leaving_);
}

void
Fleet::Start(int aNumber)
{
  const auto instance = std::make_shared<Instance>(*this, aNumber, random_());
  instances_[aNumber] = instance;
  instance->plane_.Start();
}

void
Fleet::StartAll(int aCount)
{
  for (int i = 1; i <= aCount; ++i) {
    ListedProcess process;
    process.id_ = EndpointOf(i).id_.Text();
    process.role_ = "entry";
    process.address_ = EndpointOf(i).address_;
    process.peerPort_ = EndpointOf(i).port_;
    process.startNumber_ = 1;
    listedProcesses_.push_back(process);
  }
  for (int i = 1; i <= aCount; ++i) {
    Start(i);
  }
}

ConfigRecord
Fleet::Publish(const std::string& aService, const std::string& aBody)
{
  ConfigRecord record{ ServiceName(aService), ++publishedVersions_[aService], "publish", aBody };
  configHead_.Append(record.service_, record.version_);
  tableRows_[std::string(kConfigHeadKey)] = EncodeConfigHead(configHead_);
  tableRows_[ConfigRowKey(record.service_)] = EncodeConfigRecord(record);
  return record;
}

ListedProcess&
Fleet::AddUpstream(const std::string& aId, const std::string& aService)
{
  ListedProcess process;
  process.id_ = aId;
  process.role_ = "upstream";
  process.service_ = aService;
  process.address_ = "10.1.0.1";
  process.port_ = 80;
  process.zone_ = "zone-a";
  process.startNumber_ = 1;
  return listedProcesses_.emplace_back(process);
}

ListedProcess*
Fleet::FindListedProcess(const std::string& aId)
{
  const auto found = std::ranges::find_if(
    listedProcesses_, [&](const auto& aProcess) { return aProcess.id_ == aId; });
  return found == listedProcesses_.end() ? nullptr : &*found;
}

Duration
Fleet::RunUntil(Duration aLimit, const std::function<bool(const Instance&)>& aCondition)
{
  const MonotonicTime start = clock_.Now();
  while (clock_.Now() - start <= aLimit) {
    if (std::ranges::all_of(instances_,
                            [&](const auto& aItem) { return aCondition(*aItem.second); })) {
      return clock_.Now() - start;
    }
    clock_.RunFor(std::chrono::milliseconds(10));
  }
  return aLimit + Duration(1);
}

Duration
Fleet::RandomDelay()
{
  const auto delayRange =
    static_cast<std::uint64_t>((network_.maxDelay_ - network_.minDelay_).count() + 1);
  return network_.minDelay_ + Duration(random_(delayRange));
}

} // namespace boragepier::fleet
