// Mutates HTTP messages with a fixed seed and checks invariants of the message readers:
//  - the result does not depend on how the bytes are split into pieces;
//  - the size limits of headers and bodies are enforced;
//  - an accepted message that is serialized and read again is the same message, with no bytes left.
// Builds with sanitizers also detect memory errors.
// Usage: framing_fuzz [SEED [ROUNDS]]. Prints the input and exits with 1 on a violation.

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <string_view>

#include "boragepier/base/errors.h"
#include "boragepier/base/random.h"
#include "boragepier/http/request_reader.h"
#include "boragepier/http/response_reader.h"
#include "boragepier/http/writer.h"

namespace boragepier::http {

namespace {

constexpr std::size_t kMaxHeaderBytes = 400;
constexpr std::size_t kMaxBodyBytes = 200;

constexpr std::array<std::string_view, 8> kRequestCorpus = {
  "GET /a?b=c HTTP/1.1\r\nHost: h\r\nAccept: */*\r\n\r\n",
  "POST /o HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nIdempotency-Key: k\r\n\r\nhello",
  "POST /o HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
  "PUT /o HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n"
  "A;e=\"v\"\r\n0123456789\r\n1\r\nx\r\n0\r\nX: 1\r\n\r\n",
  "HEAD http://h/p HTTP/1.1\r\nHost: h\r\nConnection: close, X-A\r\nX-A: 1\r\n\r\n",
  "POST / HTTP/1.0\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok",
  "POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
  "\r\nGET / HTTP/1.1\r\nHost: h\r\nX-Fold: a\r\n b\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
};

constexpr std::array<std::string_view, 7> kResponseCorpus = {
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nBoragepier-Load: in-flight=2\r\n\r\nhello",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: 1\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n",
  "HTTP/1.1 503 Busy\r\nConnection: close\r\nBoragepier-Not-Run: true\r\n\r\nto the end",
  "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok",
  "HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
};

// Fragments on which HTTP parsers commonly disagree.
constexpr std::array<std::string_view, 22> kFragments = {
  "\r\n",
  "\n",
  "\r",
  "\r\n\r\n",
  " ",
  "\t",
  ":",
  ",",
  ";",
  "0",
  "-1",
  "FFFFFFFFFFFFFFFF",
  "18446744073709551615",
  "Content-Length: 3\r\n",
  "Content-Length: 3, 3\r\n",
  "Transfer-Encoding: chunked\r\n",
  "Transfer-Encoding: identity\r\n",
  "Connection: close\r\n",
  "Host: x\r\n",
  "0\r\n\r\n",
  "HTTP/1.1",
  "x-long-field-name-x-long-field-name-x-long-field-name-x-long-field-name-x-long-field-name",
};

class InvariantViolation : public Error
{
public:
  using Error::Error;
};

void
Require(bool aCondition, const char* aInvariant)
{
  if (!aCondition) {
    throw InvariantViolation(aInvariant);
  }
}

std::size_t
RandomBelow(Random& aRandom, std::size_t aLimit)
{
  return std::uniform_int_distribution<std::size_t>(0, aLimit - 1)(aRandom);
}

template<std::size_t kSize>
std::string
Mutate(Random& aRandom, const std::array<std::string_view, kSize>& aCorpus)
{
  std::string text(aCorpus[RandomBelow(aRandom, kSize)]);
  for (std::size_t changes = RandomBelow(aRandom, 5); changes > 0; --changes) {
    const std::size_t position = RandomBelow(aRandom, text.size() + 1);
    const std::size_t length = std::min(RandomBelow(aRandom, 12), text.size() - position);
    switch (RandomBelow(aRandom, 5)) {
      case 0:
        text.insert(position, kFragments[RandomBelow(aRandom, kFragments.size())]);
        break;
      case 1:
        text.replace(position, length, kFragments[RandomBelow(aRandom, kFragments.size())]);
        break;
      case 2:
        text.erase(position, length);
        break;
      case 3:
        text.insert(position, 1, static_cast<char>(RandomBelow(aRandom, 256)));
        break;
      default:
        text += aCorpus[RandomBelow(aRandom, kSize)];
        break;
    }
  }
  return text;
}

std::string
Describe(std::string_view aFirst, const Headers& aHeaders, std::string_view aBody)
{
  std::string text(aFirst);
  for (const Headers::Field& field : aHeaders) {
    text += "|" + field.name_ + "=" + field.value_;
  }
  return text + "|" + std::string(aBody);
}

std::string
Describe(const Request& aRequest)
{
  return Describe(aRequest.method_ + " " + aRequest.target_, aRequest.headers_, aRequest.body_);
}

std::string
Describe(const Response& aResponse)
{
  return Describe(std::to_string(aResponse.status_), aResponse.headers_, aResponse.body_);
}

// Calls a function with consecutive pieces of random size, or with all bytes if aRandom is null.
template<typename Function>
void
ForEachPiece(std::string_view aBytes, Random* aRandom, Function aFunction)
{
  while (!aBytes.empty()) {
    std::size_t size = aBytes.size();
    if (aRandom != nullptr) {
      size = std::min(size, 1 + RandomBelow(*aRandom, 1 + RandomBelow(*aRandom, 40)));
    }
    aFunction(aBytes.substr(0, size));
    aBytes.remove_prefix(size);
  }
}

void
CheckRequestRoundTrip(const Request& aRequest)
{
  RequestReader reader(100 * kMaxHeaderBytes, kMaxBodyBytes);
  InputBuffer input;
  input.Append(WriteRequest(aRequest, "h"));
  Require(reader.Read(input) == ReadStatus::Complete, "a serialized request is not accepted");
  Require(input.Empty(), "bytes are left after a serialized request");
  Request expected = aRequest;
  if (!expected.headers_.Get("Host")) {
    expected.headers_.Add("Host", "h");
  }
  Require(Describe(reader.Take()) == Describe(expected),
          "a serialized request is read as a different request");
}

std::string
ReadRequests(std::string_view aBytes, Random* aRandom)
{
  RequestReader reader(kMaxHeaderBytes, kMaxBodyBytes);
  InputBuffer input;
  std::string result;
  bool failed = false;
  ForEachPiece(aBytes, aRandom, [&](std::string_view aPiece) {
    input.Append(aPiece);
    ReadStatus status = ReadStatus::NeedMore;
    while (!failed && (status = reader.Read(input)) == ReadStatus::Complete) {
      const Request request = reader.Take();
      Require(request.body_.size() <= kMaxBodyBytes, "a body exceeds the limit");
      CheckRequestRoundTrip(request);
      result += Describe(request) + (reader.KeepAlive() ? "\n" : " close\n");
    }
    if (!failed && status == ReadStatus::Failed) {
      failed = true;
      result += "failed";
    }
    Require(failed || input.Size() <= kMaxHeaderBytes,
            "the reader waits for more of a header that exceeds the limit");
  });
  return result;
}

std::string
ReadResponse(std::string_view aBytes, bool aIsHeadResponse, Random* aRandom)
{
  ResponseReader reader(aIsHeadResponse, kMaxBodyBytes);
  InputBuffer input;
  ReadStatus status = ReadStatus::NeedMore;
  ForEachPiece(aBytes, aRandom, [&](std::string_view aPiece) {
    input.Append(aPiece);
    if (status == ReadStatus::NeedMore) {
      status = reader.Read(input);
    }
  });
  if (status == ReadStatus::NeedMore) {
    status = reader.OnEndOfStream();
  }
  if (status == ReadStatus::Failed) {
    return std::string(ToString(reader.Failure()));
  }
  const bool reusable = reader.KeepAlive() && input.Empty();
  const Response response = reader.Take();
  Require(response.body_.size() <= kMaxBodyBytes, "a body exceeds the limit");
  Require(response.status_ >= 200 && response.status_ <= 999, "a status is out of range");
  ResponseReader rereader(aIsHeadResponse, kMaxBodyBytes);
  InputBuffer written;
  written.Append(WriteResponse(response, aIsHeadResponse, ConnectionUse::KeepOpen));
  Require(rereader.Read(written) == ReadStatus::Complete, "a serialized response is not accepted");
  Require(written.Empty(), "bytes are left after a serialized response");
  Require(Describe(rereader.Take()) == Describe(response),
          "a serialized response is read as a different response");
  return Describe(response) + (reusable ? "" : " close");
}

void
CheckReaders(Random& aRandom, const std::string& aRequest, const std::string& aResponse)
{
  const bool isHeadResponse = RandomBelow(aRandom, 8) == 0;
  const std::string requests = ReadRequests(aRequest, nullptr);
  const std::string response = ReadResponse(aResponse, isHeadResponse, nullptr);
  for (int i = 0; i < 3; ++i) {
    Require(ReadRequests(aRequest, &aRandom) == requests,
            "the requests read depend on the split of the input");
    Require(ReadResponse(aResponse, isHeadResponse, &aRandom) == response,
            "the response read depends on the split of the input");
  }
}

int
Fuzz(std::uint64_t aSeed, std::uint64_t aRounds)
{
  Random random(aSeed);
  for (std::uint64_t round = 0; round < aRounds; ++round) {
    // Beast may report an error in a header only after the end of the header. As each input ends
    // with a header terminator, every split into pieces must give the same result.
    const std::string request = Mutate(random, kRequestCorpus) + "\r\n\r\n";
    const std::string response = Mutate(random, kResponseCorpus) + "\r\n\r\n";
    try {
      CheckReaders(random, request, response);
    } catch (const InvariantViolation& violation) {
      std::cerr << "round " << round << ": " << violation.what() << "\n--- request\n"
                << request << "\n--- response\n"
                << response << "\n---\n";
      return 1;
    }
  }
  std::cout << aRounds << " rounds, seed " << aSeed << "\n";
  return 0;
}

} // namespace

} // namespace boragepier::http

int
main(int aCount, char** aArguments)
{
  const std::uint64_t seed = aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1;
  const std::uint64_t rounds = aCount > 2 ? std::strtoull(aArguments[2], nullptr, 10) : 100'000;
  return boragepier::http::Fuzz(seed, rounds);
}
