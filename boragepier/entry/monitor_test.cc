#include "boragepier/entry/control_plane_monitor.h"
#include "boragepier/entry/upstream_monitor.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

CandidateInfo
MakeCandidate(const char* aId, double aHealthWeight)
{
  CandidateInfo info;
  info.id_ = UpstreamId(aId);
  info.healthWeight_ = aHealthWeight;
  return info;
}

std::vector<EventId>
EventsOf(const std::vector<UpstreamMonitor::Change>& aChanges)
{
  std::vector<EventId> events;
  events.reserve(aChanges.size());
  for (const auto& change : aChanges) {
    events.push_back(change.event_);
  }
  return events;
}

} // namespace

TEST_GROUP(Monitor){};

// Guards against reporting an outage with every failed read, or never reporting its end.
TEST(Monitor, TableOutageAndRecoveryAreReportedOnceEach)
{
  ControlPlaneMonitor monitor;
  ControlStatus status;
  CHECK(monitor.Observe(status).empty());
  status.storeReads_ = 2;
  status.storeFailures_ = 1;
  CHECK(monitor.Observe(status) == std::vector{ EventId::TableUnavailable });
  status.storeReads_ = 3;
  status.storeFailures_ = 2;
  CHECK(monitor.Observe(status).empty());
  CHECK(monitor.Observe(status).empty());
  status.storeReads_ = 4;
  CHECK(monitor.Observe(status) == std::vector{ EventId::TableAvailable });
}

TEST(Monitor, LossOfAllPeersAndRefusalOfOneAreReportedOnce)
{
  ControlPlaneMonitor monitor;
  ControlStatus status;
  status.peers_.push_back({ InstanceId("i2"), "127.0.0.1", 1 });
  CHECK(monitor.Observe(status).empty());
  status.peers_.clear();
  status.peerCounters_.malformed_ = 1;
  CHECK(monitor.Observe(status) == (std::vector{ EventId::NoPeers, EventId::PeerRefused }));
  CHECK(monitor.Observe(status).empty());
}

TEST(Monitor, EjectionAndReinstatementAreReportedOnce)
{
  UpstreamMonitor monitor;
  const ServiceName service("s");
  const std::vector healthy{ MakeCandidate("a", 1), MakeCandidate("b", 1) };
  const std::vector oneEjected{ MakeCandidate("a", 0), MakeCandidate("b", 1) };
  const std::vector allEjected{ MakeCandidate("a", 0), MakeCandidate("b", 0) };
  CHECK_EQUAL(2U, monitor.Observe(service, healthy).size());
  CHECK(EventsOf(monitor.Observe(service, oneEjected)) == std::vector{ EventId::UpstreamEjected });
  CHECK(monitor.Observe(service, oneEjected).empty());
  CHECK(EventsOf(monitor.Observe(service, allEjected)) ==
        (std::vector{ EventId::UpstreamEjected, EventId::AllUpstreamsUnhealthy }));
  CHECK(EventsOf(monitor.Observe(service, healthy)) ==
        (std::vector{ EventId::UpstreamReinstated, EventId::UpstreamReinstated }));
  CHECK(EventsOf(monitor.Observe(service, {})) ==
        (std::vector{ EventId::UpstreamRemoved, EventId::UpstreamRemoved }));
}

} // namespace boragepier
