// Measures requests through http::Client and http::Server over loopback; gives no verdict.

#include <cstdint>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <cxxopts.hpp>

#include "boragepier/http/client.h"
#include "boragepier/http/server.h"
#include "testing/wire/raw_socket.h"

namespace {

namespace acc = boost::accumulators;
namespace http = boragepier::http;
using Latencies = acc::accumulator_set<double, acc::stats<acc::tag::tail_quantile<acc::right>>>;

void
RunClient(std::uint16_t aPort, std::uint64_t aCount, std::uint64_t aConnections)
{
  boragepier::net::EventLoop loop;
  http::Client client(loop);
  Latencies latencies(acc::tag::tail<acc::right>::cache_size = aCount);
  std::uint64_t sent = 0;
  std::uint64_t ended = 0;
  std::uint64_t failed = 0;
  auto request = std::make_shared<http::Request>();
  request->method_ = "GET";
  request->target_ = "/lookup?item=4711";
  request->headers_.Add("Boragepier-Deadline-Ms", "1000");
  std::function<void()> send = [&] {
    ++sent;
    client.Send({ "127.0.0.1", aPort }, request, {}, [&](const http::SendResult& aResult) {
      failed += aResult.outcome_ == boragepier::Outcome::Answered ? 0 : 1;
      latencies(boragepier::ToMilliseconds(aResult.latency_) * 1000);
      if (++ended == aCount) {
        loop.Stop();
      } else if (sent < aCount) {
        send();
      }
    });
  };
  const auto start = loop.Now();
  for (std::uint64_t i = 0; i < aConnections; ++i) {
    send();
  }
  loop.Run();
  const double seconds = boragepier::ToMilliseconds(loop.Now() - start) / 1000;
  std::cout << static_cast<std::uint64_t>(static_cast<double>(aCount) / seconds)
            << " requests/s, p50 " << acc::quantile(latencies, acc::quantile_probability = 0.5)
            << " us, p99 " << acc::quantile(latencies, acc::quantile_probability = 0.99)
            << " us, failed " << failed << "\n";
}

void
Run(const cxxopts::ParseResult& aFlags)
{
  boragepier::net::EventLoop loop;
  http::Server server(
    loop,
    {},
    [](const std::shared_ptr<http::Exchange>& aExchange) {
      http::Response response;
      response.status_ = 200;
      response.headers_.Add("Boragepier-Load", "in-flight=1");
      response.body_ = std::string(100, 'x');
      aExchange->Respond(std::move(response));
    },
    [](boragepier::RefusalReason aReason) {
      http::Response response;
      response.status_ = boragepier::HttpStatusOf(aReason);
      return response;
    });
  const std::uint16_t port = server.Listen("127.0.0.1", 0);
  std::thread thread([&] { loop.Run(); });
  std::vector<boragepier::testing::RawSocket> idle;
  const auto idleCount = aFlags["idle"].as<std::uint64_t>();
  idle.reserve(idleCount);
  for (std::uint64_t i = 0; i < idleCount; ++i) {
    idle.emplace_back(port);
  }
  RunClient(port, aFlags["count"].as<std::uint64_t>(), aFlags["connections"].as<std::uint64_t>());
  loop.Stop();
  thread.join();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("boragepier_testing_http_bench", "Client to server over loopback");
  // clang-format off
  options.add_options()
    ("count", "requests", cxxopts::value<std::uint64_t>()->default_value("200000"))
    ("connections", "kept alive", cxxopts::value<std::uint64_t>()->default_value("8"))
    ("idle", "further connections that send nothing",
     cxxopts::value<std::uint64_t>()->default_value("0"));
  // clang-format on
  try {
    Run(options.parse(aCount, aArguments));
  } catch (const std::exception& error) {
    std::cerr << "boragepier_testing_http_bench: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
