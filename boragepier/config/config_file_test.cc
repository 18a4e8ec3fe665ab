#include <functional>
#include <string>

#include "boragepier/config/service_file.h"
#include "boragepier/config/service_keys.h"
#include "boragepier/config/settings.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

const std::string kMinimalService = "[service]\nname = orders\npath-prefix = /orders/\n";
const std::string kMinimalSettings =
  "[instance]\nid = i-1\nzone = a\n[platform]\naddress = 127.0.0.1\nport = 9000\n";

// Returns the message of the ConfigError that aParse throws for the text, or "accepted".
template<typename Parse>
std::string
ErrorOf(Parse aParse, const std::string& aText)
{
  try {
    aParse(aText, "f.ini");
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "accepted";
}

std::string
ServiceErrorOf(const std::string& aText)
{
  return ErrorOf(ParseServiceFile, aText);
}

void
CheckContains(const std::string& aText, const std::string& aSubstring)
{
  CHECK_TEXT(aText.find(aSubstring) != std::string::npos, (aText + " lacks " + aSubstring).c_str());
}

} // namespace

TEST_GROUP(ConfigFile){};

// Defaults stand both in the key table and in the members of ServiceConfig, and must agree.
TEST(ConfigFile, KeyTableDefaultsEqualMemberDefaults)
{
  const ServiceConfig parsed = ParseServiceFile(kMinimalService, "f.ini");
  const ServiceConfig defaults;
  CHECK(parsed.trafficClass_ == defaults.trafficClass_ && parsed.policy_ == defaults.policy_);
  CHECK(parsed.defaultDeadline_ == defaults.defaultDeadline_);
  CHECK(parsed.maxDeadline_ == defaults.maxDeadline_ &&
        parsed.zoneOneWayDelay_ == defaults.zoneOneWayDelay_);
  CHECK_EQUAL(defaults.slots_, parsed.slots_);
  CHECK_EQUAL(defaults.connectionsPerUpstream_, parsed.connectionsPerUpstream_);
  CHECK(parsed.keyRequired_ == defaults.keyRequired_ && parsed.rules_.empty());
  CHECK_EQUAL(defaults.probesPerUpstreamSecond_, parsed.probesPerUpstreamSecond_);
  CHECK_EQUAL(defaults.retryRatio_, parsed.retryRatio_);
  CHECK_EQUAL(defaults.hedgeRatio_, parsed.hedgeRatio_);
  CHECK_EQUAL(defaults.maxEjectedShare_, parsed.maxEjectedShare_);
  CHECK_EQUAL(defaults.queueLimit_, parsed.queueLimit_);
  CHECK_EQUAL(defaults.maxRequestBody_, parsed.maxRequestBody_);
  CHECK_EQUAL(defaults.maxResponseBody_, parsed.maxResponseBody_);
  CHECK(parsed.claimRetention_ == defaults.claimRetention_);
}

