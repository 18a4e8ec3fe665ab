#include <string>

#include "boragepier/admin/admin_server.h"
#include "boragepier/admin/raw_exchange.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

void
CheckRefused(const std::string& aAnswer, const std::string& aStatusLine, const std::string& aError)
{
  CHECK_TEXT(aAnswer.starts_with("HTTP/1.1 " + aStatusLine), aAnswer.c_str());
  CHECK_TEXT(aAnswer.find("\"error\":\"" + aError + "\"") != std::string::npos, aAnswer.c_str());
}

const std::string kAnnounce = "POST /config/announce HTTP/1.1\r\nHost: a\r\n";

} // namespace

TEST_GROUP(AdminFraming){};

// Guards against a body whose end is misread, so that its bytes are taken for the next request.
TEST(AdminFraming, BodiesAreReadWholeOrRefused)
{
  const AdminServer server("127.0.0.1", 0, EmptyHooks());
  const auto exchange = [&](const std::string& aRest) {
    return RawExchange(server.Port(), kAnnounce + aRest);
  };
  const std::string chunked =
    exchange("Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
  CheckRefused(chunked, "400 Bad Request", "bad-record");
  CHECK_TEXT(chunked.find("HTTP/1.1", 8) == std::string::npos, chunked.c_str());
  CheckRefused(exchange("Content-Length: x5\r\n\r\nhello"), "400 Bad Request", "malformed-request");
  CheckRefused(exchange("Content-Length: -5\r\n\r\nhello"), "400 Bad Request", "malformed-request");
  CheckRefused(exchange("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello"),
               "400 Bad Request",
               "malformed-request");
  CheckRefused(exchange("Content-Length: 999999999\r\n\r\nx"), "413 ", "body-too-large");
}

// Guards against a caller that sends slowly or not at all and keeps a thread for good.
TEST(AdminFraming, IncompleteRequestsAreClosed)
{
  const AdminServer server("127.0.0.1", 0, EmptyHooks());
  CHECK(RawExchange(server.Port(), "GET /live HT").empty());
  RawExchange(server.Port(), kAnnounce + "Content-Length: 10\r\n\r\nhalf");
  CHECK(RawExchange(server.Port(), "GET /live HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
          .starts_with("HTTP/1.1 200"));
}

} // namespace boragepier
