#include "boragepier/state/config_registry.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

ServiceConfig
ParseStub(std::string_view aText, std::string_view)
{
  if (aText == "bad") {
    throw Error("bad body");
  }
  ServiceConfig config;
  config.name_ = ServiceName(std::string(aText));
  return config;
}

} // namespace

TEST_GROUP(ConfigRegistry)
{
  ConfigRegistry registry_{ ParseStub };
  const ServiceName stock_{ "stock" };
};

// Guards against a delayed message that replaces a configuration by an older one.
TEST(ConfigRegistry, OnlyHigherVersionsAreAccepted)
{
  CHECK(registry_.Accept({ stock_, 5, "p5", "stock" }));
  CHECK(!registry_.Accept({ stock_, 5, "p5", "stock" }));
  CHECK(!registry_.Accept({ stock_, 4, "p4", "stock" }));
  CHECK_EQUAL(5U, registry_.AcceptedVersion(stock_));
  CHECK(registry_.Accept({ stock_, 9, "p9", "stock" }));
}

// Guards against an invalid body that replaces the last valid configuration or is fetched
// repeatedly.
TEST(ConfigRegistry, AnInvalidBodyIsAcceptedButNotActivated)
{
  registry_.Accept({ stock_, 1, "p1", "stock" });
  CHECK_THROWS(ConfigRejected, registry_.Accept({ stock_, 2, "p2", "bad" }));
  CHECK_THROWS(ConfigRejected, registry_.Accept({ stock_, 3, "p3", "orders" })); // another service
  const ConfigRegistry::Entry& entry = registry_.All().at(stock_);
  CHECK_EQUAL(1U, entry.activeVersion_);
  CHECK_EQUAL(3U, entry.record_.version_);
  CHECK(!registry_.Accept({ stock_, 2, "p2", "bad" }));
  CHECK(registry_.Accept({ stock_, 4, "p4", "stock" }));
  CHECK(entry.rejectionReason_.empty());
}

// Guards against accepting a record that does not fit into a peer message.
TEST(ConfigRegistry, ABodyThatIsTooLargeIsRejected)
{
  CHECK_THROWS(ConfigRejected,
               registry_.Accept({ stock_, 1, "p", std::string(kMaxConfigBodyBytes + 1, 'x') }));
  CHECK(!registry_.HasActiveConfig());
}

// Guards against equal checksums for different versions, and checksums that depend on the order of
// changes.
TEST(ConfigRegistry, ChecksumsDependOnTheVersionsOnly)
{
  ConfigRegistry other(ParseStub);
  registry_.Accept({ stock_, 1, "p1", "stock" });
  registry_.Accept({ ServiceName("orders"), 1, "p1", "orders" });
  other.Accept({ ServiceName("orders"), 1, "p1", "orders" });
  const auto sameChecksums = [&] {
    return std::ranges::equal(registry_.Versions().BucketChecksums(),
                              other.Versions().BucketChecksums());
  };
  CHECK(!sameChecksums());
  other.Accept({ stock_, 1, "p1", "stock" });
  CHECK(sameChecksums());
  other.Accept({ stock_, 2, "p2", "stock" });
  CHECK(!sameChecksums());
}

} // namespace boragepier
