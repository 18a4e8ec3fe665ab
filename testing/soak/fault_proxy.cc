#include "testing/soak/fault_proxy.h"

#include <utility>

namespace boragepier::testing {

// A forwarded TCP connection. Each direction buffers the bytes of its source until the fault allows
// them to be forwarded. Direction 0 is from the caller to the target.
class FaultProxy::ForwardedConnection : public std::enable_shared_from_this<ForwardedConnection>
{
public:
  ForwardedConnection(FaultProxy& aProxy, std::shared_ptr<net::TcpStream> aCaller)
    : proxy_(aProxy)
  {
    directions_[0].source_ = std::move(aCaller);
    directions_[1].source_ =
      net::TcpStream::Connect(aProxy.loop_, "127.0.0.1", aProxy.targetPort_, sideEvents_[1]);
    directions_[0].source_->Start(sideEvents_[0]);
  }

  // Applies the present fault of the proxy.
  void OnFaultChanged()
  {
    silent_ = silent_ || proxy_.fault_ == LinkFault::Silence;
    for (std::size_t side = 0; side < directions_.size(); ++side) {
      Forward(side);
    }
  }

  void Close()
  {
    closed_ = true;
    for (Direction& direction : directions_) {
      direction.source_->Close();
    }
  }

private:
  struct Direction
  {
    std::shared_ptr<net::TcpStream> source_;
    std::string buffered_;
    bool sourceEnded_ = false;
  };

  // Receives the stream events of one side; side 0 is the caller.
  class SideEvents : public net::StreamHandler
  {
  public:
    SideEvents(ForwardedConnection& aConnection, std::size_t aSide)
      : connection_(aConnection)
      , side_(aSide)
    {
    }
    void OnInput(std::string_view aBytes) override
    {
      connection_.directions_[side_].buffered_.append(aBytes);
      connection_.ScheduleForward(side_);
    }
    void OnEnd(net::StreamEnd) override
    {
      connection_.directions_[side_].sourceEnded_ = true;
      connection_.ScheduleForward(side_);
    }

  private:
    ForwardedConnection& connection_;
    const std::size_t side_;
  };

  void ScheduleForward(std::size_t aSide)
  {
    const bool delayed = proxy_.fault_ == LinkFault::Delay;
    proxy_.loop_.After(delayed ? kForwardingDelay : Duration(0),
                       [weak = this->weak_from_this(), aSide] {
                         if (const auto self = weak.lock()) {
                           self->Forward(aSide);
                         }
                       });
  }

  bool IsBlocked(std::size_t aSide) const
  {
    const LinkFault blockingFault = aSide == 0 ? LinkFault::CutForward : LinkFault::CutBackward;
    return silent_ || proxy_.fault_ == blockingFault;
  }

  void Forward(std::size_t aSide)
  {
    if (closed_ || IsBlocked(aSide)) {
      return;
    }
    Direction& direction = directions_[aSide];
    if (!direction.buffered_.empty()) {
      directions_[1 - aSide].source_->Write(std::exchange(direction.buffered_, {}));
    }
    if (direction.sourceEnded_) {
      proxy_.Remove(*this);
    }
  }

  FaultProxy& proxy_;
  std::array<SideEvents, 2> sideEvents_{ SideEvents(*this, 0), SideEvents(*this, 1) };
  std::array<Direction, 2> directions_;
  bool silent_ = false;
  bool closed_ = false;
};

FaultProxy::FaultProxy(net::EventLoop& aLoop, std::uint16_t aTargetPort)
  : loop_(aLoop)
  , targetPort_(aTargetPort)
  , listener_(aLoop, "127.0.0.1", 0, [this](std::shared_ptr<net::TcpStream> aStream) {
    OnAccepted(std::move(aStream));
  })
{
}

FaultProxy::~FaultProxy()
{
  CloseAll();
}

void
FaultProxy::SetFault(LinkFault aFault)
{
  fault_ = aFault;
  if (aFault == LinkFault::Reset) {
    CloseAll();
    return;
  }
  // Iterates over a copy, as forwarding buffered bytes can remove a connection.
  const auto connections = connections_;
  for (const auto& [key, connection] : connections) {
    connection->OnFaultChanged();
  }
}

void
FaultProxy::OnAccepted(std::shared_ptr<net::TcpStream> aStream)
{
  if (fault_ == LinkFault::Reset) {
    aStream->Close();
    return;
  }
  const auto connection = std::make_shared<ForwardedConnection>(*this, std::move(aStream));
  connections_.emplace(connection.get(), connection);
  connection->OnFaultChanged();
}

void
FaultProxy::Remove(ForwardedConnection& aConnection)
{
  if (const auto node = connections_.extract(&aConnection); !node.empty()) {
    aConnection.Close();
    loop_.DeferDestruction(node.mapped());
  }
}

void
FaultProxy::CloseAll()
{
  for (const auto& [key, connection] : std::exchange(connections_, {})) {
    connection->Close();
    loop_.DeferDestruction(connection);
  }
}

} // namespace boragepier::testing
