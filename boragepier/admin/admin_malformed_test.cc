#include "boragepier/admin/admin_server.h"
#include "boragepier/admin/raw_exchange.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

TEST_GROUP(AdminMalformed){};

// Guards against bytes that are not a request and are reported as a fault of the server.
TEST(AdminMalformed, BytesThatAreNoRequestGetA4xx)
{
  const AdminServer server("127.0.0.1", 0, EmptyHooks());
  for (const std::string bytes : { "GET\r\n\r\n", "\x01\x02garbage\r\n\r\n" }) {
    const std::string answer = RawExchange(server.Port(), bytes);
    CHECK_TEXT(answer.starts_with("HTTP/1.1 4"), answer.c_str());
  }
}

} // namespace boragepier
