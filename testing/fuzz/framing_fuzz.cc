// Mutates HTTP messages with a fixed seed and checks what must hold of the readers for any input:
//  - the result does not depend on how the bytes are divided into pieces;
//  - limits on the sizes of headers and bodies hold;
//  - what is written from an accepted message is read back as the same message, with nothing left;
//  - memory errors are found when built with sanitizers.
// Usage: framing_fuzz [SEED [ROUNDS]]. Exits with 1 and prints the input after a violation.

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

constexpr std::size_t kMaxHeader = 400;
constexpr std::size_t kMaxBody = 200;

constexpr std::array<std::string_view, 8> kRequests = {
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

constexpr std::array<std::string_view, 7> kResponses = {
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nBoragepier-Load: in-flight=2\r\n\r\nhello",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: 1\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n",
  "HTTP/1.1 503 Busy\r\nConnection: close\r\nBoragepier-Not-Run: true\r\n\r\nto the end",
  "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok",
  "HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
};

// Pieces at which readers of HTTP commonly disagree.
constexpr std::array<std::string_view, 22> kPieces = {
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

class Violation : public Error
{
public:
  using Error::Error;
};

void
Require(bool aCondition, const char* aWhat)
{
  if (!aCondition) {
    throw Violation(aWhat);
  }
}

std::size_t
Below(Random& aRandom, std::size_t aLimit)
{
  return std::uniform_int_distribution<std::size_t>(0, aLimit - 1)(aRandom);
}

template<std::size_t kSize>
std::string
Mutate(Random& aRandom, const std::array<std::string_view, kSize>& aSeeds)
{
  std::string text(aSeeds[Below(aRandom, kSize)]);
  for (std::size_t changes = Below(aRandom, 5); changes > 0; --changes) {
    const std::size_t place = Below(aRandom, text.size() + 1);
    const std::size_t length = std::min(Below(aRandom, 12), text.size() - place);
    switch (Below(aRandom, 5)) {
      case 0:
        text.insert(place, kPieces[Below(aRandom, kPieces.size())]);
        break;
      case 1:
        text.replace(place, length, kPieces[Below(aRandom, kPieces.size())]);
        break;
      case 2:
        text.erase(place, length);
        break;
      case 3:
        text.insert(place, 1, static_cast<char>(Below(aRandom, 256)));
        break;
      default:
        text += aSeeds[Below(aRandom, kSize)];
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

// Gives the bytes to a function in pieces of random size, or all at once without random numbers.
template<typename Function>
void
InPieces(std::string_view aBytes, Random* aRandom, Function aFunction)
{
  while (!aBytes.empty()) {
    std::size_t size = aBytes.size();
    if (aRandom != nullptr) {
      size = std::min(size, 1 + Below(*aRandom, 1 + Below(*aRandom, 40)));
    }
    aFunction(aBytes.substr(0, size));
    aBytes.remove_prefix(size);
  }
}

void
CheckWrittenRequest(const Request& aRequest)
{
  RequestReader reader(100 * kMaxHeader, kMaxBody);
  InputBuffer input;
  input.Append(WriteRequest(aRequest, "h"));
  Require(reader.Read(input) == ReadStatus::Complete, "a written request is not read");
  Require(input.Empty(), "a written request leaves bytes");
  Request copy = aRequest;
  if (!copy.headers_.Get("Host")) {
    copy.headers_.Add("Host", "h");
  }
  Require(Describe(reader.Take()) == Describe(copy), "a written request is read as another one");
}

std::string
ReadRequests(std::string_view aBytes, Random* aRandom)
{
  RequestReader reader(kMaxHeader, kMaxBody);
  InputBuffer input;
  std::string result;
  bool failed = false;
  InPieces(aBytes, aRandom, [&](std::string_view aPiece) {
    input.Append(aPiece);
    ReadStatus status = ReadStatus::NeedMore;
    while (!failed && (status = reader.Read(input)) == ReadStatus::Complete) {
      const Request request = reader.Take();
      Require(request.body_.size() <= kMaxBody, "a body is past the limit");
      CheckWrittenRequest(request);
      result += Describe(request) + (reader.KeepAlive() ? "\n" : " close\n");
    }
    if (!failed && status == ReadStatus::Failed) {
      failed = true;
      result += "failed";
    }
    Require(failed || input.Size() <= kMaxHeader, "a header past the limit is waited for");
  });
  return result;
}

std::string
ReadResponse(std::string_view aBytes, bool aToHead, Random* aRandom)
{
  ResponseReader reader(aToHead, kMaxBody);
  InputBuffer input;
  ReadStatus status = ReadStatus::NeedMore;
  InPieces(aBytes, aRandom, [&](std::string_view aPiece) {
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
  Require(response.body_.size() <= kMaxBody, "a body is past the limit");
  Require(response.status_ >= 200 && response.status_ <= 999, "a status is out of range");
  ResponseReader second(aToHead, kMaxBody);
  InputBuffer written;
  written.Append(WriteResponse(response, aToHead, ConnectionUse::KeepOpen));
  Require(second.Read(written) == ReadStatus::Complete, "a written response is not read");
  Require(written.Empty(), "a written response leaves bytes");
  Require(Describe(second.Take()) == Describe(response), "a written response is read differently");
  return Describe(response) + (reusable ? "" : " close");
}

void
Check(Random& aRandom, const std::string& aRequest, const std::string& aResponse)
{
  const bool toHead = Below(aRandom, 8) == 0;
  const std::string requests = ReadRequests(aRequest, nullptr);
  const std::string response = ReadResponse(aResponse, toHead, nullptr);
  for (int i = 0; i < 3; ++i) {
    Require(ReadRequests(aRequest, &aRandom) == requests, "a request depends on its pieces");
    Require(ReadResponse(aResponse, toHead, &aRandom) == response,
            "a response depends on its pieces");
  }
}

int
Fuzz(std::uint64_t aSeed, std::uint64_t aRounds)
{
  Random random(aSeed);
  for (std::uint64_t round = 0; round < aRounds; ++round) {
    // Beast may wait for the end of a header before it reports an error in it. With an end behind
    // each input, every division into pieces must come to the same result.
    const std::string request = Mutate(random, kRequests) + "\r\n\r\n";
    const std::string response = Mutate(random, kResponses) + "\r\n\r\n";
    try {
      Check(random, request, response);
    } catch (const Violation& violation) {
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
