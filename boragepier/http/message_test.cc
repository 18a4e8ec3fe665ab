#include "boragepier/http/message.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::http {

TEST_GROUP(Headers){};

// Guards against forwarding fields that the sender listed in Connection.
TEST(Headers, FieldsNamedByConnectionAreRemoved)
{
  Headers headers;
  headers.Add("Connection", "close, X-Private");
  headers.Add("X-Private", "1");
  headers.Add("transfer-encoding", "chunked");
  headers.Add("Accept", "text/plain");
  RemoveHopByHopFields(headers);
  CHECK(!headers.Get("x-private"));
  CHECK(!headers.Get("Transfer-Encoding"));
  CHECK(headers.Get("accept").has_value());
}

TEST(Headers, SetReplacesAllFieldsOfThatName)
{
  Headers headers;
  headers.Add("Boragepier-Outcome", "answered");
  headers.Add("boragepier-outcome", "not-run");
  headers.Set("BORAGEPIER-OUTCOME", "unknown");
  CHECK(headers.Get("Boragepier-Outcome") == "unknown");
  headers.Remove("boragepier-outcome");
  CHECK(!headers.Get("Boragepier-Outcome"));
}

} // namespace boragepier::http
