#include "boragepier/entry/control_watch.h"
#include "boragepier/entry/upstream_watch.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

CandidateInfo
Upstream(const char* aId, double aHealthWeight)
{
  CandidateInfo info;
  info.id_ = UpstreamId(aId);
  info.healthWeight_ = aHealthWeight;
  return info;
}

std::vector<EventId>
EventsOf(const std::vector<UpstreamWatch::Change>& aChanges)
{
  std::vector<EventId> events;
  events.reserve(aChanges.size());
  for (const auto& change : aChanges) {
    events.push_back(change.event_);
  }
  return events;
}

} // namespace

TEST_GROUP(Watch){};

// Guards against an outage that is reported with every failed read, or never as over.
TEST(Watch, AnOutageOfTheTableIsReportedOnceAndItsEndOnce)
{
  ControlWatch watch;
  ControlStatus status;
  CHECK(watch.Observe(status).empty());
  status.storeReads_ = 2;
  status.storeFailures_ = 1;
  CHECK(watch.Observe(status) == std::vector{ EventId::TableUnavailable });
  status.storeReads_ = 3;
  status.storeFailures_ = 2;
  CHECK(watch.Observe(status).empty());
  CHECK(watch.Observe(status).empty());
  status.storeReads_ = 4;
  CHECK(watch.Observe(status) == std::vector{ EventId::TableAvailable });
}

TEST(Watch, LosingAllPeersAndRefusingOneAreReported)
{
  ControlWatch watch;
  ControlStatus status;
  status.peers_.push_back({ InstanceId("i2"), "127.0.0.1", 1 });
  CHECK(watch.Observe(status).empty());
  status.peers_.clear();
  status.traffic_.malformed_ = 1;
  CHECK(watch.Observe(status) == (std::vector{ EventId::NoPeers, EventId::PeerRefused }));
  CHECK(watch.Observe(status).empty());
}

TEST(Watch, EjectionAndReinstatementAreReportedOnce)
{
  UpstreamWatch watch;
  const ServiceName service("s");
  const std::vector healthy{ Upstream("a", 1), Upstream("b", 1) };
  const std::vector oneEjected{ Upstream("a", 0), Upstream("b", 1) };
  const std::vector allEjected{ Upstream("a", 0), Upstream("b", 0) };
  CHECK_EQUAL(2U, watch.Observe(service, healthy).size());
  CHECK(EventsOf(watch.Observe(service, oneEjected)) == std::vector{ EventId::UpstreamEjected });
  CHECK(watch.Observe(service, oneEjected).empty());
  CHECK(EventsOf(watch.Observe(service, allEjected)) ==
        (std::vector{ EventId::UpstreamEjected, EventId::AllUpstreamsUnhealthy }));
  CHECK(EventsOf(watch.Observe(service, healthy)) ==
        (std::vector{ EventId::UpstreamReinstated, EventId::UpstreamReinstated }));
  CHECK(EventsOf(watch.Observe(service, {})) ==
        (std::vector{ EventId::UpstreamRemoved, EventId::UpstreamRemoved }));
}

} // namespace boragepier
