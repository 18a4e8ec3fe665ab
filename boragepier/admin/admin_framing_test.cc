#include <string>

#include "boragepier/admin/admin_server.h"
#include "boragepier/admin/raw_http_request.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

void
CheckErrorResponse(const std::string& aResponse,
                   const std::string& aStatusLine,
                   const std::string& aError)
{
  CHECK_TEXT(aResponse.starts_with("HTTP/1.1 " + aStatusLine), aResponse.c_str());
  CHECK_TEXT(aResponse.find("\"error\":\"" + aError + "\"") != std::string::npos,
             aResponse.c_str());
}

const std::string kAnnounceHead = "POST /config/announce HTTP/1.1\r\nHost: a\r\n";

} // namespace

TEST_GROUP(AdminFraming){};

// A body whose end is misread would have its remaining bytes parsed as the next request.
TEST(AdminFraming, BodiesAreReadCompletelyOrRefused)
{
  const AdminServer server("127.0.0.1", 0, StubHooks());
  const auto sendAnnounce = [&](const std::string& aRemainder) {
    return SendRawRequest(server.Port(), kAnnounceHead + aRemainder);
  };
  const std::string chunked =
    sendAnnounce("Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
  CheckErrorResponse(chunked, "400 Bad Request", "bad-record");
  CHECK_TEXT(chunked.find("HTTP/1.1", 8) == std::string::npos, chunked.c_str());
  CheckErrorResponse(
    sendAnnounce("Content-Length: x5\r\n\r\nhello"), "400 Bad Request", "malformed-request");
  CheckErrorResponse(
    sendAnnounce("Content-Length: -5\r\n\r\nhello"), "400 Bad Request", "malformed-request");
  CheckErrorResponse(sendAnnounce("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello"),
                     "400 Bad Request",
                     "malformed-request");
  CheckErrorResponse(sendAnnounce("Content-Length: 999999999\r\n\r\nx"), "413 ", "body-too-large");
}

// A client that stops sending in the middle of a request must not hold its connection forever.
TEST(AdminFraming, IncompleteRequestsTimeOut)
{
  const AdminServer server("127.0.0.1", 0, StubHooks());
  CHECK(SendRawRequest(server.Port(), "GET /live HT").empty());
  SendRawRequest(server.Port(), kAnnounceHead + "Content-Length: 10\r\n\r\nhalf");
  CHECK(SendRawRequest(server.Port(), "GET /live HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
          .starts_with("HTTP/1.1 200"));
}

} // namespace boragepier
