#include "boragepier/admin/raw_http_request.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>

#include <CppUTest/TestHarness.h>

namespace boragepier {

AdminHooks
StubHooks()
{
  static const Metrics metrics;
  static const ExplainStore explain(1);
  return AdminHooksBuilder()
    .WithStatus([] { return InstanceStatus(); })
    .WithAnnounce([](const ConfigRecord&) { return AnnounceResult::Accepted; })
    .WithMetrics(metrics)
    .WithExplain(explain)
    .Build();
}

std::string
SendRawRequest(std::uint16_t aPort, const std::string& aBytes)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval receiveTimeout{ 30, 0 };
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CHECK_EQUAL(0, ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address));
  CHECK_EQUAL(static_cast<ssize_t>(aBytes.size()),
              ::send(socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL));
  std::string response;
  std::array<char, 4096> buffer{};
  for (ssize_t count = 0; (count = ::recv(socket, buffer.data(), buffer.size(), 0)) > 0;) {
    response.append(buffer.data(), static_cast<std::size_t>(count));
  }
  ::close(socket);
  return response;
}

} // namespace boragepier
