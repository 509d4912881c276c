#include "kingcupdrift/net/internal/outgoing_peer.h"

#include <algorithm>
#include <utility>

#include "kingcupdrift/net/internal/peer_codec.h"
#include "kingcupdrift/net/internal/socket_address.h"

namespace kingcupdrift {
namespace {

const Logger kLog("peer");

}  // namespace

OutgoingPeer::OutgoingPeer(PeerContext& context, const Endpoint& peer)
    : context_(context), peer_(peer) {}

void OutgoingPeer::Send(std::string frame) {
  const MonotonicTime now = context_.clock.Now();
  last_send_time_ = now;
  if (!channel_ && now >= next_connect_) {
    Connect();
  }
  if (!channel_) {
    ++context_.counters.frames_dropped;
    return;
  }
  if (is_open_) {
    channel_->SendFrame(frame);
    return;
  }
  const auto limit =
      static_cast<std::size_t>(context_.settings.max_queued_bytes.value());
  if (queued_bytes_ + frame.size() > limit) {
    ++context_.counters.frames_dropped;
    return;
  }
  queued_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
}

bool OutgoingPeer::IsExpired() const {
  const MonotonicTime now = context_.clock.Now();
  return now >= last_send_time_ + context_.settings.max_idle_time &&
         now >= next_connect_;
}

void OutgoingPeer::Connect() {
  std::optional<SocketAddress> address = ToSocketAddress(peer_);
  if (!address) {
    Fail();
    return;
  }
  BuffereventHandle stream(
      bufferevent_socket_new(context_.loop.base(), -1,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  bufferevent_setcb(stream.get(), &HandleRead, nullptr, &HandleEvent, this);
  bufferevent_enable(stream.get(), EV_READ | EV_WRITE);
  bufferevent* const raw = stream.get();
  channel_.emplace(std::move(stream), ChannelSide::kConnecting,
                   context_.settings, context_.counters);
  last_receive_time_ = context_.clock.Now();
  ScheduleHeartbeat();
  if (bufferevent_socket_connect(raw, address->get(), address->size) != 0) {
    Fail();
  }
}

void OutgoingPeer::HandleRead(bufferevent*, void* arg) {
  auto& self = *static_cast<OutgoingPeer*>(arg);
  if (!self.channel_) {
    return;
  }
  if (!self.is_open_) {
    self.channel_->TakeNonce();
    if (!self.channel_->IsReady()) {
      return;
    }
    self.Open();
  }
  self.TakeFrames();
}

void OutgoingPeer::HandleEvent(bufferevent*, short what, void* arg) {
  if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF)) != 0) {
    static_cast<OutgoingPeer*>(arg)->Fail();
  }
}

void OutgoingPeer::Open() {
  is_open_ = true;
  last_receive_time_ = context_.clock.Now();
  // The first frame must be small; it proves the shared secret to the peer.
  channel_->SendFrame(EncodeHeartbeat());
  for (const std::string& it : queue_) {
    channel_->SendFrame(it);
  }
  queue_.clear();
  queued_bytes_ = 0;
}

void OutgoingPeer::TakeFrames() {
  while (channel_) {
    const auto frame = channel_->TakeFrame();
    if (!frame) {
      kLog.Warning("Closed the connection to {}: {}.", ToString(peer_),
                   frame.error().detail);
      Fail();
      return;
    }
    if (!frame->has_value()) {
      return;
    }
    // Only an authenticated frame shows that the peer is reachable and ends the
    // backoff.
    last_receive_time_ = context_.clock.Now();
    backoff_ = Duration::zero();
  }
}

void OutgoingPeer::ScheduleHeartbeat() {
  heartbeat_due_ = context_.clock.Now() + context_.settings.heartbeat_interval;
  heartbeat_timer_ = context_.clock.RunAfter(
      context_.settings.heartbeat_interval, [this] { HandleHeartbeatTimer(); });
}

void OutgoingPeer::HandleHeartbeatTimer() {
  const MonotonicTime now = context_.clock.Now();
  // The peer only answers heartbeats, and none was sent while this timer was
  // late.
  last_receive_time_ =
      std::min(now, last_receive_time_ + (now - heartbeat_due_));
  if (now >= last_receive_time_ + context_.settings.inactivity_timeout) {
    kLog.Warning("Closed the connection to {}: inactivity timeout.",
                 ToString(peer_));
    Fail();
    return;
  }
  if (now >= last_send_time_ + context_.settings.max_idle_time) {
    Close();
    return;
  }
  if (is_open_) {
    channel_->SendFrame(EncodeHeartbeat());
  }
  ScheduleHeartbeat();
}

void OutgoingPeer::Fail() {
  Close();
  ++context_.counters.failed_connections;
  backoff_ = std::clamp(2 * backoff_, context_.settings.min_backoff,
                        context_.settings.max_backoff);
  const double jitter = 0.5 + context_.random.NextDouble() / 2;
  const auto delay = std::chrono::duration_cast<Duration>(backoff_ * jitter);
  next_connect_ = context_.clock.Now() + delay;
}

void OutgoingPeer::Close() {
  context_.counters.frames_dropped += queue_.size();
  queue_.clear();
  queued_bytes_ = 0;
  is_open_ = false;
  channel_.reset();
  heartbeat_timer_.reset();
}

}  // namespace kingcupdrift
