#include "testing/soak/fault_proxy.h"

#include <utility>

namespace boragepier::testing {

// One forwarded connection. Bytes of a side wait in its lane until they may be passed on.
class FaultProxy::Link : public std::enable_shared_from_this<Link>
{
public:
  Link(FaultProxy& aProxy, std::shared_ptr<net::TcpStream> aCaller)
    : proxy_(aProxy)
  {
    lanes_[0].from_ = std::move(aCaller);
    lanes_[1].from_ = net::TcpStream::Connect(aProxy.loop_, "127.0.0.1", aProxy.target_, ends_[1]);
    lanes_[0].from_->Start(ends_[0]);
  }

  // The fault of the proxy has changed.
  void OnFault()
  {
    silent_ = silent_ || proxy_.fault_ == LinkFault::Silence;
    for (std::size_t side = 0; side < lanes_.size(); ++side) {
      Pass(side);
    }
  }

  void Close()
  {
    closed_ = true;
    for (Lane& lane : lanes_) {
      lane.from_->Close();
    }
  }

private:
  struct Lane
  {
    std::shared_ptr<net::TcpStream> from_;
    std::string held_;
    bool ended_ = false;
  };

  // Receives what happens at one side; 0 is the caller.
  class End : public net::StreamHandler
  {
  public:
    End(Link& aLink, std::size_t aSide)
      : link_(aLink)
      , side_(aSide)
    {
    }
    void OnInput(std::string_view aBytes) override
    {
      link_.lanes_[side_].held_.append(aBytes);
      link_.Schedule(side_);
    }
    void OnEnd(net::StreamEnd) override
    {
      link_.lanes_[side_].ended_ = true;
      link_.Schedule(side_);
    }

  private:
    Link& link_;
    const std::size_t side_;
  };

  void Schedule(std::size_t aSide)
  {
    const bool late = proxy_.fault_ == LinkFault::Delay;
    proxy_.loop_.After(late ? kDelay : Duration(0), [weak = this->weak_from_this(), aSide] {
      if (const auto self = weak.lock()) {
        self->Pass(aSide);
      }
    });
  }

  bool Holds(std::size_t aSide) const
  {
    const LinkFault cut = aSide == 0 ? LinkFault::CutForward : LinkFault::CutBackward;
    return silent_ || proxy_.fault_ == cut;
  }

  void Pass(std::size_t aSide)
  {
    if (closed_ || Holds(aSide)) {
      return;
    }
    Lane& lane = lanes_[aSide];
    if (!lane.held_.empty()) {
      lanes_[1 - aSide].from_->Write(std::exchange(lane.held_, {}));
    }
    if (lane.ended_) {
      proxy_.Remove(*this);
    }
  }

  FaultProxy& proxy_;
  std::array<End, 2> ends_{ End(*this, 0), End(*this, 1) };
  std::array<Lane, 2> lanes_;
  bool silent_ = false;
  bool closed_ = false;
};

FaultProxy::FaultProxy(net::EventLoop& aLoop, std::uint16_t aTarget)
  : loop_(aLoop)
  , target_(aTarget)
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
  const auto links = links_; // a link may end while it passes on what it held
  for (const auto& [key, link] : links) {
    link->OnFault();
  }
}

void
FaultProxy::OnAccepted(std::shared_ptr<net::TcpStream> aStream)
{
  if (fault_ == LinkFault::Reset) {
    aStream->Close();
    return;
  }
  const auto link = std::make_shared<Link>(*this, std::move(aStream));
  links_.emplace(link.get(), link);
  link->OnFault();
}

void
FaultProxy::Remove(Link& aLink)
{
  if (const auto node = links_.extract(&aLink); !node.empty()) {
    aLink.Close();
    loop_.DeferDestruction(node.mapped());
  }
}

void
FaultProxy::CloseAll()
{
  for (const auto& [key, link] : std::exchange(links_, {})) {
    link->Close();
    loop_.DeferDestruction(link);
  }
}

} // namespace boragepier::testing
