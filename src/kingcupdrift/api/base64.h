#ifndef KINGCUPDRIFT_API_BASE64_H_
#define KINGCUPDRIFT_API_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace kingcupdrift {

enum class Base64Variant { kStandard, kUrlWithoutPadding };

std::string EncodeBase64(std::string_view bytes, Base64Variant variant);
/// Absent if `text` is not valid in this variant: a character outside its
/// alphabet, wrong padding or a wrong length.
std::optional<std::string> DecodeBase64(std::string_view text,
                                        Base64Variant variant);

}  // namespace kingcupdrift

#endif  // KINGCUPDRIFT_API_BASE64_H_
