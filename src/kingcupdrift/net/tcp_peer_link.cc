#include "kingcupdrift/net/tcp_peer_link.h"

#include <map>
#include <utility>

#include "kingcupdrift/net/internal/libevent_handles.h"
#include "kingcupdrift/net/internal/outgoing_peer.h"
#include "kingcupdrift/net/internal/peer_codec.h"
#include "kingcupdrift/net/internal/socket_address.h"
#include "kingcupdrift/net/internal/tcp_listener.h"

namespace kingcupdrift {
namespace {

const Logger kLog("peer");

class TcpPeerLinkImpl : public TcpPeerLink {
 public:
  TcpPeerLinkImpl(EventLoop& loop,
                  Clock& clock,
                  Random& random,
                  const PeerLinkSettings& settings)
      : context_{loop, clock, random, settings, {}},
        listener_(clock, "peer", {[this](int fd) { Accept(fd); }, nullptr}) {}

  Result<void> Bind() {
    return listener_.Bind(context_.loop.base(), context_.settings.endpoint);
  }

  void Send(const Endpoint& peer, const PeerMessage& message) override {
    std::unique_ptr<OutgoingPeer>& link = outgoing_[peer];
    if (!link) {
      link = std::make_unique<OutgoingPeer>(context_, peer);
    }
    link->Send(EncodePeerMessage(message));
    if (!expiry_timer_) {
      ScheduleExpiry();
    }
  }

  void SetReceiver(Receiver receiver) override {
    receiver_ = std::move(receiver);
  }

  Endpoint endpoint() const override { return listener_.endpoint(); }
  const PeerLinkCounters& counters() const override {
    return context_.counters;
  }

 private:
  /// A connection that a peer opened.
  struct Incoming {
    Incoming(TcpPeerLinkImpl& link, BuffereventHandle stream)
        : owner(link),
          channel(std::move(stream),
                  ChannelSide::kAccepting,
                  link.context_.settings,
                  link.context_.counters) {}

    TcpPeerLinkImpl& owner;
    PeerChannel channel;
  };

  void Accept(evutil_socket_t fd) {
    if (incoming_.size() >= context_.settings.max_incoming) {
      evutil_closesocket(fd);
      return;
    }
    BuffereventHandle stream(bufferevent_socket_new(
        context_.loop.base(), fd,
        BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    const timeval limit = ToTimeval(context_.settings.inactivity_timeout);
    bufferevent_set_timeouts(stream.get(), &limit, &limit);
    auto incoming = std::make_unique<Incoming>(*this, std::move(stream));
    bufferevent* const raw = incoming->channel.stream();
    bufferevent_setcb(raw, &HandleRead, nullptr, &HandleEvent, incoming.get());
    bufferevent_enable(raw, EV_READ | EV_WRITE);
    incoming->channel.SendNonce(context_.random.GenerateToken());
    Incoming* const key = incoming.get();
    incoming_.emplace(key, std::move(incoming));
  }

  static void HandleRead(bufferevent*, void* arg) {
    auto& incoming = *static_cast<Incoming*>(arg);
    incoming.owner.TakeFrames(incoming);
  }

  static void HandleEvent(bufferevent* stream, short events, void* arg) {
    auto& incoming = *static_cast<Incoming*>(arg);
    if (const short direction =
            FindReadyDirection(bufferevent_getfd(stream), events)) {
      bufferevent_enable(stream, direction);
      return;
    }
    incoming.owner.incoming_.erase(&incoming);
  }

  void TakeFrames(Incoming& incoming) {
    while (true) {
      const auto frame = incoming.channel.TakeFrame();
      if (!frame) {
        CloseIncoming(incoming, frame.error());
        return;
      }
      if (!frame->has_value()) {
        return;
      }
      const auto message = DecodePeerFrame(**frame);
      if (!message) {
        ++context_.counters.frames_refused;
        CloseIncoming(incoming, message.error());
        return;
      }
      if (message->has_value()) {
        if (receiver_) {
          receiver_(**message);
        }
      } else {
        incoming.channel.SendFrame(EncodeHeartbeat());
      }
    }
  }

  void CloseIncoming(Incoming& incoming, const Error& error) {
    kLog.Warning("Closed a connection from a peer: {}.", error.detail);
    incoming_.erase(&incoming);
  }

  void ScheduleExpiry() {
    expiry_timer_ = context_.clock.RunAfter(context_.settings.max_idle_time,
                                            [this] { DropExpired(); });
  }

  void DropExpired() {
    expiry_timer_.reset();
    std::erase_if(outgoing_,
                  [](const auto& it) { return it.second->IsExpired(); });
    if (!outgoing_.empty()) {
      ScheduleExpiry();
    }
  }

  PeerContext context_;
  Receiver receiver_;
  std::map<Endpoint, std::unique_ptr<OutgoingPeer>> outgoing_;
  std::map<Incoming*, std::unique_ptr<Incoming>> incoming_;
  std::unique_ptr<Timer> expiry_timer_;
  TcpListener listener_;
};

}  // namespace

Result<std::unique_ptr<TcpPeerLink>> TcpPeerLink::Listen(
    EventLoop& loop,
    Clock& clock,
    Random& random,
    const PeerLinkSettings& settings) {
  auto link = std::make_unique<TcpPeerLinkImpl>(loop, clock, random, settings);
  const Result<void> bound = link->Bind();
  if (!bound) {
    return tl::unexpected(bound.error());
  }
  return link;
}

}  // namespace kingcupdrift
