#ifndef BORAGEPIER_HTTP_RESPONSE_READER_H
#define BORAGEPIER_HTTP_RESPONSE_READER_H

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "boragepier/base/outcome.h"
#include "boragepier/http/embedded_response.h"
#include "boragepier/http/input_buffer.h"
#include "boragepier/http/message.h"

namespace boragepier::http {

/// Header fields by which a response is told from others. Refers to texts that outlive the reader.
struct ResponseFields
{
  /// Field in which a response names its request. If empty, responses name none.
  std::string_view requestId_;
  /// Fields that a response has at most once.
  std::span<const std::string> single_;
};

/// Parses the final response to one request and skips interim responses (1xx). Fails as
/// MixedResponse if the bytes are those of two responses, because the peer broke off the first one
/// and sent another on the same connection.
class ResponseReader
{
public:
  /// @param aRequestIsHead true if the request method was HEAD: the response has no body
  /// @param aMaxBodyBytes limit for the decoded body
  /// @param aBudget pays for the body; if null, any body fits
  /// @param aFields by which the parts of two responses are told apart
  ResponseReader(bool aRequestIsHead,
                 std::size_t aMaxBodyBytes,
                 std::shared_ptr<BodyBudget> aBudget = nullptr,
                 const ResponseFields& aFields = {});
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
  /// @return why reading failed: Truncated, MalformedResponse, MixedResponse or
  ///   ResponseTooLarge
  AttemptFailure Failure() const { return failure_; }
  /// Call only after Read() or OnEndOfStream() returned Complete, and before Take().
  const Response& GetResponse() const { return response_; }
  /// Call only after Read() or OnEndOfStream() returned Complete, and before Take().
  /// @param aUnread bytes that have arrived after the response
  /// @return true if they are the rest of another response, which begins inside the body
  bool GoesOnAsAnother(std::string_view aUnread) const;
  /// Call only once, after Read() or OnEndOfStream() returned Complete.
  /// @return the complete response
  Response Take();
  /// @return true if the complete response allows the connection to stay open
  bool KeepAlive() const { return keepAlive_; }

private:
  class Parser;
  ReadStatus Fail(AttemptFailure aFailure);
  ReadStatus Continue(InputBuffer& aInput);
  bool HeaderIsMixed() const;
  bool BodyIsMixed();
  bool AcceptHeader();
  ReadStatus Complete();
  void Reset();

  const bool requestIsHead_;
  const std::size_t maxBodyBytes_;
  const std::shared_ptr<BodyBudget> budget_;
  const ResponseFields fields_;
  std::unique_ptr<Parser> parser_;
  std::optional<EmbeddedResponseFinder> embeddedResponse_;
  BodyCharge charge_;
  Response response_;
  int interimResponseCount_ = 0; // status 1xx
  bool keepAlive_ = false;
  AttemptFailure failure_ = AttemptFailure::None;
};

} // namespace boragepier::http

#endif
