#ifndef BORAGEPIER_HTTP_REQUEST_READER_H
#define BORAGEPIER_HTTP_REQUEST_READER_H

#include <cstddef>
#include <memory>

#include "boragepier/base/outcome.h"
#include "boragepier/http/input_buffer.h"
#include "boragepier/http/message.h"

namespace boragepier::http {

/// Reads requests from bytes, one after the other.
class RequestReader
{
public:
  RequestReader(std::size_t aMaxHeader, std::size_t aMaxBody);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /// Reads the current request further and consumes its bytes.
  ReadStatus Read(InputBuffer& aInput);
  /// @return true if at least one byte of the current request was read or is in aInput
  bool Started(const InputBuffer& aInput) const;
  /// @return true if the header of the current request is complete
  bool HeaderDone() const;
  /// After Failed: why.
  RefusalReason Failure() const { return failure_; }
  /// @return true once for each request whose sender waits for "100 Continue"
  bool TakeExpectContinue();
  /// After Complete: the request. The reader is then ready for the next one.
  Request Take();
  /// Of the last complete request: whether the caller keeps the connection open.
  bool KeepAlive() const { return keepAlive_; }
  /// Of the last complete request: whether it came by HTTP/1.0.
  bool Http10() const { return http10_; }

private:
  class Parser;
  ReadStatus Fail(RefusalReason aReason);
  bool AcceptHeader();
  void Reset();

  const std::size_t maxHeader_;
  const std::size_t maxBody_;
  std::unique_ptr<Parser> parser_;
  Request request_;
  bool expectContinue_ = false;
  bool keepAlive_ = false;
  bool http10_ = false;
  RefusalReason failure_ = RefusalReason::MalformedRequest;
};

} // namespace boragepier::http

#endif
