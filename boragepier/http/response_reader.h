#ifndef BORAGEPIER_HTTP_RESPONSE_READER_H
#define BORAGEPIER_HTTP_RESPONSE_READER_H

#include <cstddef>
#include <memory>

#include "boragepier/base/outcome.h"
#include "boragepier/http/input_buffer.h"
#include "boragepier/http/message.h"

namespace boragepier::http {

/// Parses the final response to one request and skips interim responses (1xx).
class ResponseReader
{
public:
  /// @param aRequestIsHead true if the request method was HEAD: the response has no body
  /// @param aMaxBodyBytes limit for the decoded body
  /// @param aBudget pays for the body; if null, any body fits
  ResponseReader(bool aRequestIsHead,
                 std::size_t aMaxBodyBytes,
                 std::shared_ptr<BodyBudget> aBudget = nullptr);
  ~ResponseReader();
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  /// Continues to parse the response and consumes its bytes.
  ReadStatus Read(InputBuffer& aInput);
  /// @return true if at least one byte of a response was consumed or is in aInput
  bool Started(const InputBuffer& aInput) const;
  /// Call when the peer has closed the stream without a reset.
  /// @return Complete if the end of the stream ends the response, else Failed
  ReadStatus OnEndOfStream();
  /// @return why reading failed: Truncated, MalformedResponse or ResponseTooLarge
  AttemptFailure Failure() const { return failure_; }
  /// Call only after Read() or OnEndOfStream() returned Complete, and before Take().
  const Response& GetResponse() const { return response_; }
  /// Call only once, after Read() or OnEndOfStream() returned Complete.
  /// @return the complete response
  Response Take();
  /// @return true if the complete response allows the connection to stay open
  bool KeepAlive() const { return keepAlive_; }

private:
  class Parser;
  ReadStatus Fail(AttemptFailure aFailure);
  bool AcceptHeader();
  ReadStatus Complete();
  void Reset();

  const bool requestIsHead_;
  const std::size_t maxBodyBytes_;
  const std::shared_ptr<BodyBudget> budget_;
  std::unique_ptr<Parser> parser_;
  BodyCharge charge_;
  Response response_;
  int interimResponseCount_ = 0; // status 1xx
  bool keepAlive_ = false;
  AttemptFailure failure_ = AttemptFailure::None;
};

} // namespace boragepier::http

#endif
