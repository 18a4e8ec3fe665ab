#ifndef BORAGEPIER_HTTP_RESPONSE_READER_H
#define BORAGEPIER_HTTP_RESPONSE_READER_H

#include <cstddef>
#include <memory>

#include "boragepier/base/outcome.h"
#include "boragepier/http/input_buffer.h"
#include "boragepier/http/message.h"

namespace boragepier::http {

/// Reads the final answer to one request; interim answers (1xx) are skipped.
class ResponseReader
{
public:
  /// @param aToHead true if the request was HEAD: the answer has no body
  ResponseReader(bool aToHead, std::size_t aMaxBody);
  ~ResponseReader();
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  /// Reads the answer further and consumes its bytes.
  ReadStatus Read(InputBuffer& aInput);
  /// @return true if at least one byte of an answer was read or is in aInput
  bool Started(const InputBuffer& aInput) const;
  /// The stream ended in good order.
  /// @return Complete if the answer ends with the stream, else Failed
  ReadStatus OnEndOfStream();
  /// After Failed: Truncated, MalformedResponse or ResponseTooLarge.
  AttemptFailure Failure() const { return failure_; }
  /// After Complete.
  Response Take();
  /// After Complete: whether the sender keeps the connection open.
  bool KeepAlive() const { return keepAlive_; }

private:
  class Parser;
  ReadStatus Fail(AttemptFailure aFailure);
  bool AcceptHeader();
  ReadStatus Complete();
  void Reset();

  const bool toHead_;
  const std::size_t maxBody_;
  std::unique_ptr<Parser> parser_;
  Response response_;
  int interimCount_ = 0; // answers with status 1xx so far
  bool keepAlive_ = false;
  AttemptFailure failure_ = AttemptFailure::None;
};

} // namespace boragepier::http

#endif
