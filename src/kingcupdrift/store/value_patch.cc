#include "kingcupdrift/store/value_patch.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace kingcupdrift {
namespace {

constexpr int kLevel = 1;
constexpr int kMinWindowLog = 17;

struct ContextDeleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

bool SetParameter(ZSTD_CCtx& context, ZSTD_cParameter parameter, int value) {
  return ZSTD_isError(ZSTD_CCtx_setParameter(&context, parameter, value)) == 0;
}

}  // namespace

std::optional<std::string> MakeValuePatch(std::string_view base,
                                          std::string_view value) {
  if (base.size() > kMaxPatchedBytes || value.size() > kMaxPatchedBytes) {
    return std::nullopt;
  }
  const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
  // The window reaches back to the beginning of the base.
  const int window_log = std::max<int>(
      kMinWindowLog,
      static_cast<int>(std::bit_width(base.size() + value.size())));
  std::string patch(ZSTD_compressBound(value.size()), '\0');
  if (context == nullptr ||
      !SetParameter(*context, ZSTD_c_compressionLevel, kLevel) ||
      !SetParameter(*context, ZSTD_c_windowLog, window_log) ||
      // Finds what follows an inserted or removed part in the whole base.
      !SetParameter(*context, ZSTD_c_enableLongDistanceMatching, 1) ||
      !SetParameter(*context, ZSTD_c_checksumFlag, 1) ||
      ZSTD_isError(
          ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size())) != 0) {
    return std::nullopt;
  }
  const std::size_t size = ZSTD_compress2(
      context.get(), patch.data(), patch.size(), value.data(), value.size());
  if (ZSTD_isError(size) != 0) {
    return std::nullopt;
  }
  patch.resize(size);
  return patch;
}

std::optional<std::string> ApplyValuePatch(std::string_view base,
                                           std::string_view patch) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(patch.data(), patch.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR ||
      size > kMaxPatchedBytes) {
    return std::nullopt;
  }
  const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
  std::string value(size, '\0');
  if (context == nullptr ||
      ZSTD_isError(
          ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size())) != 0 ||
      ZSTD_decompressDCtx(context.get(), value.data(), value.size(),
                          patch.data(), patch.size()) != value.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace kingcupdrift