// Guards against a key whose value is stored in the wrong field or not at all.
TEST(ConfigFile, EveryServiceKeySetsItsField)
{
  const ServiceConfig config = ParseServiceFile(
    "[service]\nname=o\npath-prefix=/o/\nclass=background\nkey-required=true\n"
    "[repeatability]\nrule-1 = * /o/q repeatable\nrule-2 = POST /o/q at-most-once\n"
    "[deadline]\ndefault-ms=70\nmax-ms=90\n"
    "[choice]\npolicy=power-of-two\nslots=3\nconnections-per-upstream=7\nzone-trip-ms=0.25\n"
    "max-ejected-share=0.4\n[budget]\nprobes-per-upstream-second=2.5\nretries=0.2\nhedges=0.15\n"
    "[queue]\nlimit=11\n[limits]\nmax-request-body-bytes=12\nmax-response-body-bytes=13\n"
    "[claims]\nretention-s=3600\n",
    "f.ini");
  CHECK(config.name_.View() == "o" && config.pathPrefix_ == "/o/");
  CHECK(config.trafficClass_ == TrafficClass::Background && config.keyRequired_);
  CHECK(RepeatabilityOf(config, "POST", "/o/q") == Repeatability::AtMostOnce);
  CHECK(RepeatabilityOf(config, "PUT", "/o/q") == Repeatability::Repeatable);
  CHECK(config.defaultDeadline_ == std::chrono::milliseconds(70));
  CHECK(config.maxDeadline_ == std::chrono::milliseconds(90));
  CHECK(config.policy_ == PolicyKind::PowerOfTwo);
  CHECK_EQUAL(3U, config.slots_);
  CHECK_EQUAL(7U, config.connectionsPerUpstream_);
  CHECK(config.zoneOneWayDelay_ == std::chrono::microseconds(250));
  CHECK_EQUAL(0.4, config.maxEjectedShare_);
  CHECK_EQUAL(2.5, config.probesPerUpstreamSecond_);
  CHECK_EQUAL(0.2, config.retryRatio_);
  CHECK_EQUAL(0.15, config.hedgeRatio_);
  CHECK_EQUAL(11U, config.queueLimit_);
  CHECK_EQUAL(12U, config.maxRequestBody_);
  CHECK_EQUAL(13U, config.maxResponseBody_);
  CHECK(config.claimRetention_ == std::chrono::hours(1));
}

// Guards against an invalid file that is accepted, and against an error message that lacks the
// line, the key or the accepted values.
TEST(ConfigFile, ErrorsNameLineKeyValueAndRange)
{
  STRCMP_EQUAL("f.ini:5: queue.limit: value \"-1\" is not accepted; expected integer: 0 to 100000",
               ServiceErrorOf(kMinimalService + "[queue]\nlimit = -1\n").c_str());
  for (const char* value :
       { "1.5", "1e2", "0x10", "nan", "inf", "", "100001", "5 6", "99999999999" }) {
    CheckContains(ServiceErrorOf(kMinimalService + "[queue]\nlimit = " + value + "\n"), "f.ini:5:");
  }
  CheckContains(ServiceErrorOf(kMinimalService + "[budget]\nretries = nan\n"),
                "expected number: 0 to 1");
  CheckContains(ServiceErrorOf(kMinimalService + "nmae = x\n"),
                "f.ini:4: service.nmae: unknown key");
  CheckContains(ServiceErrorOf(kMinimalService + "[extra]\n"), "f.ini:4: extra: unknown section");
  CheckContains(ServiceErrorOf(kMinimalService + "name = x\n"), "repeats the key of line 2");
  CheckContains(ServiceErrorOf(kMinimalService + " more\n"), "repeats the key of line 3");
  CheckContains(ServiceErrorOf(kMinimalService + "[queue] x\n"), "unexpected text \"x\"");
  CheckContains(ServiceErrorOf(kMinimalService + "[queue\n"), "\"]\" is missing");
  CheckContains(ServiceErrorOf(kMinimalService + "nonsense\n"), "f.ini:4: the line is neither");
  CheckContains(ServiceErrorOf("x = 1\n"), "stands before the first section header");
  CheckContains(ServiceErrorOf("[service]\nname = a\n"),
                "service.path-prefix: the key is required");
  CheckContains(ServiceErrorOf(kMinimalService + std::string("# \0\n", 4)), "NUL");
  CheckContains(ServiceErrorOf(kMinimalService + "# " + std::string(kMaxIniLineBytes, 'x')),
                "f.ini:4:");
  CheckContains(ServiceErrorOf(std::string(kMaxIniTextBytes + 1, '\n')), "accepted are 0 to");
}

