// Measures throughput and latency of http::Client with http::Server over loopback. Prints the
// results only; checks no bounds.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <limits>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <cxxopts.hpp>

#include "boragepier/http/client.h"
#include "boragepier/http/response_reader.h"
#include "boragepier/http/server.h"
#include "testing/wire/raw_socket.h"

namespace {

namespace acc = boost::accumulators;
namespace http = boragepier::http;
using Latencies = acc::accumulator_set<double, acc::stats<acc::tag::tail_quantile<acc::right>>>;

// Time to read a response of an upstream whose header names its request, in the smallest of some
// runs.
void
MeasureReading(std::size_t aBodyBytes)
{
  constexpr int kRuns = 20;
  const std::vector<std::string> singleFields = { "X-Signature", "X-Load",     "X-Not-Run",
                                                  "X-Leaving",   "X-Upstream", "Retry-After" };
  const std::string response = "HTTP/1.1 200 OK\r\nX-Id: 9c41d07be2a35f68\r\n"
                               "X-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 3,0,8,100\r\n"
                               "Content-Type: text/plain\r\nContent-Length: " +
                               std::to_string(aBodyBytes) + "\r\n\r\n" +
                               std::string(aBodyBytes, 'H');
  const std::size_t count = 2'000'000 / (aBodyBytes / 100 + 20);
  double leastNs = std::numeric_limits<double>::max();
  for (int run = 0; run < kRuns; ++run) {
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < count; ++i) {
      http::InputBuffer input;
      input.Append(response);
      http::ResponseReader reader(false, aBodyBytes, nullptr, { "X-Id", singleFields });
      if (reader.Read(input) != http::ReadStatus::Complete) {
        throw std::runtime_error("the response is not complete");
      }
    }
    const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - start;
    leastNs = std::min(leastNs, time.count() / static_cast<double>(count));
  }
  std::cout << "reading a response of " << aBodyBytes << " bytes: " << leastNs << " ns\n";
}

void
MeasureRequests(std::uint16_t aPort, std::uint64_t aRequestCount, std::uint64_t aConnectionCount)
{
  boragepier::net::EventLoop loop;
  http::Client client(loop);
  Latencies latenciesUs(acc::tag::tail<acc::right>::cache_size = aRequestCount);
  std::uint64_t sentCount = 0;
  std::uint64_t endedCount = 0;
  std::uint64_t failedCount = 0;
  auto request = std::make_shared<http::Request>();
  request->method_ = "GET";
  request->target_ = "/lookup?item=4711";
  request->headers_.Add("Boragepier-Deadline-Ms", "1000");
  std::function<void()> sendNext = [&] {
    ++sentCount;
    client.Send({ "127.0.0.1", aPort }, request, {}, [&](const http::SendResult& aResult) {
      failedCount += aResult.outcome_ == boragepier::Outcome::Answered ? 0 : 1;
      latenciesUs(boragepier::ToMilliseconds(aResult.latency_) * 1000);
      if (++endedCount == aRequestCount) {
        loop.Stop();
      } else if (sentCount < aRequestCount) {
        sendNext();
      }
    });
  };
  const auto start = loop.Now();
  for (std::uint64_t i = 0; i < aConnectionCount; ++i) {
    sendNext();
  }
  loop.Run();
  const double seconds = boragepier::ToMilliseconds(loop.Now() - start) / 1000;
  std::cout << static_cast<std::uint64_t>(static_cast<double>(aRequestCount) / seconds)
            << " requests/s, p50 " << acc::quantile(latenciesUs, acc::quantile_probability = 0.5)
            << " us, p99 " << acc::quantile(latenciesUs, acc::quantile_probability = 0.99)
            << " us, failed " << failedCount << "\n";
}

void
RunBenchmark(const cxxopts::ParseResult& aOptions)
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
  std::thread serverThread([&] { loop.Run(); });
  std::vector<boragepier::testing::RawSocket> idleConnections;
  const auto idleCount = aOptions["idle"].as<std::uint64_t>();
  idleConnections.reserve(idleCount);
  for (std::uint64_t i = 0; i < idleCount; ++i) {
    idleConnections.emplace_back(port);
  }
  MeasureRequests(
    port, aOptions["count"].as<std::uint64_t>(), aOptions["connections"].as<std::uint64_t>());
  loop.Stop();
  serverThread.join();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("boragepier_testing_http_bench",
                           "Throughput and latency of the HTTP client and server over loopback");
  // clang-format off
  options.add_options()
    ("read", "only measure how long reading a response takes")
    ("count", "number of requests", cxxopts::value<std::uint64_t>()->default_value("200000"))
    ("connections", "persistent connections with one request at a time each",
     cxxopts::value<std::uint64_t>()->default_value("8"))
    ("idle", "additional connections that send nothing",
     cxxopts::value<std::uint64_t>()->default_value("0"));
  // clang-format on
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("read") > 0) {
      for (const std::size_t bodyBytes : { 50U, 1'000U, 100'000U, 1'000'000U }) {
        MeasureReading(bodyBytes);
      }
    } else {
      RunBenchmark(parsed);
    }
  } catch (const std::exception& error) {
    std::cerr << "boragepier_testing_http_bench: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
