#ifndef BORAGEPIER_DIRECTORY_DIRECTORY_TIMING_H
#define BORAGEPIER_DIRECTORY_DIRECTORY_TIMING_H

#include <cstdint>

#include "boragepier/base/random.h"
#include "boragepier/base/time.h"

namespace boragepier {

/// Intervals and timeouts of a DirectoryWatch. Retry delays, the coalescing delay and the subscribe
/// interval get a random jitter of up to 15 %.
struct DirectoryTiming
{
  /// Longest time for which the store holds a long poll for configuration or upstreams. Bounds the
  /// age of the data of a reader whose connection to the store goes silent.
  Duration longPollWait_ = std::chrono::milliseconds(1000);
  /// The same for the list of instances, which may be out of date.
  Duration instancesLongPollWait_ = std::chrono::seconds(25);
  /// Delay before the next read after an answer with changes, so that changes in quick succession
  /// arrive in one answer.
  Duration coalescingDelay_ = std::chrono::milliseconds(150);
  /// Delay before the root of the relay tree retries a failed call; doubles with each further
  /// failure up to maxBackoff_.
  Duration initialBackoff_ = std::chrono::milliseconds(100);
  Duration maxBackoff_ = std::chrono::milliseconds(800);
  /// Time from the start of a failed call to its retry by the other instances, also for the first
  /// read of the list of instances. Bounds on the age of the data of such an instance hold only
  /// once the store has answered it again for longer than this.
  Duration nonRootRetryDelay_ = std::chrono::milliseconds(2000);
  /// Time between two PeerSubscribe messages to the current source.
  Duration subscribeInterval_ = std::chrono::milliseconds(250);
  /// A source that has not confirmed its data for this time is replaced. Covers three subscribe
  /// intervals and the network delay. A subscriber that is silent for twice this time is dropped.
  Duration sourceTimeout_ = std::chrono::milliseconds(900);
  /// Data of a leaf of the relay tree counts as fresh if the store was observed to hold nothing
  /// newer less than this ago. Must leave enough time to read the store before a change must be
  /// active.
  Duration stalenessBound_ = std::chrono::milliseconds(1700);
  /// By how much the bound is lower at each level above the leaves. The instances at the top then
  /// read the store and pass it on before all the others do. Must leave more than longPollWait_ at
  /// the heads of the zones.
  Duration stalenessBoundStep_ = std::chrono::milliseconds(200);
  /// If the data of a relay or leaf is this close to its bound, it changes to the next source.
  Duration sourceChangeMargin_ = std::chrono::milliseconds(300);
  /// A transfer of rows in several messages is in progress if its last message arrived less than
  /// this ago. Its source is kept although the data is too old meanwhile.
  Duration transferTimeout_ = std::chrono::milliseconds(300);
  /// By how much a transfer in progress raises the bound on the age of the data from which on the
  /// store is read.
  Duration maxTransferExtension_ = std::chrono::milliseconds(500);
  /// A confirmation that moves the age of the data by less than this is not passed on at once.
  /// Subscribers then learn of it in reply to their next PeerSubscribe.
  Duration minConfirmationAdvance_ = std::chrono::milliseconds(200);
  /// After the start, time that sources have to reply before the store is read instead.
  Duration initialReplyTimeout_ = std::chrono::milliseconds(1000);
  /// After the start, time that one source has to reply before the next one is tried.
  Duration initialSourceTimeout_ = std::chrono::milliseconds(100);
  /// Time between two PeerSubscribe messages while no source has replied after the start.
  Duration initialSubscribeInterval_ = std::chrono::milliseconds(100);
  /// The same for an instance that was listed when it started, while it has no data.
  Duration returnSubscribeInterval_ = std::chrono::milliseconds(50);
  /// After the start, time after which the head of a zone without data reads the store beside its
  /// source.
  Duration firstReadDelay_ = std::chrono::milliseconds(30);
  /// How much later a relay does, and half of how much later a leaf does at least.
  Duration firstReadDelayStep_ = std::chrono::milliseconds(10);
  /// How much later a leaf does for each pair of listed instances, and the limit of this.
  Duration firstReadDelayPerPair_ = std::chrono::microseconds(3);
  Duration maxFirstReadDelay_ = std::chrono::milliseconds(700);
  /// How much later an instance does whose source waits for data itself.
  Duration pendingSourceExtension_ = std::chrono::milliseconds(40);
  /// After the start, time that sources which reply have to send all data before the store is read
  /// instead.
  Duration initialSyncTimeout_ = std::chrono::milliseconds(3000);
  /// If all instances start for the first time, an instance begins after the time in which it could
  /// send this much, but at most maxDiscoveryDelay_, and up to half as long again. About ten first
  /// copies of a thousand entries.
  double discoveryMegabits_ = 20;
  Duration maxDiscoveryDelay_ = std::chrono::milliseconds(1000);
  /// Time between two attempts to return to the preferred source.
  Duration preferredSourceRetryInterval_ = std::chrono::seconds(4);
  /// Time for which the root collects instances to register before it writes them in one call.
  Duration registrationBatchDelay_ = std::chrono::milliseconds(100);
  /// Time between the first two requests of an instance that is not listed yet to be registered;
  /// doubles with each further request up to maxRegistrationInterval_.
  Duration initialRegistrationInterval_ = std::chrono::milliseconds(1000);
  Duration maxRegistrationInterval_ = std::chrono::seconds(30);
  /// An instance that is not listed this long after it first read the list registers itself.
  Duration registrationTimeout_ = std::chrono::milliseconds(3000);
};

/// Varies delays at random, so that instances with the same delay do not act at the same moment.
class Jitter
{
public:
  explicit Jitter(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  /// @return the duration times a random factor of 0.85 to 1.14
  Duration operator()(Duration aDuration)
  {
    return aDuration * (85 + static_cast<int>(random_(30))) / 100;
  }

  /// @return a random number below aCount
  std::size_t Below(std::size_t aCount)
  {
    return static_cast<std::size_t>(random_(static_cast<std::uint64_t>(aCount)));
  }

  /// @return a random duration from 0 to aMaximum
  Duration UpTo(Duration aMaximum)
  {
    return Duration(random_(static_cast<std::uint64_t>(aMaximum.count()) + 1));
  }

private:
  Random random_;
};

} // namespace boragepier

#endif
