#include "kingcupdrift/api/base64.h"

#include <sodium.h>

namespace kingcupdrift {
namespace {

int ToSodium(Base64Variant variant) {
  return variant == Base64Variant::kStandard
             ? sodium_base64_VARIANT_ORIGINAL
             : sodium_base64_VARIANT_URLSAFE_NO_PADDING;
}

}  // namespace

std::string EncodeBase64(std::string_view bytes, Base64Variant variant) {
  // The length includes a terminating zero.
  std::string out(sodium_base64_encoded_len(bytes.size(), ToSodium(variant)),
                  '\0');
  sodium_bin2base64(out.data(), out.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), ToSodium(variant));
  out.pop_back();
  return out;
}

std::optional<std::string> DecodeBase64(std::string_view text,
                                        Base64Variant variant) {
  std::string out(text.size(), '\0');
  std::size_t size = 0;
  const char* end = nullptr;
  const int ec = sodium_base642bin(reinterpret_cast<unsigned char*>(out.data()),
                                   out.size(), text.data(), text.size(),
                                   nullptr, &size, &end, ToSodium(variant));
  if (ec != 0 || end != text.data() + text.size()) {
    return std::nullopt;
  }
  out.resize(size);
  return out;
}

}  // namespace kingcupdrift
