#include "boragepier/http/embedded_response.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace boragepier::http {

namespace {

constexpr std::string_view kField = "X-Id";
const std::string kQuote = "it said HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";
const std::string kOther =
  "HTTP/1.1 200 OK\r\nServer: a\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nold";

bool
IsFound(std::string_view aBody, std::string_view aField = kField)
{
  return EmbeddedResponseFinder(aField).Update(aBody);
}

bool
Continues(std::string_view aBody, std::string_view aUnread)
{
  EmbeddedResponseFinder finder(kField);
  return !finder.Update(aBody) && finder.ContinuesAfter(aBody, aUnread);
}

} // namespace

TEST_GROUP(EmbeddedResponse){};

TEST(EmbeddedResponse, StatusLineHasAVersionAndACode)
{
  LONGS_EQUAL(0, FindStatusLine("HTTP/1.1 200 OK"));
  LONGS_EQUAL(2, FindStatusLine("aHHTTP/1.0 503"));
  LONGS_EQUAL(11, FindStatusLine("HTTP/1.1 20HTTP/1.1 200\r\n"));
  LONGS_EQUAL(16, FindStatusLine("HTTP/1.1 200 OK HTTP/1.1 200 OK", 1));
  for (const std::string_view text :
       { "", "HTTP/1.1", "HTTP/1.1 20", "HTTP/1.1 2000", "HTTP/1.1 gateway", "http/1.1 200" }) {
    CHECK(FindStatusLine(text) == std::string_view::npos);
  }
}

// Guards against a body that is delivered although it ends with a part of another response.
TEST(EmbeddedResponse, ResponseThatNamesARequestIsFound)
{
  CHECK(IsFound("half of it" + kOther));
  CHECK(IsFound(kQuote + kOther));
  CHECK(IsFound("HTTP/1.1 200 OK\r\n\r\n" + kOther));
  CHECK(IsFound("HTTP/1.1 200 OK\r\nno field " + kOther));
  CHECK(IsFound("HTTP/1.1 200 OK\r\nA: b" + kOther));
  CHECK(IsFound("xHTTP/1.1 503 Busy\r\nx-id:"));
  CHECK(!IsFound("half of it" + kOther, ""));
}

// Guards against a sound response that is taken for a broken one because its body quotes another.
TEST(EmbeddedResponse, QuotedStatusLineIsNoResponse)
{
  for (const std::string& body : { std::string(),
                                   kQuote,
                                   kQuote + "\r\nX-Id: 1\r\n",
                                   std::string("X-Id: 1\r\n"),
                                   std::string("HTTP/1.1 200 OK\r\n"),
                                   std::string("HTTP/1.1 200 OK\r\nX-Ident: 1\r\n"),
                                   std::string("GET / HTTP/1.1\r\nX-Id: 1\r\n") }) {
    CHECK_TEXT(!IsFound(body), body.c_str());
    CHECK_TEXT(!Continues(body, ""), body.c_str());
    CHECK_TEXT(!Continues(body, kOther), body.c_str());
    CHECK_TEXT(!Continues(body, kOther.substr(0, 3)), body.c_str());
  }
  CHECK(!Continues("no status line", "garbage"));
}

// Guards against a body that is filled up by so little of another response that none of its fields
// is inside.
TEST(EmbeddedResponse, ResponseThatGoesOnAfterTheBodyIsFound)
{
  const std::string noId = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
  for (std::size_t inside = 1; inside < noId.size(); ++inside) {
    CHECK(Continues("half" + noId.substr(0, inside), noId.substr(inside)));
  }
  CHECK(!Continues("half" + noId, kOther));
}

// Guards against a response that is missed because of how its bytes arrive.
TEST(EmbeddedResponse, ResponseIsFoundInPieces)
{
  const std::string body = "half of it" + kOther;
  const std::size_t found = body.find("X-Id:") + std::string_view("X-Id:").size();
  for (std::size_t step = 1; step <= body.size(); ++step) {
    EmbeddedResponseFinder finder(kField);
    std::size_t size = 0;
    while (!finder.Update(std::string_view(body).substr(0, size))) {
      CHECK(size < found);
      size += step;
    }
    CHECK(size >= found);
  }
}

} // namespace boragepier::http
