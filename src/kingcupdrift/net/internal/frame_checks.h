#ifndef KINGCUPDRIFT_NET_INTERNAL_FRAME_CHECKS_H_
#define KINGCUPDRIFT_NET_INTERNAL_FRAME_CHECKS_H_

#include <flatbuffers/flatbuffers.h>

#include <cstddef>
#include <string>
#include <utility>

#include "kingcupdrift/base/base.h"

namespace kingcupdrift {

/// Makes a kProtocol error for a frame that violates the protocol.
inline tl::unexpected<Error> MakeFrameError(std::string detail) {
  return MakeError(ErrorCode::kProtocol, std::move(detail));
}

/// Copies an optional string; empty if it is absent.
inline std::string ToStringOrEmpty(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

/// True if an optional list is absent or has at most `limit` elements.
template <typename Vector>
bool IsWithin(const Vector* vector, std::size_t limit) {
  return vector == nullptr || vector->size() <= limit;
}

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_NET_INTERNAL_FRAME_CHECKS_H_
