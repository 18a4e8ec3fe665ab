#include "boragepier/base/json_text.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

namespace boragepier {

TEST_GROUP(JsonText){};

// Guards against text from outside that makes the serialization of an answer or a log throw.
TEST(JsonText, InvalidUtf8IsReplacedInValuesAndKeys)
{
  const nlohmann::json value{ { "a\xff", "\xff\xfe" } };
  CHECK(SerializeJson(value) == "{\"a\xef\xbf\xbd\":\"\xef\xbf\xbd\xef\xbf\xbd\"}");
  CHECK(SerializeJson("truncated \xe2\x82") == "\"truncated \xef\xbf\xbd\"");
}

} // namespace boragepier
