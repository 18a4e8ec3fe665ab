#ifndef BORAGEPIER_ENTRY_DIRECTORY_THREAD_H
#define BORAGEPIER_ENTRY_DIRECTORY_THREAD_H

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <thread>
#include <utility>

#include "boragepier/config/settings.h"
#include "boragepier/directory/directory_watch.h"
#include "boragepier/entry/control_role.h"
#include "boragepier/http/client.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/peer/peer_node.h"
#include "boragepier/telemetry/log.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// Writes the log event of a change in the directory.
void
LogDirectoryEvent(const DirectoryEvent& aEvent);

/// @return the limits on the fleet that the settings give
FleetTerms
TermsOf(const Settings& aSettings);

/// @return capacity of the instance for relaying news: what is scarcer of processor and link. A
/// megabit per second counts like a thousandth of a core.
double
RelayCapacity(const Settings& aSettings);

/// Control thread of an instance whose configuration and upstreams come from a store.
template<DirectoryFeed F>
class DirectoryThread : public ControlRole
{
public:
  using MakeFeed = std::function<std::unique_ptr<F>(http::Client&, const Settings&)>;

  DirectoryThread(const Settings& aSettings,
                  Metrics& aMetrics,
                  RoutingCallback aOnRouting,
                  std::function<void()> aOnSecond,
                  const MakeFeed& aMakeFeed)
    : metrics_(aMetrics)
    , onRouting_(std::move(aOnRouting))
    , onSecond_(std::move(aOnSecond))
    , settings_(aSettings)
    , client_(loop_)
    , feed_(aMakeFeed(client_, aSettings))
    , peers_(loop_, RelayLimits())
  {
  }

  ~DirectoryThread() override { DirectoryThread::Stop(); }

  std::uint16_t Start() override
  {
    lastTick_ = loop_.Now().time_since_epoch().count();
    const std::uint16_t port = peers_.Listen(settings_.peer_.address_, settings_.peer_.port_);
    watch_ = std::make_unique<Watch>(loop_,
                                     *feed_,
                                     peers_,
                                     PeerEndpoint{ settings_.id_, settings_.peer_.address_, port },
                                     RelayCapacity(settings_),
                                     TermsOf(settings_),
                                     DirectoryTiming{},
                                     std::random_device()());
    watch_->OnEvent(LogDirectoryEvent);
    watch_->OnContact([](bool aAnswers, const std::string& aError) {
      if (aAnswers) {
        Log(EventId::StoreReachable);
      } else {
        Log(EventId::StoreUnreachable, { { "error", aError } });
      }
    });
    watch_->OnSource([](const std::optional<InstanceId>& aReader) {
      Log(EventId::DirectorySource,
          { { "source", aReader ? aReader->View() : std::string_view("store") } });
    });
    watch_->OnTable([this](auto aTable) { OnTable(std::move(aTable)); });
    loop_.Post([this] {
      watch_->Start();
      EverySecond();
    });
    thread_ = std::thread([this] { loop_.Run(); });
    return port;
  }

  void Stop() override
  {
    if (thread_.joinable()) {
      loop_.Stop();
      thread_.join();
    }
  }

  // Each instance learns of departures from the store and from its own attempts.
  void ReportLeaving(const UpstreamId&, std::uint64_t) override {}

  bool Announce(ConfigRecord) override { throw Error("configurations are published in the store"); }

  void BeginShutdown() override
  {
    loop_.Post([this] { watch_->BeginShutdown(); });
  }

  void Reload(const Settings& aSettings) override
  {
    loop_.Post([this, terms = TermsOf(aSettings)] { watch_->SetTerms(terms); });
  }

  bool Responsive() const override
  {
    const MonotonicTime last{ Duration(lastTick_) };
    return loop_.Now() - last < kAskTimeout;
  }

  ControlStatus Status() override
  {
    return Ask(loop_, [this] {
      ControlStatus status;
      const auto table = watch_->State().Table();
      for (const ServiceRoute& route : table->services_) {
        status.services_.push_back({ route.config_.name_, route.version_, route.version_, {} });
      }
      status.members_ = table->instances_;
      return status;
    });
  }

private:
  using Watch = DirectoryWatch<net::EventLoop, F, peer::PeerNode>;

  // A reader sends what it reads to every other instance, and a whole configuration to one that
  // starts.
  static peer::PeerLimits RelayLimits()
  {
    peer::PeerLimits limits;
    limits.queuedBytes_ = std::size_t{ 1 } << 20;
    limits.receivedBytesPerSecond_ = 4 << 20;
    limits.maxBackOff_ = std::chrono::seconds(1);
    return limits;
  }

  void OnTable(std::shared_ptr<const RoutingTable> aTable)
  {
    metrics_.SetInstanceCount(aTable->instances_.size());
    for (const ServiceRoute& route : aTable->services_) {
      metrics_.Service(route.config_.name_).SetConfigVersion(route.version_);
    }
    onRouting_(std::move(aTable));
  }

  void EverySecond()
  {
    lastTick_ = loop_.Now().time_since_epoch().count();
    ReportSuppressedEvents();
    onSecond_();
    loop_.After(std::chrono::seconds(1), [this] { EverySecond(); });
  }

  Metrics& metrics_;
  const RoutingCallback onRouting_;
  const std::function<void()> onSecond_;
  const Settings settings_;
  net::EventLoop loop_;
  http::Client client_;
  std::unique_ptr<F> feed_;
  peer::PeerNode peers_;
  std::unique_ptr<Watch> watch_;
  std::atomic<MonotonicTime::rep> lastTick_ = 0; ///< nanoseconds of the loop's clock
  std::thread thread_;
};

} // namespace boragepier

#endif