TEST(ConfigFile, InconsistentKeysAreRefused)
{
  CheckContains(ServiceErrorOf(kMinimalService + "[deadline]\nmax-ms = 100\n"),
                "deadline.default-ms");
  CheckContains(ServiceErrorOf(kMinimalService + "[budget]\nretries = 0\n"), "budget.hedges");
  CheckContains(
    ServiceErrorOf(kMinimalService + "[deadline]\nmax-ms=60000\n[claims]\nretention-s=119\n"),
    "claims.retention-s");
  CheckContains(
    ServiceErrorOf(kMinimalService + "[repeatability]\nrule-1 = GET /other/ repeatable\n"),
    "outside service.path-prefix");
  CheckContains(ServiceErrorOf(kMinimalService +
                               "[repeatability]\nrule-1 = GET /orders/a repeatable\n"
                               "rule-2 = GET /orders/a at-most-once\n"),
                "more than one rule");
  for (const char* key : { "rule-0", "rule-65", "rule-01", "rule-", "rule-x", "rule-1x" }) {
    CheckContains(
      ServiceErrorOf(kMinimalService + "[repeatability]\n" + key + " = GET /orders/ repeatable"),
      "unknown key");
  }
}

// inih with its default options truncates lines of 200 bytes or more without an error.
TEST(ConfigFile, LongLinesAndCommentsAreRead)
{
  std::string seeds = "10.0.0.1:9000";
  for (int i = 0; i < 100; ++i) {
    seeds += ", [fd00::1]:" + std::to_string(9001 + i);
  }
  const Settings settings = ParseSettings(
    kMinimalSettings + "# note\n; note\n[peers]\r\nseeds = " + seeds + " ; note\r\n", "f.ini");
  CHECK_EQUAL(101U, settings.seedPeers_.size());
  CHECK((settings.seedPeers_.back() == Endpoint{ "fd00::1", 9100 }));
}

TEST(ConfigFile, SettingsKeysSetTheirFieldsAndErrorsAreRefused)
{
  const Settings settings = ParseSettings(
    kMinimalSettings +
      "[listen]\ncaller-port = 1\npeer-port = 2\nadmin-port = 3\nadmin-address = ::1\n"
      "[traffic]\nmax-header-bytes = 2048\ndrain-grace-ms = 0\n"
      "[log]\nlevel = warn\nfile = /tmp/log\n",
    "f.ini");
  CHECK(settings.id_.View() == "i-1" && settings.zone_.View() == "a");
  CHECK((settings.callerEndpoint_ == Endpoint{ "127.0.0.1", 1 }));
  CHECK((settings.peerEndpoint_ == Endpoint{ "127.0.0.1", 2 }));
  CHECK((settings.adminEndpoint_ == Endpoint{ "::1", 3 }));
  CHECK((settings.platformEndpoint_ == Endpoint{ "127.0.0.1", 9000 }));
  CHECK_EQUAL(2048U, settings.maxHeader_);
  CHECK(settings.drainGrace_ == Duration::zero() && settings.logLevel_ == LogLevel::Warn);
  CHECK(settings.logFile_ == "/tmp/log");
  CheckContains(ErrorOf(ParseSettings, kMinimalSettings + "[listen]\ncaller-port = 65536\n"),
                "0 to 65535");
  CheckContains(ErrorOf(ParseSettings, kMinimalSettings + "[listen]\ncaller-address = host\n"),
                "IPv4");
  CheckContains(ErrorOf(ParseSettings, kMinimalSettings + "[peers]\nseeds = 10.0.0.1:0\n"),
                "ADDRESS:PORT");
  CheckContains(ErrorOf(ParseSettings, kMinimalSettings + "[traffic]\ndrain-limit-ms = 1\n"),
                "at least");
}

