#ifndef BORAGEPIER_ENTRY_DIRECTORY_THREAD_H
#define BORAGEPIER_ENTRY_DIRECTORY_THREAD_H

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "boragepier/config/settings.h"
#include "boragepier/directory/directory_watch.h"
#include "boragepier/entry/control_thread_base.h"
#include "boragepier/entry/process_environment.h"
#include "boragepier/http/client.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/peer/http2_transport.h"
#include "boragepier/quota/quota_agent.h"
#include "boragepier/telemetry/log.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// Logs a change of the configuration, the upstreams or the instances in the store.
/// @param aSource "store", or the instance from which this one learnt of the change
void
LogDirectoryEvent(const DirectoryEvent& aEvent, std::string_view aSource);

/// @return the limits on all instances together that the settings contain
FleetSettings
FleetLimitsFrom(const Settings& aSettings);

/// Logs that requests of a team are refused because its quota is used up.
/// @param aOwner instance that will have credit first
/// @param aRetryAfter when it will
void
LogTeamRefused(const TeamName& aTeam, const InstanceId& aOwner, Duration aRetryAfter);

/// @return how the requests of teams are counted, as the settings state
QuotaRules
QuotaRulesFrom(const Settings& aSettings);

/// @return the capacity of the instance for relaying updates to other instances, in megabits per
/// second: the smaller of its link bandwidth and what its processor cores can relay. A core counts
/// as 1,000 Mbit/s.
double
RelayCapacity(const Settings& aSettings);

/// Control thread of an instance that reads configuration and upstreams from a store, directly or
/// relayed by another instance.
template<DirectoryFeed F>
class DirectoryThread : public ControlThreadBase
{
public:
  /// Creates the client of the store.
  using FeedFactory = std::function<std::unique_ptr<F>(http::Client&, const Settings&)>;

  /// @param aSettings settings of the instance
  /// @param aMetrics must outlive this object
  /// @param aOnRoutingTable receives each new routing table; called in the control thread
  /// @param aPeriodicTask called about once a second in the control thread
  /// @param aFeedFactory called once, in the constructor
  DirectoryThread(const Settings& aSettings,
                  Metrics& aMetrics,
                  RoutingCallback aOnRoutingTable,
                  std::function<void()> aPeriodicTask,
                  const FeedFactory& aFeedFactory)
    : metrics_(aMetrics)
    , onRoutingTable_(std::move(aOnRoutingTable))
    , periodicTask_(std::move(aPeriodicTask))
    , settings_(aSettings)
    , client_(loop_)
    , feed_(aFeedFactory(client_, aSettings))
    , peers_(loop_, RelayLimits(aSettings.descriptors_))
    , quotas_(loop_,
              peers_,
              aSettings.id_,
              aSettings.zone_,
              QuotaRulesFrom(aSettings),
              std::random_device()())
  {
    client_.SetMaxConnections(aSettings.descriptors_.storeConnections_);
  }

  ~DirectoryThread() override { DirectoryThread::Stop(); }

  std::uint16_t Listen() override
  {
    lastTickNs_ = loop_.Now().time_since_epoch().count();
    const std::uint16_t port =
      peers_.Listen(settings_.peerEndpoint_.address_, settings_.peerEndpoint_.port_);
    watch_ = std::make_unique<Watch>(loop_,
                                     *feed_,
                                     peers_,
                                     InstanceEntry{ settings_.id_,
                                                    settings_.peerEndpoint_.address_,
                                                    port,
                                                    RelayCapacity(settings_),
                                                    settings_.zone_ },
                                     FleetLimitsFrom(settings_),
                                     DirectoryTiming{},
                                     std::random_device()());
    watch_->OnEvent([this](const DirectoryEvent& aEvent) { LogDirectoryEvent(aEvent, source_); });
    watch_->OnStoreReachableChanged([](bool aReachable, const std::string& aError) {
      if (aReachable) {
        Log(EventId::StoreReachable);
      } else {
        Log(EventId::StoreUnreachable, { { "error", aError } });
      }
    });
    watch_->OnSourceChanged([this](const std::optional<InstanceId>& aSource) {
      source_ = aSource ? aSource->Text() : "store";
      Log(EventId::DirectorySource, { { "source", source_ } });
    });
    watch_->OnRoutingChanged([this](auto aTable) { OnRoutingTable(std::move(aTable)); });
    watch_->OnOtherMessage([this](const PeerEndpoint& aSender, const PeerMessage& aMessage) {
      quotas_.OnMessage(aSender, aMessage);
    });
    quotas_.OnTeamRefused(LogTeamRefused);
    watch_->OnPeerUnreachable([this](const InstanceId& aPeer) { quotas_.OnUnreachable(aPeer); });
    loop_.Post([this] {
      watch_->Start(settings_.fleetStarts_);
      RunEverySecond();
    });
    return port;
  }

  void Start() override
  {
    thread_ = std::thread([this] { loop_.Run(); });
  }

  void Stop() override
  {
    if (thread_.joinable()) {
      loop_.Stop();
      thread_.join();
    }
  }

  // Nothing to pass on: each instance learns about leaving upstreams from the store and from its
  // own attempts.
  void ReportLeaving(const UpstreamId&, std::uint64_t) override {}

  bool Announce(ConfigRecord) override
  {
    throw Error("configurations are published through the store");
  }

