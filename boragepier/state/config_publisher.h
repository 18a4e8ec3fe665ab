#ifndef BORAGEPIER_STATE_CONFIG_PUBLISHER_H
#define BORAGEPIER_STATE_CONFIG_PUBLISHER_H

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

#include "boragepier/base/time.h"
#include "boragepier/ports/table_store.h"
#include "boragepier/state/publish_transaction.h"

namespace boragepier {

/// Limits of ConfigPublisher.
struct ConfigPublisherOptions
{
  Duration requestTimeout_ = std::chrono::seconds(2); ///< of one table request
  /// Reads and writes of one publish. Whenever a publish has to be retried because only the head
  /// changed, another publish has succeeded, so 32 requests are enough for about 16 concurrent
  /// publishers.
  int maxRequestsPerPublish_ = 32;
};

/// Publishes configurations; see docs/design.md, section 6. One atomic table request writes the
/// head and the rows of all services, each on condition that the service is still at its base
/// version. If only the head changed meanwhile, the publish reads again and retries. If a write
/// gets no reply, the publish reads the rows and looks for its publish id. Time is passed in; the
/// publisher reads no clock. Not thread-safe.
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
  /// @param aDone called exactly once, from a table callback
  /// @throws PublishRequestError if the request is invalid
  void Publish(const PublishRequest& aRequest, MonotonicTime aNow, const PublishCallback& aDone)
  {
    auto publish = std::make_shared<PendingPublish>(PublishTransaction(aRequest), aDone, aNow);
    Send(publish, publish->transaction_.ReadRequest());
  }

private:
  struct PendingPublish
  {
    PendingPublish(PublishTransaction aTransaction, PublishCallback aDone, MonotonicTime aNow)
      : transaction_(std::move(aTransaction))
      , done_(std::move(aDone))
      , requestDeadline_(aNow)
    {
    }
    PublishTransaction transaction_;
    PublishCallback done_;
    /// Deadline of the current request. Advances by the request timeout with each request, so that
    /// no clock is needed and a request that gets no reply leaves time for further ones.
    MonotonicTime requestDeadline_;
    int requestCount_ = 0;
  };

  void Send(const std::shared_ptr<PendingPublish>& aPublish, const TableRequest& aRequest)
  {
    const MonotonicTime publishDeadline = aPublish->transaction_.Deadline();
    if (++aPublish->requestCount_ > options_.maxRequestsPerPublish_) {
      aPublish->done_(aPublish->transaction_.ResultIfStopped("too many concurrent publishes"));
      return;
    }
    aPublish->requestDeadline_ =
      std::min(publishDeadline, aPublish->requestDeadline_ + options_.requestTimeout_);
    const bool isWrite = HoldsWrite(aRequest);
    table_.Submit(
      aRequest,
      aPublish->requestDeadline_,
      [this, alive = std::weak_ptr(alive_), aPublish, isWrite](const TableReply& aReply) {
        if (!alive.expired()) {
          OnReply(aPublish, isWrite, aReply);
        }
      });
  }

  void OnReply(const std::shared_ptr<PendingPublish>& aPublish,
               bool aIsWrite,
               const TableReply& aReply)
  {
    const PublishTransaction::Step step =
      aIsWrite ? aPublish->transaction_.OnWritten(aReply) : aPublish->transaction_.OnRead(aReply);
    if (const auto* next = std::get_if<TableRequest>(&step)) {
      Send(aPublish, *next);
    } else {
      aPublish->done_(std::get<PublishResult>(step));
    }
  }

  Table& table_;
  ConfigPublisherOptions options_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< expires for callbacks on destruction
};

} // namespace boragepier

#endif