// Guards against a start that fails because the template of the platform has no value for a key, or
// renders it in another form.
TEST(ConfigFile, SettingsAcceptRenderedForms)
{
  const Settings settings = ParseSettings(
    kMinimalSettings + "[listen]\ncaller =\ncaller-port = 7540.0\n"
                       "[fleet]\nretry-ratio = 2E-1\nretry-slack = 1E+3\nretry-window-s =\n"
                       "heartbeat-ms = 1500.5\nprobes-per-upstream-s = 1e3\nfirst-start = True\n"
                       "quota-window-s =\nquota-overage = 5E-2\nquota-slack = 20.0\n"
                       "cold-overage = 1.5\ncold-slack =\n"
                       "[peers]\nseeds =\n[log]\nfile =\nlevel =\n"
                       "[traffic]\nmax-connections = 2e3\ndrain-limit-s = 6.5\n",
    "f.ini");
  CHECK((settings.callerEndpoint_ == Endpoint{ "127.0.0.1", 7540 }));
  DOUBLES_EQUAL(0.2, settings.retryRatio_, 1e-12);
  DOUBLES_EQUAL(1000, settings.retrySlack_, 0);
  CHECK(settings.retryWindow_ == std::chrono::seconds(10));
  CHECK(settings.heartbeatInterval_ == std::chrono::microseconds(1500500));
  DOUBLES_EQUAL(1000, settings.probesPerUpstreamSecond_, 0);
  CHECK(settings.fleetStarts_);
  CHECK(settings.quotaWindow_ == std::chrono::seconds(5));
  DOUBLES_EQUAL(0.05, settings.quotaOverage_, 1e-12);
  DOUBLES_EQUAL(20, settings.quotaSlack_, 0);
  DOUBLES_EQUAL(1.5, settings.coldOverage_, 0);
  DOUBLES_EQUAL(0, settings.coldSlack_, 0);
  CHECK(settings.seedPeers_.empty() && settings.logFile_.empty());
  CHECK_EQUAL(2000U, settings.maxConnections_);
  CHECK(settings.drainLimit_ == std::chrono::milliseconds(6500));
  CHECK(settings.drainGrace_ == std::chrono::milliseconds(3250));
  for (const char* line : { "max-connections = 1.5",
                            "max-connections = nan",
                            "max-connections = 1e99",
                            "max-connections = -1",
                            "drain-limit-s = inf",
                            "drain-limit-s = 6 s" }) {
    CheckContains(ErrorOf(ParseSettings, kMinimalSettings + "[traffic]\n" + line + "\n"),
                  "f.ini:8: traffic.");
  }
  CheckContains(ErrorOf(ParseSettings, "[instance]\nid =\nzone = a\n"),
                "instance.id: the key is required");
}

// Guards against a start that fails because the platform names machines and availability zones in a
// form that service names do not have, such as a host name.
TEST(ConfigFile, InstanceAndZoneAcceptNamesOfMachines)
{
  const Settings settings =
    ParseSettings("[instance]\nid = Front_03.dyfed-a.example:7540\nzone = EU-West_1a\n"
                  "[platform]\naddress = 127.0.0.1\nport = 9000\n",
                  "f.ini");
  STRCMP_EQUAL("Front_03.dyfed-a.example:7540", settings.id_.Text().c_str());
  STRCMP_EQUAL("EU-West_1a", settings.zone_.Text().c_str());
  for (const std::string& id : { std::string("a b"), std::string("a\"b"), std::string(129, 'a') }) {
    CheckContains(ErrorOf(ParseSettings, "[instance]\nid = " + id + "\nzone = a\n"), "instance.id");
  }
}

// Guards against a budget for bodies that is larger than the memory allows, or that is none.
TEST(ConfigFile, BodyBudgetFollowsMemoryAndConnections)
{
  const auto budget = [](const std::string& aMemoryMb, const std::string& aMaxConnections) {
    return BodyBudgetBytes(ParseSettings(kMinimalSettings + "[instance]\nmemory-mb = " + aMemoryMb +
                                           "\n[traffic]\nmax-connections = " + aMaxConnections +
                                           "\n",
                                         "f.ini"));
  };
  CHECK_EQUAL(183U, budget("260", "2000") / 1'000'000);
  CHECK_EQUAL(96U, budget("160", "2000") / 1'000'000);
  CHECK_EQUAL(8U, budget("32", "2000") / 1'000'000);
  CheckContains(ErrorOf(ParseSettings, kMinimalSettings + "[instance]\nmemory-mb = 31\n"), "32");
}

} // namespace boragepier
