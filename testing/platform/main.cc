#include <cstdint>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include "boragepier/net/event_loop.h"
#include "testing/platform/platform_server.h"

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("boragepier_testing_platform",
                           "In-memory platform for tests: table, object store and process list");
  options.add_options()("address",
                        "IP address to listen on",
                        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
    "port", "TCP port; 0: any free port", cxxopts::value<std::uint16_t>()->default_value("0"))(
    "help", "show this text");
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << '\n';
      return 0;
    }
    boragepier::net::EventLoop loop;
    boragepier::testing::PlatformServer server(loop);
    const std::uint16_t port =
      server.Listen(parsed["address"].as<std::string>(), parsed["port"].as<std::uint16_t>());
    std::cout << "listening " << port << std::endl;
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << "boragepier_testing_platform: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
