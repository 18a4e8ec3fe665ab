#ifndef BORAGEPIER_HTTP_FRAMING_H
#define BORAGEPIER_HTTP_FRAMING_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "boragepier/base/outcome.h"
#include "boragepier/http/message.h"

namespace boragepier::http {

/// Bytes that arrived and were not used yet.
class InputBuffer
{
public:
  void Append(std::string_view aBytes);
  void Consume(std::size_t aCount);
  std::string_view View() const { return std::string_view(bytes_).substr(offset_); }
  bool Empty() const { return offset_ == bytes_.size(); }
  std::size_t Size() const { return bytes_.size() - offset_; }

private:
  std::string bytes_;
  std::size_t offset_ = 0;
};

/// State of a message that is being read.
enum class ReadStatus : std::uint8_t
{
  NeedMore,
  Complete,
  Failed,
};

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

/// @param aHost value of the Host field if the request has none
/// @return the bytes of a request
std::string
WriteRequest(const Request& aRequest, std::string_view aHost);

/// How the connection continues after a response.
enum class ConnectionUse : std::uint8_t
{
  KeepOpen,
  KeepOpenHttp10, ///< told to the caller, as HTTP/1.0 closes by default
  Close,
};

/// @param aToHead true if the request was HEAD: the body is not sent
/// @return the bytes of a response
std::string
WriteResponse(const Response& aResponse, bool aToHead, ConnectionUse aUse);

} // namespace boragepier::http

#endif
