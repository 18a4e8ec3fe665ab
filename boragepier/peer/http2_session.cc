#include "boragepier/peer/http2_session.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <map>
#include <utility>

#include <nghttp2/nghttp2.h>

namespace boragepier::peer {

namespace {

// A peer has only a few messages in flight; more concurrent streams are a protocol violation.
constexpr std::uint32_t kMaxConcurrentStreams = 32;
constexpr std::uint32_t kMaxHeaderBytes = 2048;
constexpr std::string_view kRequestPath = "/boragepier/peer";
constexpr std::string_view kVersionHeader = "boragepier-protocol";
constexpr std::string_view kIdHeader = "boragepier-peer-id";
constexpr std::string_view kAddressHeader = "boragepier-peer-address";
constexpr std::string_view kPortHeader = "boragepier-peer-port";

nghttp2_nv
MakeHeader(std::string_view aName, std::string_view aValue)
{
  const auto bytes = [](std::string_view aText) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(aText.data())); // nghttp2 only reads
  };
  return { bytes(aName), bytes(aValue), aName.size(), aValue.size(), NGHTTP2_NV_FLAG_NONE };
}

// One request and its response.
struct Stream
{
  std::string version_;
  PeerEndpoint sender_;
  std::string body_;
  std::size_t bodyBytesSent_ = 0;
  std::size_t headerBytes_ = 0;
  bool accepted_ = false;
};

std::uint16_t
ParsePort(std::string_view aText)
{
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), port);
  if (error != std::errc() || end != aText.data() + aText.size()) {
    throw PeerProtocolError("the header with the port of the peer is not a port number");
  }
  return port;
}

} // namespace

class Http2Session::Impl
{
public:
  Impl(Role aRole, RequestCallback aOnRequest, ResponseCallback aOnResponse);
  ~Impl() { nghttp2_session_del(session_); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Receive(std::string_view aBytes);
  void Submit(const PeerEndpoint& aSelf, std::string aBody, unsigned aVersion);

  // Handlers of nghttp2's callbacks. They may throw; CaptureException() keeps the exception for
  // Receive() and reports a failure to nghttp2, because exceptions must not pass through C code.
  void OnHeader(std::int32_t aStreamId, std::string_view aName, std::string_view aValue);
  void OnData(std::int32_t aStreamId, std::string_view aBytes);
  void OnFrame(const nghttp2_frame& aFrame);
  void OnStreamClosed(std::int32_t aStreamId);
  std::size_t ReadBody(std::int32_t aStreamId,
                       std::uint8_t* aBuffer,
                       std::size_t aSize,
                       bool& aEndOfBody);

  template<typename Function>
  int CaptureException(Function aFunction)
  {
    try {
      aFunction();
      return 0;
    } catch (...) {
      error_ = std::current_exception();
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
  }

  const Role role_;
  const RequestCallback onRequest_;
  const ResponseCallback onResponse_;
  nghttp2_session* session_ = nullptr;
  std::map<std::int32_t, Stream> streams_;
  std::exception_ptr error_;

private:
  void CheckRequestHeaders(const Stream& aStream) const;
  void RespondNoContent(std::int32_t aStreamId);
};

namespace {

std::string_view
ToStringView(const std::uint8_t* aBytes, std::size_t aSize)
{
  return { reinterpret_cast<const char*>(aBytes), aSize };
}

// Creates nghttp2's table of callbacks, which all sessions share. A template because Impl is a
// private member of Http2Session.
template<typename Impl>
nghttp2_session_callbacks*
MakeCallbacks()
{
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) {
    throw std::bad_alloc();
  }
  nghttp2_session_callbacks_set_on_header_callback(
    callbacks,
    [](nghttp2_session*,
       const nghttp2_frame* aFrame,
       const std::uint8_t* aName,
       std::size_t aNameSize,
       const std::uint8_t* aValue,
       std::size_t aValueSize,
       std::uint8_t,
       void* aImpl) {
      auto& impl = *static_cast<Impl*>(aImpl);
      return impl.CaptureException([&] {
        impl.OnHeader(
          aFrame->hd.stream_id, ToStringView(aName, aNameSize), ToStringView(aValue, aValueSize));
      });
    });
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
    callbacks,
    [](nghttp2_session*,
       std::uint8_t,
       std::int32_t aStreamId,
       const std::uint8_t* aBytes,
       std::size_t aSize,
       void* aImpl) {
      auto& impl = *static_cast<Impl*>(aImpl);
      return impl.CaptureException([&] { impl.OnData(aStreamId, ToStringView(aBytes, aSize)); });
    });
  nghttp2_session_callbacks_set_on_frame_recv_callback(
    callbacks, [](nghttp2_session*, const nghttp2_frame* aFrame, void* aImpl) {
      auto& impl = *static_cast<Impl*>(aImpl);
      return impl.CaptureException([&] { impl.OnFrame(*aFrame); });
    });
  nghttp2_session_callbacks_set_on_stream_close_callback(
    callbacks, [](nghttp2_session*, std::int32_t aStreamId, std::uint32_t, void* aImpl) {
      auto& impl = *static_cast<Impl*>(aImpl);
      return impl.CaptureException([&] { impl.OnStreamClosed(aStreamId); });
    });
  nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(
    callbacks, [](nghttp2_session*, const nghttp2_frame*, int aError, void* aImpl) {
      return static_cast<Impl*>(aImpl)->CaptureException([&] {
        throw PeerProtocolError(std::string("invalid frame: ") + nghttp2_strerror(aError));
      });
    });
  return callbacks;
}

} // namespace

