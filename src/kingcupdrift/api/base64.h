#ifndef KINGCUPDRIFT_API_BASE64_H_
#define KINGCUPDRIFT_API_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace kingcupdrift {

enum class Base64Variant { kStandard, kUrlWithoutPadding };

std::string EncodeBase64(std::string_view bytes, Base64Variant variant);
/// Absent if `text` is not wholly in the variant's alphabet.
std::optional<std::string> DecodeBase64(std::string_view text,
                                        Base64Variant variant);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_BASE64_H_