  void BeginShutdown() override
  {
    loop_.Post([this] { watch_->BeginShutdown(); });
  }

  void Reload(const Settings& aSettings) override
  {
    loop_.Post([this, limits = FleetLimitsFrom(aSettings), rules = QuotaRulesFrom(aSettings)] {
      watch_->SetFleetSettings(limits);
      quotas_.SetRules(rules);
    });
  }

  QuotaGate* Quotas() override { return &quotas_; }

  bool Responsive() const override
  {
    const MonotonicTime lastTick{ Duration(lastTickNs_) };
    return loop_.Now() - lastTick < kResponseTimeout;
  }

  ControlStatus Status() override
  {
    return CallInLoop(loop_, [this] {
      ControlStatus status;
      const auto table = watch_->State().MakeRoutingTable();
      for (const ServiceRoute& route : table->services_) {
        status.services_.push_back({ route.config_.name_, route.version_, route.version_, {} });
      }
      status.members_ = table->instances_;
      return status;
    });
  }

private:
  using Watch = DirectoryWatch<net::EventLoop, F, peer::Http2Transport>;

  // The limits allow for an instance that reads the store and relays every change to the other
  // instances, and the whole configuration to an instance that starts.
  static peer::PeerLimits RelayLimits(const DescriptorShares& aDescriptors)
  {
    peer::PeerLimits limits;
    limits.maxIncomingConnections_ = aDescriptors.peersIncoming_;
    limits.maxOutgoingConnections_ = aDescriptors.peersOutgoing_;
    limits.maxPendingBytes_ = 2 * kMaxPeerMessageBytes;
    limits.maxReceivedBytesPerSecond_ = 4 << 20;
    limits.maxBackoff_ = std::chrono::seconds(1);
    return limits;
  }

  void OnRoutingTable(std::shared_ptr<const RoutingTable> aTable)
  {
    metrics_.SetInstanceCount(aTable->instances_.size());
    quotas_.SetTeams(aTable->keysRequired_ ? aTable->teams_ : nullptr);
    if (aTable->keysRequired_) {
      quotas_.SetInstances(watch_->State().Instances());
    }
    for (const ServiceRoute& route : aTable->services_) {
      metrics_.Service(route.config_.name_).SetConfigVersion(route.version_);
    }
    onRoutingTable_(std::move(aTable));
  }

  void RunEverySecond()
  {
    const MonotonicTime now = loop_.Now();
    ReportUsage(now);
    ReportFreshness();
    lastTickNs_ = now.time_since_epoch().count();
    loop_.After(kTickInterval, [this] { RunEverySecond(); });
    ReportSuppressedEvents();
    quotas_.Tick();
    ReportQuotas();
    periodicTask_();
  }

  void ReportQuotas()
  {
    const auto counters = quotas_.GetCounters();
    metrics_.SetQuotas({ counters.messagesSent_,
                         counters.grantsGiven_,
                         counters.denialsGiven_,
                         counters.asked_.silences_ });
  }

  void ReportUsage(MonotonicTime aNow)
  {
    const Duration cpuTime = ThreadCpuTime();
    const std::uint64_t bytesSent = peers_.Counters().bytesSent_;
    metrics_.SetControlThreadUsage(cpuTime, bytesSent);
    const Duration delay = aNow - MonotonicTime(Duration(lastTickNs_)) - kTickInterval;
    if (delay > kReportedDelay) {
      Log(EventId::ControlDelayed,
          { { "delayMs", delay },
            { "cpuMs", cpuTime - reportedCpuTime_ },
            { "bytes", bytesSent - reportedBytesSent_ } });
    }
    reportedCpuTime_ = cpuTime;
    reportedBytesSent_ = bytesSent;
  }

  void ReportFreshness()
  {
    const DirectoryFreshness freshness = watch_->Freshness();
    const Duration age = freshness.age_.value_or(Duration(0));
    metrics_.SetDirectoryAge(age);
    if (age > kReportedDataAge) {
      Log(EventId::DirectoryStale,
          { { "source", freshness.source_ ? freshness.source_->View() : "none" },
            { "ageMs", age },
            { "role", ToString(freshness.level_) },
            { "storeFailing", freshness.storeFailing_ },
            { "receiving", freshness.receiving_ } });
    }
  }

  static constexpr Duration kTickInterval = std::chrono::seconds(1);
  static constexpr Duration kReportedDelay = std::chrono::milliseconds(250);
  /// Above the bounds of DirectoryTiming from which on the store is read, without the extension for
  /// a transfer in progress.
  static constexpr Duration kReportedDataAge = std::chrono::seconds(2);

  Metrics& metrics_;
  const RoutingCallback onRoutingTable_;
  const std::function<void()> periodicTask_;
  const Settings settings_;
  net::EventLoop loop_;
  http::Client client_;
  std::unique_ptr<F> feed_;
  peer::Http2Transport peers_;
  QuotaAgent<net::EventLoop, peer::Http2Transport> quotas_;
  std::unique_ptr<Watch> watch_;
  std::string source_ = "store"; ///< as last reported by watch_; control thread only
  std::atomic<MonotonicTime::rep> lastTickNs_ = 0; ///< time of the last tick, in the loop's clock
  Duration reportedCpuTime_{};                     ///< at the last tick; control thread only
  std::uint64_t reportedBytesSent_ = 0;            ///< at the last tick; control thread only
  std::thread thread_;
};

} // namespace boragepier

#endif
