#include "boragepier/peer/http2_transport.h"

#include "boragepier/peer/peer_codec.h"

namespace boragepier::peer {

static_assert(PeerTransport<Http2Transport>);

namespace {

// Removes a link from its map. It is destroyed later, because one of its functions may be running.
void
RetireLink(net::EventLoop& aLoop, auto& aLinks, const auto& aKey)
{
  if (auto node = aLinks.extract(aKey); !node.empty()) {
    aLoop.DeferDestruction(std::move(node.mapped()));
  }
}

} // namespace

Http2Transport::Http2Transport(net::EventLoop& aLoop, PeerLimits aLimits)
  : loop_(aLoop)
  , limits_(aLimits)
{
}

Http2Transport::~Http2Transport() = default;

std::uint16_t
Http2Transport::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  listener_ = std::make_unique<net::TcpListener>(
    loop_, aAddress, aPort, [this](std::shared_ptr<net::TcpStream> aStream) {
      Accept(std::move(aStream));
    });
  return listener_->Port();
}

void
Http2Transport::Start(const PeerEndpoint& aSelf,
                      PeerMessageCallback aOnMessage,
                      PeerUnreachableCallback aOnUnreachable)
{
  self_ = aSelf;
  onMessage_ = std::move(aOnMessage);
  onUnreachable_ = std::move(aOnUnreachable);
}

void
Http2Transport::Accept(std::shared_ptr<net::TcpStream> aStream)
{
  const std::uint64_t key = ++lastIncomingKey_;
  const bool refuse = !onMessage_ || incomingLinks_.size() >= limits_.maxIncomingConnections_;
  const auto link = std::make_shared<IncomingLink>(
    loop_,
    std::move(aStream),
    limits_,
    counters_,
    IncomingLink::Callbacks{ onMessage_, [this, key] { RetireLink(loop_, incomingLinks_, key); } });
  incomingLinks_.emplace(key, link);
  if (refuse) {
    RetireLink(loop_, incomingLinks_, key);
  }
}

OutgoingLink*
Http2Transport::FindOrCreateLink(const PeerEndpoint& aPeer)
{
  const SocketAddress address{ aPeer.address_, aPeer.port_ };
  if (const auto found = outgoingLinks_.find(address); found != outgoingLinks_.end()) {
    found->second->SetPeerId(aPeer.id_);
    return found->second.get();
  }
  if (outgoingLinks_.size() >= limits_.maxOutgoingConnections_) {
    return nullptr;
  }
  OutgoingLink::Callbacks callbacks{ [this, address] {
                                      const InstanceId peer =
                                        outgoingLinks_.at(address)->Peer().id_;
                                      onUnreachable_(peer);
                                    },
                                     [this, address] {
                                       RetireLink(loop_, outgoingLinks_, address);
                                     } };
  const auto link =
    std::make_shared<OutgoingLink>(loop_, aPeer, limits_, counters_, std::move(callbacks));
  return outgoingLinks_.emplace(address, link).first->second.get();
}

std::size_t
Http2Transport::Send(const PeerEndpoint& aPeer, const PeerMessage& aMessage)
{
  OutgoingLink* const link = FindOrCreateLink(aPeer);
  if (link == nullptr) {
    ++counters_.dropped_;
    return 0;
  }
  std::string body;
  try {
    body = EncodePeerMessage(aMessage);
  } catch (const PeerMessageError&) {
    ++counters_.dropped_;
    return 0;
  }
  const std::size_t size = body.size();
  if (!link->Send(self_, std::move(body))) {
    ++counters_.dropped_;
    return 0;
  }
  ++counters_.messagesSent_;
  return size;
}

} // namespace boragepier::peer
