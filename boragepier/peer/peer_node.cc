#include "boragepier/peer/peer_node.h"

#include "boragepier/peer/peer_codec.h"

namespace boragepier::peer {

static_assert(PeerTransport<PeerNode>);

namespace {

// Takes a link out of its map and destroys it after the callbacks of this round.
void
GiveUp(net::EventLoop& aLoop, auto& aLinks, const auto& aKey)
{
  if (auto node = aLinks.extract(aKey); !node.empty()) {
    aLoop.DeferDestruction(std::move(node.mapped()));
  }
}

} // namespace

PeerNode::PeerNode(net::EventLoop& aLoop, PeerLimits aLimits)
  : loop_(aLoop)
  , limits_(aLimits)
{
}

PeerNode::~PeerNode() = default;

std::uint16_t
PeerNode::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  listener_ = std::make_unique<net::TcpListener>(
    loop_, aAddress, aPort, [this](std::shared_ptr<net::TcpStream> aStream) {
      Accept(std::move(aStream));
    });
  return listener_->Port();
}

void
PeerNode::Start(const PeerEndpoint& aSelf,
                PeerMessageCallback aOnMessage,
                PeerUnreachableCallback aOnUnreachable)
{
  self_ = aSelf;
  onMessage_ = std::move(aOnMessage);
  onUnreachable_ = std::move(aOnUnreachable);
}

void
PeerNode::Accept(std::shared_ptr<net::TcpStream> aStream)
{
  const std::uint64_t key = ++lastIncoming_;
  const bool refuse = !onMessage_ || incoming_.size() >= limits_.incomingConnections_;
  const auto link = std::make_shared<IncomingLink>(
    loop_, std::move(aStream), limits_, counters_, IncomingLink::Events{ onMessage_, [this, key] {
                                                                          GiveUp(
                                                                            loop_, incoming_, key);
                                                                        } });
  incoming_.emplace(key, link);
  if (refuse) {
    GiveUp(loop_, incoming_, key);
  }
}

OutgoingLink*
PeerNode::LinkTo(const PeerEndpoint& aPeer)
{
  const Address address{ aPeer.address_, aPeer.port_ };
  if (const auto found = outgoing_.find(address); found != outgoing_.end()) {
    found->second->SetPeerId(aPeer.id_);
    return found->second.get();
  }
  if (outgoing_.size() >= limits_.outgoingConnections_) {
    return nullptr;
  }
  OutgoingLink::Events events{ [this, address] {
                                const InstanceId peer = outgoing_.at(address)->Peer().id_;
                                onUnreachable_(peer);
                              },
                               [this, address] { GiveUp(loop_, outgoing_, address); } };
  const auto link =
    std::make_shared<OutgoingLink>(loop_, aPeer, limits_, counters_, std::move(events));
  return outgoing_.emplace(address, link).first->second.get();
}

std::size_t
PeerNode::Send(const PeerEndpoint& aPeer, const PeerMessage& aMessage)
{
  OutgoingLink* const link = LinkTo(aPeer);
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
