#include "testing/load/generator.h"

#include <sstream>

#include <nlohmann/json.hpp>

#include "boragepier/http/request_reader.h"
#include "testing/upstream/echo.h"
#include "testing/wire/loop_thread.h"
#include "testing/wire/raw_socket.h"

// Included last: it redefines operator new as a macro, which breaks standard headers after it.
#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

namespace {

http::Request
ParseRequest(const std::string& aMessage)
{
  http::RequestReader reader(10'000, 10'000);
  http::InputBuffer input;
  input.Append(aMessage);
  CHECK(reader.Read(input) == http::ReadStatus::Complete);
  return reader.Take();
}

void
SendResponse(RawSocket& aConnection, std::string_view aStatusAndHeaders, std::string_view aBody)
{
  aConnection.Send("HTTP/1.1 " + std::string(aStatusAndHeaders) + "Content-Length: " +
                   std::to_string(aBody.size()) + "\r\n\r\n" + std::string(aBody));
}

} // namespace

TEST_GROUP(Load){};

// Guards against a load run that reports success although answers belong to other requests, are
// missing or are refusals.
TEST(Load, CountsMismatchedLostAndRefusedAnswers)
{
  RawListener listener;
  net::EventLoop loop;
  LoadSettings settings;
  settings.targets_ = { { "127.0.0.1", listener.Port() } };
  settings.requestCount_ = 4;
  settings.outstandingRequests_ = 1;
  settings.ordersPercent_ = 100;
  std::promise<void> done;
  LoadGenerator generator(loop, settings, [&] { done.set_value(); });
  const LoopThread thread(loop);
  loop.Post([&] { generator.Start(); });

  RawSocket connection = listener.Accept();
  const http::Request first = ParseRequest(connection.ReadMessage());
  SendResponse(connection, "200 OK\r\nBoragepier-Outcome: answered\r\n", MakeEcho(first, "u"));
  connection.ReadMessage();
  SendResponse(connection, "200 OK\r\nBoragepier-Outcome: answered\r\n", MakeEcho(first, "u"));
  connection.ReadMessage();
  SendResponse(connection,
               "503 Busy\r\nBoragepier-Outcome: not-run\r\n",
               R"({"reason":"overloaded","outcome":"not-run"})");
  connection.ReadMessage();
  connection.Close();
  Await(done.get_future());

  const auto report = nlohmann::json::parse(generator.Report().ToJson(generator.Elapsed()));
  LONGS_EQUAL(4, report["count"].get<int>());
  LONGS_EQUAL(1, report["wrong"].get<int>());
  LONGS_EQUAL(1, report["lost"].get<int>());
  LONGS_EQUAL(2, report["outcomes"]["answered"].get<int>());
  LONGS_EQUAL(1, report["outcomes"]["not-run"].get<int>());
  LONGS_EQUAL(1, report["outcomes"]["unknown"].get<int>());
  LONGS_EQUAL(1, report["reasons"]["overloaded"].get<int>());
  std::ostringstream keys;
  generator.Report().WriteKeys(keys);
  STRCMP_EQUAL(
    "load-1-0 answered 200\nload-1-1 answered 200\nload-1-2 not-run 503\nload-1-3 unknown 0\n",
    keys.str().c_str());
}

} // namespace boragepier::testing
