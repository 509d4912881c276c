#include "kingcupdrift/net/internal/peer_channel.h"

#include <sodium.h>

#include <array>
#include <utility>

#include "kingcupdrift/net/internal/socket_address.h"

namespace kingcupdrift {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMacBytes = 32;
constexpr std::size_t kHeaderBytes = kLengthBytes + kMacBytes;
// Limits the memory that a connection can use before its first frame proves
// that it has the shared secret.
constexpr std::size_t kMaxFirstFrameBytes = 1024;

std::string EncodeNumber(std::uint64_t number, std::size_t size) {
  std::string out;
  for (std::size_t i = 0; i < size; ++i) {
    out.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
  }
  return out;
}

std::size_t DecodeLength(const std::array<char, kHeaderBytes>& header) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    const auto byte = static_cast<unsigned char>(header[i]);
    length |= static_cast<std::size_t>(byte) << (8 * i);
  }
  return length;
}

std::string FromHex(const std::string& hex) {
  std::string out(hex.size() / 2, '\0');
  sodium_hex2bin(reinterpret_cast<unsigned char*>(out.data()), out.size(),
                 hex.data(), hex.size(), nullptr, nullptr, nullptr);
  return out;
}

std::string ReadBytes(evbuffer* input, std::size_t size) {
  std::string out(size, '\0');
  evbuffer_remove(input, out.data(), size);
  return out;
}

ChannelSide OtherSide(ChannelSide side) {
  return side == ChannelSide::kConnecting ? ChannelSide::kAccepting
                                          : ChannelSide::kConnecting;
}

}  // namespace

PeerChannel::PeerChannel(BuffereventHandle stream,
                         ChannelSide side,
                         const PeerLinkSettings& settings,
                         PeerLinkCounters& counters)
    : stream_(std::move(stream)),
      side_(side),
      settings_(settings),
      counters_(counters) {}

void PeerChannel::SendNonce(const std::string& nonce) {
  nonce_ = nonce;
  bufferevent_write(stream(), nonce.data(), nonce.size());
  counters_.bytes_sent += nonce.size();
}

void PeerChannel::TakeNonce() {
  evbuffer* const input = bufferevent_get_input(stream());
  if (IsReady() || evbuffer_get_length(input) < kNonceBytes) {
    return;
  }
  nonce_ = ReadBytes(input, kNonceBytes);
  counters_.bytes_received += kNonceBytes;
  DisableSendDelay(bufferevent_getfd(stream()));
}

bool PeerChannel::SendFrame(std::string_view frame) {
  evbuffer* const output = bufferevent_get_output(stream());
  const std::size_t queued = evbuffer_get_length(output) + frame.size();
  if (queued > static_cast<std::size_t>(settings_.max_queued_bytes.value())) {
    ++counters_.frames_dropped;
    return false;
  }
  const std::string header = EncodeNumber(frame.size(), kLengthBytes) +
                             ComputeMac(side_, sent_frames_++, frame);
  evbuffer_add(output, header.data(), header.size());
  evbuffer_add(output, frame.data(), frame.size());
  counters_.bytes_sent += header.size() + frame.size();
  ++counters_.frames_sent;
  return true;
}

Result<std::optional<std::string>> PeerChannel::TakeFrame() {
  evbuffer* const input = bufferevent_get_input(stream());
  if (evbuffer_get_length(input) < kHeaderBytes) {
    return std::nullopt;
  }
  std::array<char, kHeaderBytes> header{};
  evbuffer_copyout(input, header.data(), header.size());
  const std::size_t length = DecodeLength(header);
  const auto limit =
      received_frames_ == 0
          ? kMaxFirstFrameBytes
          : static_cast<std::size_t>(settings_.max_frame_bytes.value());
  if (length > limit) {
    ++counters_.frames_refused;
    return MakeError(ErrorCode::kProtocol, "a frame is too large");
  }
  if (evbuffer_get_length(input) < kHeaderBytes + length) {
    return std::nullopt;
  }
  evbuffer_drain(input, kHeaderBytes);
  std::string frame = ReadBytes(input, length);
  counters_.bytes_received += kHeaderBytes + length;
  const std::string_view code(header.data() + kLengthBytes, kMacBytes);
  if (!ConstantTimeEquals(ComputeMac(OtherSide(side_), received_frames_, frame),
                          code)) {
    ++counters_.frames_refused;
    return MakeError(
        ErrorCode::kUnauthorized,
        "frame authentication failed: the peer has a different shared secret, "
        "or the frame was altered");
  }
  ++received_frames_;
  ++counters_.frames_received;
  return frame;
}

std::string PeerChannel::ComputeMac(ChannelSide sender,
                                    std::uint64_t number,
                                    std::string_view frame) const {
  std::string covered = "peer-frame:" + nonce_;
  covered.push_back(sender == ChannelSide::kConnecting ? 'c' : 'a');
  covered += EncodeNumber(number, sizeof(number));
  covered += frame;
  return FromHex(ComputeHmacSha256Hex(settings_.shared_secret, covered));
}

}  // namespace kingcupdrift
