#include "boragepier/admin/admin_server.h"
#include "boragepier/admin/raw_http_request.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

TEST_GROUP(AdminMalformed){};

// Invalid input is a client error; a 5xx would report it as a fault of the server.
TEST(AdminMalformed, InvalidRequestLineGetsA4xx)
{
  const AdminServer server("127.0.0.1", 0, StubHooks());
  for (const std::string bytes : { "GET\r\n\r\n", "\x01\x02garbage\r\n\r\n" }) {
    const std::string response = SendRawRequest(server.Port(), bytes);
    CHECK_TEXT(response.starts_with("HTTP/1.1 4"), response.c_str());
  }
}

} // namespace boragepier
