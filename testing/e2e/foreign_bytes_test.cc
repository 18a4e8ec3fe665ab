#include <memory>
#include <string>

#include "boragepier/peer/http2_session.h"
#include "boragepier/peer/peer_codec.h"
#include "platform/dialect.h"
#include "testing/e2e/child_process.h"
#include "testing/e2e/store_settings.h"
#include "testing/wire/raw_socket.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

namespace {

const std::string kIdField = metastore::PlatformDialect().requestIdField_ + ": ";

std::string
MakeRequest(const std::string& aId)
{
  std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n";
  return request.append(kIdField).append(aId).append("\r\n\r\n");
}

} // namespace

// Runs the real binary with the binding to the users' store, whose callers set their request ids.
TEST_GROUP(ForeignBytes)
{
  RawListener store_; // accepts no connection, so that the instance stays without a configuration
  StoreSettings settings_{ "front-1", store_.Port() };
  ChildProcess instance_{ BORAGEPIER_BINARY, { "--settings", settings_.Path() } };
  std::uint16_t port_ = instance_.ReadPort("listening");

  std::string SendAndReceive(const std::string& aBytes)
  {
    RawSocket caller(port_);
    caller.Send(aBytes);
    return caller.ReadMessage();
  }

  void CheckContains(const std::string& aText, const std::string& aPart)
  {
    CHECK_TEXT(aText.find(aPart) != std::string::npos, aText.c_str());
  }
};

// Guards against a request id that ends the process, with the requests of all other callers.
TEST(ForeignBytes, InvalidRequestIdIsRefusedAndTheProcessGoesOn)
{
  for (const std::string& id : { std::string("\xff\xfe"),
                                 std::string("a b"),
                                 std::string(),
                                 std::string(129, 'a'),
                                 "a\r\n" + kIdField + "b" }) {
    const std::string response = SendAndReceive(MakeRequest(id));
    CHECK_TEXT(response.starts_with("HTTP/1.1 400"), response.c_str());
    CheckContains(response, "Boragepier-Outcome: not-run\r\n");
    CheckContains(response, "Boragepier-Request-Id: front-1-");
    CHECK(id.empty() || response.find(id) == std::string::npos);
  }
  const std::string longestId(128, '~');
  CheckContains(SendAndReceive(MakeRequest(longestId)),
                "Boragepier-Request-Id: " + longestId + "\r\n");
  CheckContains(SendAndReceive("GET /x HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 503");
}

// Guards against a message of a peer that ends the process: the registration of an instance whose
// name cannot be written to the store.
TEST(ForeignBytes, RegistrationThatIsNotTextEndsNoProcess)
{
  RawSocket socket(instance_.ReadPort("peer"));
  peer::Http2Session session = peer::Http2Session::Client([](std::size_t, bool) {});
  session.Submit(
    { InstanceId("front-2"), "127.0.0.1", 1 },
    peer::EncodePeerMessage(PeerSubscribe{
      1, { 0, 0, 0 }, { { InstanceId("\xff\xfe"), "127.0.0.1", 1, 1.0, ZoneName("a") } }, 0 }));
  socket.Send(session.TakeOutput());
  socket.ReadToEnd(); // the message is refused as malformed
  CheckContains(SendAndReceive("GET /x HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 503");
}

} // namespace boragepier::testing
