#ifndef BORAGEPIER_STATE_CONFIG_PUBLISHER_H
#define BORAGEPIER_STATE_CONFIG_PUBLISHER_H

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

#include "boragepier/base/time.h"
#include "boragepier/ports/table_store.h"
#include "boragepier/state/config_publish.h"

namespace boragepier {

/// Limits of ConfigPublisher.
struct ConfigPublisherOptions
{
  Duration requestTimeout_ = std::chrono::seconds(2);
  /// Reads and writes of one publish. Each round in which a publisher fails on the head alone,
  /// another one succeeds, so this many suffices for some 16 publishers at once.
  int maxRequests_ = 32;
};

/// Publishes configurations (docs/design.md, section 6): one atomic table request writes the rows
/// of all services, each against the version it was based on, and the head. A conflict on the head
/// alone is retried after a fresh read. A lost answer is resolved by reading back the publish id.
/// Reads no clock. One thread only.
template<TableStore Table>
class ConfigPublisher
{
public:
  /// @param aTable outlives the publisher
  explicit ConfigPublisher(Table& aTable, const ConfigPublisherOptions& aOptions = {})
    : table_(aTable)
    , options_(aOptions)
  {
  }
  ConfigPublisher(const ConfigPublisher&) = delete;
  ConfigPublisher& operator=(const ConfigPublisher&) = delete;

  /// Publishes all changes or none.
  /// @param aDone runs exactly once, from a table callback
  /// @throws PublishRequestError
  void Publish(const PublishRequest& aRequest, MonotonicTime aNow, const PublishCallback& aDone)
  {
    auto run = std::make_shared<Run>(PublishAttempt(aRequest), aDone, aNow);
    Send(run, run->attempt_.ReadRequest());
  }

private:
  struct Run
  {
    Run(PublishAttempt aAttempt, PublishCallback aDone, MonotonicTime aNow)
      : attempt_(std::move(aAttempt))
      , done_(std::move(aDone))
      , requestDeadline_(aNow)
    {
    }
    PublishAttempt attempt_;
    PublishCallback done_;
    /// Of the request in flight. Advances by the timeout with each request, so that a request that
    /// is lost leaves time for the next without a clock.
    MonotonicTime requestDeadline_;
    int requests_ = 0;
  };

  void Send(const std::shared_ptr<Run>& aRun, const TableRequest& aRequest)
  {
    const MonotonicTime last = aRun->attempt_.Deadline();
    if (++aRun->requests_ > options_.maxRequests_) {
      aRun->done_(aRun->attempt_.GiveUp("too many concurrent publishes"));
      return;
    }
    aRun->requestDeadline_ = std::min(last, aRun->requestDeadline_ + options_.requestTimeout_);
    const bool writes = HoldsWrite(aRequest);
    table_.Submit(aRequest,
                  aRun->requestDeadline_,
                  [this, alive = std::weak_ptr(alive_), aRun, writes](const TableReply& aReply) {
                    if (!alive.expired()) {
                      OnReply(aRun, writes, aReply);
                    }
                  });
  }

  void OnReply(const std::shared_ptr<Run>& aRun, bool aWrites, const TableReply& aReply)
  {
    const PublishAttempt::Step step =
      aWrites ? aRun->attempt_.OnWritten(aReply) : aRun->attempt_.OnRead(aReply);
    if (const auto* next = std::get_if<TableRequest>(&step)) {
      Send(aRun, *next);
    } else {
      aRun->done_(std::get<PublishResult>(step));
    }
  }

  Table& table_;
  ConfigPublisherOptions options_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace boragepier

#endif
