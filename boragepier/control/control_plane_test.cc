#include "boragepier/control/control_plane.h"

#include <deque>

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

// Holds each reply back until DeliverReplies().
struct StoreStub
{
  void Submit(const TableRequest& aRequest, MonotonicTime, const TableCallback& aDone)
  {
    TableReply reply{ TableReply::Status::Done, {} };
    for (const TableOperation& operation : aRequest.operations_) {
      TableOperationResult result;
      if (const auto found = rows_.find(operation.key_); found != rows_.end()) {
        result.row_ = TableRow{ found->first, found->second, 1 };
      }
      reply.results_.push_back(std::move(result));
    }
    pendingReplies_.emplace_back([reply, aDone] { aDone(reply); });
  }
  void DeliverReplies()
  {
    while (!pendingReplies_.empty()) {
      const auto reply = std::move(pendingReplies_.front());
      pendingReplies_.pop_front();
      reply();
    }
  }
  std::map<std::string, std::string> rows_;
  std::deque<std::function<void()>> pendingReplies_;
};

struct ListStub
{
  void Fetch(const ListCallback& aDone) { aDone(list_); }
  std::vector<ListedProcess> list_;
};

struct PeersStub
{
  std::size_t Send(const PeerEndpoint&, const PeerMessage&) { return 0; }
  void Start(const PeerEndpoint&, const PeerMessageCallback&, const PeerUnreachableCallback&) {}
  PeerCounters Counters() const { return {}; }
};

ServiceConfig
ParseStub(std::string_view aText, std::string_view aName)
{
  if (aText == "bad") {
    throw Error("bad body");
  }
  ServiceConfig config;
  config.name_ = ServiceName(std::string(aName));
  return config;
}

} // namespace

TEST_GROUP(ControlPlane)
{
  net::EventLoop loop_;
  StoreStub store_;
  ListStub list_;
  PeersStub peers_;
  ControlPlane<StoreStub, ListStub, PeersStub> plane_{
    loop_, store_, list_, peers_, { { InstanceId("i-1"), "127.0.0.1", 1 }, ParseStub }
  };
};

// Guards against an instance that is ready without a configuration, and against a routing table
// that lacks the listed upstreams.
TEST(ControlPlane, RoutingTableComesFromTheStoreAndTheList)
{
  ConfigHead head;
  head.Append(ServiceName("stock"), 3);
  store_.rows_["config-head"] = EncodeConfigHead(head);
  store_.rows_["config/stock"] = EncodeConfigRecord({ ServiceName("stock"), 3, "p", "body" });
  ListedProcess upstream;
  upstream.id_ = "u-1";
  upstream.role_ = "upstream";
  upstream.service_ = "stock";
  list_.list_ = { upstream };
  std::shared_ptr<const RoutingTable> table;
  plane_.OnRoutingChanged(
    [&](std::shared_ptr<const RoutingTable> aTable) { table = std::move(aTable); });
  plane_.Start();
  CHECK(!plane_.Ready());
  store_.DeliverReplies();
  CHECK(plane_.Ready());
  CHECK_EQUAL(1U, table->services_.size());
  CHECK_EQUAL(3U, table->services_[0].version_);
  CHECK_EQUAL(1U, table->services_[0].upstreams_.size());
}

// Guards against a published configuration that does not parse and takes its service down.
TEST(ControlPlane, ConfigThatDoesNotParseLeavesThePreviousOneInForce)
{
  CHECK(plane_.Announce({ ServiceName("stock"), 1, "p1", "good" }));
  CHECK_THROWS(ConfigRejected, plane_.Announce({ ServiceName("stock"), 2, "p2", "bad" }));
  const ControlStatus status = plane_.Status();
  CHECK_EQUAL(2U, status.services_[0].version_);
  CHECK_EQUAL(1U, status.services_[0].activeVersion_);
  CHECK(!status.services_[0].error_.empty());
  CHECK(!plane_.Announce({ ServiceName("stock"), 1, "p1", "good" }));
}

} // namespace boragepier
