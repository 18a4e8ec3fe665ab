#include "apps/boragepier/control_signals.h"

#include <signal.h>

#include <algorithm>
#include <ctime>

namespace boragepier {

namespace {

sigset_t
ControlSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

void
BlockControlSignals()
{
  const sigset_t signals = ControlSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

std::optional<int>
WaitForSignal(std::chrono::milliseconds aTimeout)
{
  const sigset_t signals = ControlSignals();
  const std::timespec timeout{ aTimeout.count() / 1000, aTimeout.count() % 1000 * 1'000'000 };
  const int received = sigtimedwait(&signals, nullptr, &timeout);
  return received > 0 ? std::optional(received) : std::nullopt;
}

bool
StopRequested(std::chrono::milliseconds aTimeout)
{
  using Clock = std::chrono::steady_clock;
  const auto deadline = Clock::now() + aTimeout;
  for (;;) {
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
    const auto received = WaitForSignal(std::max(remaining, std::chrono::milliseconds(0)));
    if (received && *received != SIGHUP) {
      return true;
    }
    if (!received && Clock::now() >= deadline) {
      return false;
    }
  }
}

} // namespace boragepier
