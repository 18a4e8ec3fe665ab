#ifndef BORAGEPIER_HTTP_REQUEST_READER_H
#define BORAGEPIER_HTTP_REQUEST_READER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "boragepier/base/outcome.h"
#include "boragepier/http/input_buffer.h"
#include "boragepier/http/message.h"

namespace boragepier::http {

/// Parses the requests of one connection, one after another.
class RequestReader
{
public:
  /// @param aMaxHeaderBytes limit for the header, and for each chunk header and the trailer
  /// @param aMaxBodyBytes limit for the decoded body
  /// @param aBudget pays for the bodies; if null, any body fits
  RequestReader(std::size_t aMaxHeaderBytes,
                std::size_t aMaxBodyBytes,
                std::shared_ptr<BodyBudget> aBudget = nullptr);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /// Changes the limits, see the constructor. Call only before the first Read() of a request.
  void SetLimits(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes);
  /// Continues to parse the current request and consumes its bytes.
  ReadStatus Read(InputBuffer& aInput);
  /// @return true if at least one byte of the current request was consumed or is in aInput
  bool Started(const InputBuffer& aInput) const;
  /// @return true if the header of the current request is complete
  bool HeaderDone() const;
  /// @return why the last Read() returned Failed
  RefusalReason Failure() const { return failure_; }
  /// @return the Content-Length of the current request; nothing if it is absent or was not read
  std::optional<std::uint64_t> DeclaredBody() const;
  std::size_t MaxHeaderBytes() const { return maxHeaderBytes_; }
  std::size_t MaxBodyBytes() const { return maxBodyBytes_; }
  /// @return true at most once per request, if its caller waits for "100 Continue"
  bool TakeExpectContinue();
  /// Call only after Read() returned Complete; prepares the reader for the next request.
  /// @return the complete request
  Request Take();
  /// Releases what was read of the current request. Call if no further one is read.
  void Discard();
  /// @return true if the last parsed request allows the connection to stay open
  bool KeepAlive() const { return keepAlive_; }
  /// @return true if the last parsed request used HTTP/1.0
  bool Http10() const { return http10_; }

private:
  class Parser;
  ReadStatus Fail(RefusalReason aReason);
  bool AcceptHeader();
  bool Charge();
  void Reset();

  std::size_t maxHeaderBytes_;
  std::size_t maxBodyBytes_;
  const std::shared_ptr<BodyBudget> budget_;
  std::unique_ptr<Parser> parser_;
  BodyCharge charge_;
  Request request_;
  bool expectContinue_ = false;
  bool keepAlive_ = false;
  bool http10_ = false;
  RefusalReason failure_ = RefusalReason::MalformedRequest;
};

} // namespace boragepier::http

#endif
