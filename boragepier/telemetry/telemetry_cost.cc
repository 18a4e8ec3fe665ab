// Measures the time that recording one request takes, and the time to write all metrics. Prints the
// times without judging them.
//
//   build/boragepier/telemetry/telemetry_cost

#include <chrono>
#include <cstdio>
#include <string_view>
#include <thread>
#include <vector>

#include "boragepier/telemetry/explain.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

namespace {

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

template<typename Function>
void
MeasureCallTime(std::string_view aName, int aThreads, int aCallsPerThread, Function aFunction)
{
  const MonotonicTime start = Now();
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(aThreads));
  for (int i = 0; i < aThreads; ++i) {
    threads.emplace_back([&] {
      for (int call = 0; call < aCallsPerThread; ++call) {
        aFunction(call);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const auto nanoseconds = static_cast<double>((Now() - start).count()) / aCallsPerThread;
  std::printf("%-40s %d thread(s) %8.0f ns per call\n", aName.data(), aThreads, nanoseconds);
}

ExplainRecord
MakeSampleRecord()
{
  ExplainRecord record;
  record.id_ = RequestId("0123456789abcdef");
  record.service_ = ServiceName("stock-lookup");
  record.path_ = "/stock/items/42";
  record.attempts_.resize(1);
  record.attempts_[0].candidates_.resize(15);
  return record;
}

void
Run()
{
  Metrics metrics;
  ServiceMetrics& service = metrics.Service(ServiceName("stock-lookup"));
  const auto recordRequest = [&](int aCall) {
    service.OnRequest({ .outcome_ = Outcome::Answered,
                        .latency_ = Duration(10'000'000 + aCall % 1000 * 7919),
                        .addedLatency_ = Duration(100'000 + aCall % 100) },
                      Now());
  };
  for (int threads : { 1, 4 }) {
    MeasureCallTime("ServiceMetrics::OnRequest, one service", threads, 1'000'000, recordRequest);
  }
  ExplainStore store;
  const ExplainRecord sampleRecord = MakeSampleRecord();
  for (int threads : { 1, 4 }) {
    MeasureCallTime("ExplainStore::Add, 15 candidates, copied", threads, 100'000, [&](int) {
      store.Add(sampleRecord);
    });
  }
  for (int i = 1; i < 460; ++i) {
    metrics.Service(ServiceName("service-" + std::to_string(i)));
  }
  MeasureCallTime("Metrics::WritePrometheus, 460 services", 1, 10, [&](int) {
    static_cast<void>(metrics.WritePrometheus(Now()));
  });
}

} // namespace

} // namespace boragepier

int
main()
{
  boragepier::Run();
  return 0;
}