Http2Session::Impl::Impl(Role aRole, RequestCallback aOnRequest, ResponseCallback aOnResponse)
  : role_(aRole)
  , onRequest_(std::move(aOnRequest))
  , onResponse_(std::move(aOnResponse))
{
  static const nghttp2_session_callbacks* const kCallbacks = MakeCallbacks<Impl>();
  const bool server = aRole == Role::Server;
  const int error = server ? nghttp2_session_server_new(&session_, kCallbacks, this)
                           : nghttp2_session_client_new(&session_, kCallbacks, this);
  if (error != 0) {
    throw std::bad_alloc();
  }
  const std::array<nghttp2_settings_entry, 2> serverSettings = {
    { { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams },
      { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kMaxHeaderBytes } }
  };
  const std::array<nghttp2_settings_entry, 2> clientSettings = {
    { { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
      { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kMaxHeaderBytes } }
  };
  const auto& settings = server ? serverSettings : clientSettings;
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
}

void
Http2Session::Impl::Receive(std::string_view aBytes)
{
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  const ssize_t consumed = nghttp2_session_mem_recv(session_, bytes, aBytes.size());
  if (error_) {
    std::rethrow_exception(std::exchange(error_, nullptr));
  }
  if (consumed < 0) {
    throw PeerProtocolError(std::string("HTTP/2: ") + nghttp2_strerror(static_cast<int>(consumed)));
  }
}

void
Http2Session::Impl::Submit(const PeerEndpoint& aSelf, std::string aBody, unsigned aVersion)
{
  const std::string version = std::to_string(aVersion);
  const std::string port = std::to_string(aSelf.port_);
  const std::array<nghttp2_nv, 8> headers = { MakeHeader(":method", "POST"),
                                              MakeHeader(":scheme", "http"),
                                              MakeHeader(":path", kRequestPath),
                                              MakeHeader(":authority", "peer"),
                                              MakeHeader(kVersionHeader, version),
                                              MakeHeader(kIdHeader, aSelf.id_.View()),
                                              MakeHeader(kAddressHeader, aSelf.address_),
                                              MakeHeader(kPortHeader, port) };
  nghttp2_data_provider provider{};
  provider.read_callback = [](nghttp2_session*,
                              std::int32_t aStreamId,
                              std::uint8_t* aBuffer,
                              std::size_t aSize,
                              std::uint32_t* aFlags,
                              nghttp2_data_source*,
                              void* aImpl) -> ssize_t {
    bool endOfBody = false;
    const std::size_t size =
      static_cast<Impl*>(aImpl)->ReadBody(aStreamId, aBuffer, aSize, endOfBody);
    *aFlags |= endOfBody ? NGHTTP2_DATA_FLAG_EOF : NGHTTP2_DATA_FLAG_NONE;
    return static_cast<ssize_t>(size);
  };
  const std::int32_t streamId =
    nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (streamId < 0) { // all stream identifiers of this connection are used
    onResponse_(aBody.size(), false);
    return;
  }
  streams_[streamId].body_ = std::move(aBody);
}

std::size_t
Http2Session::Impl::ReadBody(std::int32_t aStreamId,
                             std::uint8_t* aBuffer,
                             std::size_t aSize,
                             bool& aEndOfBody)
{
  Stream& stream = streams_[aStreamId];
  const std::size_t size = std::min(aSize, stream.body_.size() - stream.bodyBytesSent_);
  std::copy_n(
    stream.body_.begin() + static_cast<std::ptrdiff_t>(stream.bodyBytesSent_), size, aBuffer);
  stream.bodyBytesSent_ += size;
  aEndOfBody = stream.bodyBytesSent_ == stream.body_.size();
  return size;
}

void
Http2Session::Impl::OnHeader(std::int32_t aStreamId,
                             std::string_view aName,
                             std::string_view aValue)
{
  Stream& stream = streams_[aStreamId];
  stream.headerBytes_ += aName.size() + aValue.size();
  if (stream.headerBytes_ > kMaxHeaderBytes) {
    throw PeerProtocolError("request or response header too large");
  }
  if (role_ == Role::Client) {
    stream.accepted_ = stream.accepted_ || (aName == ":status" && aValue == "204");
  } else if (aName == kVersionHeader) {
    stream.version_ = aValue;
  } else if (aName == kIdHeader) {
    stream.sender_.id_ = InstanceId(std::string(aValue));
  } else if (aName == kAddressHeader) {
    stream.sender_.address_ = aValue;
  } else if (aName == kPortHeader) {
    stream.sender_.port_ = ParsePort(aValue);
  }
}

void
Http2Session::Impl::OnData(std::int32_t aStreamId, std::string_view aBytes)
{
  if (role_ == Role::Client) {
    throw PeerProtocolError("response has a body");
  }
  Stream& stream = streams_[aStreamId];
  if (stream.body_.size() + aBytes.size() > kMaxPeerMessageBytes) {
    throw PeerMessageTooLargeError("message too large");
  }
  stream.body_ += aBytes;
}

void
Http2Session::Impl::OnFrame(const nghttp2_frame& aFrame)
{
  const bool carriesRequest = aFrame.hd.type == NGHTTP2_DATA || aFrame.hd.type == NGHTTP2_HEADERS;
  if (role_ == Role::Client || !carriesRequest) {
    return;
  }
  const auto found = streams_.find(aFrame.hd.stream_id);
  if (found == streams_.end()) {
    return;
  }
  if (aFrame.hd.type == NGHTTP2_HEADERS) {
    CheckRequestHeaders(found->second);
  }
  if ((aFrame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    onRequest_(found->second.sender_, found->second.body_);
    RespondNoContent(aFrame.hd.stream_id);
  }
}

void
Http2Session::Impl::CheckRequestHeaders(const Stream& aStream) const
{
  if (aStream.version_ != std::to_string(kPeerProtocolVersion)) {
    throw PeerVersionError("peer uses protocol version '" + aStream.version_ + "'");
  }
  const PeerEndpoint& sender = aStream.sender_;
  if (sender.id_.Empty() || sender.address_.empty() || sender.port_ == 0) {
    throw PeerProtocolError("request lacks the id, address or port of its sender");
  }
}

void
Http2Session::Impl::RespondNoContent(std::int32_t aStreamId)
{
  const nghttp2_nv status = MakeHeader(":status", "204");
  nghttp2_submit_response(session_, aStreamId, &status, 1, nullptr);
}

void
Http2Session::Impl::OnStreamClosed(std::int32_t aStreamId)
{
  const auto node = streams_.extract(aStreamId);
  if (!node.empty() && role_ == Role::Client) {
    onResponse_(node.mapped().body_.size(), node.mapped().accepted_);
  }
}

Http2Session::Http2Session(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

Http2Session::Http2Session(Http2Session&&) noexcept = default;
Http2Session::~Http2Session() = default;

Http2Session
Http2Session::Client(ResponseCallback aOnResponse)
{
  return Http2Session(std::make_unique<Impl>(Role::Client, nullptr, std::move(aOnResponse)));
}

Http2Session
Http2Session::Server(RequestCallback aOnRequest)
{
  return Http2Session(std::make_unique<Impl>(Role::Server, std::move(aOnRequest), nullptr));
}

void
Http2Session::Receive(std::string_view aBytes)
{
  impl_->Receive(aBytes);
}

std::string
Http2Session::TakeOutput()
{
  std::string output;
  const std::uint8_t* bytes = nullptr;
  for (ssize_t size = 0; (size = nghttp2_session_mem_send(impl_->session_, &bytes)) > 0;) {
    output += ToStringView(bytes, static_cast<std::size_t>(size));
  }
  return output;
}

void
Http2Session::Submit(const PeerEndpoint& aSelf, std::string aBody, unsigned aVersion)
{
  impl_->Submit(aSelf, std::move(aBody), aVersion);
}

std::size_t
Http2Session::OpenStreamCount() const
{
  return impl_->streams_.size();
}

bool
Http2Session::Ended() const
{
  return nghttp2_session_want_read(impl_->session_) == 0 &&
         nghttp2_session_want_write(impl_->session_) == 0;
}

} // namespace boragepier::peer
