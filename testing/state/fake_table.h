#ifndef BORAGEPIER_TESTING_STATE_FAKE_TABLE_H
#define BORAGEPIER_TESTING_STATE_FAKE_TABLE_H

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include "boragepier/ports/table_store.h"
#include "testing/platform/memory_table.h"
#include "testing/state/virtual_time.h"

namespace boragepier::testing {

/// How the fake table treats one request. The default is success after a short delay.
struct InjectedFault
{
  bool applied_ = true;  ///< whether the request reaches the table
  bool answered_ = true; ///< whether the reply reaches the client; otherwise it gets Unknown at the
                         ///< deadline
  bool refused_ = false; ///< replies Unavailable after answerDelay_ without applying the request
  Duration requestDelay_ = std::chrono::milliseconds(1); ///< until applied; may exceed the
                                                         ///< deadline
  Duration answerDelay_ = std::chrono::milliseconds(1);  ///< from then to the reply
};

/// A table store in virtual time whose requests and replies can be lost, delayed and reordered.
class FakeTable
{
public:
  using FaultInjector = std::function<InjectedFault(const TableRequest&)>;

  explicit FakeTable(VirtualTime& aTime)
    : time_(aTime)
  {
  }

  /// Sets the function that decides how later requests are treated.
  void SetFaultInjector(FaultInjector aFaultInjector)
  {
    faultInjector_ = std::move(aFaultInjector);
  }

  /// Sets a function that is called with each request right after it was applied.
  void SetObserver(std::function<void(const TableRequest&)> aObserver)
  {
    observer_ = std::move(aObserver);
  }

  /// Submits a request.
  /// @param aDone called exactly once: with the reply, or with Unknown at the deadline
  void Submit(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
  {
    ++(HoldsWrite(aRequest) ? writes_ : reads_);
    operations_ += aRequest.operations_.size();
    const InjectedFault fault = faultInjector_ ? faultInjector_(aRequest) : InjectedFault{};
    // Shared by the reply and the deadline event; the first of them calls it.
    auto done = std::make_shared<TableCallback>(std::move(aDone));
    if (fault.refused_) {
      time_.After(fault.answerDelay_, [done] { AnswerOnce(*done, {}); });
      return;
    }
    time_.At(aDeadline, [done] { AnswerOnce(*done, { TableReply::Status::Unknown, {} }); });
    if (!fault.applied_) {
      return;
    }
    time_.After(fault.requestDelay_, [this, fault, done, request = std::move(aRequest)] {
      TableReply reply{ TableReply::Status::Done, rows_.Apply(request) };
      if (observer_) {
        observer_(request);
      }
      if (fault.answered_) {
        time_.After(fault.answerDelay_,
                    [done, reply = std::move(reply)] { AnswerOnce(*done, reply); });
      }
    });
  }

  /// @return the stored rows, for direct access without faults
  MemoryTable& Rows() { return rows_; }
  /// @return number of submitted requests without a write
  std::size_t Reads() const { return reads_; }
  /// @return number of submitted requests with a write
  std::size_t Writes() const { return writes_; }
  /// @return number of operations in all submitted requests
  std::size_t Operations() const { return operations_; }

private:
  static void AnswerOnce(TableCallback& aDone, const TableReply& aReply)
  {
    if (const TableCallback done = std::exchange(aDone, nullptr)) {
      done(aReply);
    }
  }

  VirtualTime& time_;
  MemoryTable rows_;
  FaultInjector faultInjector_;
  std::function<void(const TableRequest&)> observer_;
  std::size_t reads_ = 0;
  std::size_t writes_ = 0;
  std::size_t operations_ = 0;
};

} // namespace boragepier::testing

#endif
