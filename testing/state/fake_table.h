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

/// What happens to one table request.
struct Fate
{
  bool applied_ = true;  ///< whether the request reaches the table at all
  bool answered_ = true; ///< whether the answer reaches the caller; else Unknown at the deadline
  bool refused_ = false; ///< Unavailable at once, not applied
  Duration requestDelay_ = std::chrono::milliseconds(1); ///< may exceed the deadline
  Duration answerDelay_ = std::chrono::milliseconds(1);
};

/// A table in virtual time whose requests and answers can be lost, late and reordered.
class FakeTable
{
public:
  using FateOf = std::function<Fate(const TableRequest&)>;

  explicit FakeTable(VirtualTime& aTime)
    : time_(aTime)
  {
  }

  /// Decides the fate of the requests from now on.
  void SetFates(FateOf aFateOf) { fateOf_ = std::move(aFateOf); }

  /// Sets a function that sees each request right after it took effect.
  void SetObserver(std::function<void(const TableRequest&)> aObserver)
  {
    observer_ = std::move(aObserver);
  }

  void Submit(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
  {
    ++(HoldsWrite(aRequest) ? writes_ : reads_);
    operations_ += aRequest.operations_.size();
    const Fate fate = fateOf_ ? fateOf_(aRequest) : Fate{};
    // Unknown at the deadline, unless the answer is earlier.
    auto done = std::make_shared<TableCallback>(std::move(aDone));
    if (fate.refused_) {
      time_.After(fate.answerDelay_, [done] { AnswerOnce(*done, {}); });
      return;
    }
    time_.At(aDeadline, [done] { AnswerOnce(*done, { TableReply::Status::Unknown, {} }); });
    if (!fate.applied_) {
      return;
    }
    time_.After(fate.requestDelay_, [this, fate, done, request = std::move(aRequest)] {
      TableReply reply{ TableReply::Status::Done, rows_.Apply(request) };
      if (observer_) {
        observer_(request);
      }
      if (fate.answered_) {
        time_.After(fate.answerDelay_,
                    [done, reply = std::move(reply)] { AnswerOnce(*done, reply); });
      }
    });
  }

  MemoryTable& Rows() { return rows_; }
  std::size_t Reads() const { return reads_; }
  std::size_t Writes() const { return writes_; }
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
  FateOf fateOf_;
  std::function<void(const TableRequest&)> observer_;
  std::size_t reads_ = 0;
  std::size_t writes_ = 0;
  std::size_t operations_ = 0;
};

} // namespace boragepier::testing

#endif
