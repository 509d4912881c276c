#include "kingcupdrift/config/internal/value_reader.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "kingcupdrift/config/duration_text.h"

namespace kingcupdrift::internal {
namespace {

constexpr std::size_t kMaxShownText = 200;

CheckedValue RejectValue(ConfigErrorKind error_kind) {
  return {{}, error_kind};
}

bool IsInRange(const OptionSpec& spec, double value) {
  return value >= spec.min && value <= spec.max;
}

bool IsTextValid(const OptionSpec& spec, std::string_view text) {
  return spec.is_valid == nullptr || spec.is_valid(text);
}

CheckedValue ReadBool(const toml::node& node) {
  const auto* value = node.as_boolean();
  if (value == nullptr) {
    return RejectValue(ConfigErrorKind::kWrongType);
  }
  return {value->get(), std::nullopt};
}

CheckedValue ReadInteger(const OptionSpec& spec, const toml::node& node) {
  const auto* value = node.as_integer();
  if (value == nullptr) {
    return RejectValue(ConfigErrorKind::kWrongType);
  }
  if (!IsInRange(spec, static_cast<double>(value->get()))) {
    return RejectValue(ConfigErrorKind::kOutOfRange);
  }
  return {value->get(), std::nullopt};
}

CheckedValue ReadNumber(const OptionSpec& spec, const toml::node& node) {
  double number = 0;
  if (const auto* real = node.as_floating_point()) {
    number = real->get();
  } else if (const auto* integer = node.as_integer()) {
    number = static_cast<double>(integer->get());
  } else {
    return RejectValue(ConfigErrorKind::kWrongType);
  }
  if (!IsInRange(spec, number)) {
    return RejectValue(ConfigErrorKind::kOutOfRange);
  }
  return {number, std::nullopt};
}

CheckedValue ReadText(const OptionSpec& spec, const toml::node& node) {
  const auto* value = node.as_string();
  if (value == nullptr) {
    return RejectValue(ConfigErrorKind::kWrongType);
  }
  const std::string& text = value->get();
  if (!IsInRange(spec, static_cast<double>(text.size())) ||
      !IsTextValid(spec, text)) {
    return RejectValue(ConfigErrorKind::kOutOfRange);
  }
  return {text, std::nullopt};
}

CheckedValue ReadDuration(const OptionSpec& spec, const toml::node& node) {
  const auto* value = node.as_string();
  if (value == nullptr) {
    return RejectValue(ConfigErrorKind::kWrongType);
  }
  const Result<Duration> duration = ParseDuration(value->get());
  if (!duration ||
      !IsInRange(spec, std::chrono::duration<double>(*duration).count())) {
    return RejectValue(ConfigErrorKind::kOutOfRange);
  }
  return {*duration, std::nullopt};
}

CheckedValue ReadTextList(const OptionSpec& spec, const toml::node& node) {
  const toml::array* array = node.as_array();
  if (array == nullptr) {
    return RejectValue(ConfigErrorKind::kWrongType);
  }
  if (!IsInRange(spec, static_cast<double>(array->size()))) {
    return RejectValue(ConfigErrorKind::kOutOfRange);
  }
  std::vector<std::string> texts;
  for (const toml::node& it : *array) {
    const auto* value = it.as_string();
    if (value == nullptr) {
      return RejectValue(ConfigErrorKind::kWrongType);
    }
    const bool is_repeated =
        std::find(texts.begin(), texts.end(), value->get()) != texts.end();
    if (is_repeated || !IsTextValid(spec, value->get())) {
      return RejectValue(ConfigErrorKind::kOutOfRange);
    }
    texts.push_back(value->get());
  }
  return {std::move(texts), std::nullopt};
}

}  // namespace

CheckedValue CheckValue(const OptionSpec& spec, const toml::node& node) {
  switch (spec.type) {
    case OptionType::kBool:
      return ReadBool(node);
    case OptionType::kInteger:
      return ReadInteger(spec, node);
    case OptionType::kNumber:
      return ReadNumber(spec, node);
    case OptionType::kText:
      return ReadText(spec, node);
    case OptionType::kDuration:
      return ReadDuration(spec, node);
    case OptionType::kTextList:
      return ReadTextList(spec, node);
  }
  return RejectValue(ConfigErrorKind::kWrongType);
}

int LineOf(const toml::node& node) {
  return static_cast<int>(node.source().begin.line);
}

int LineOf(const toml::key& key) {
  return static_cast<int>(key.source().begin.line);
}

std::string FormatToml(const toml::node& node) {
  std::ostringstream out;
  node.visit([&out](const auto& value) {
    using Value = std::remove_cvref_t<decltype(value)>;
    if constexpr (std::is_same_v<Value, toml::table>) {
      out << "a table";
    } else {
      out << toml::toml_formatter(value, toml::format_flags::none);
    }
  });
  std::string text = out.str();
  std::replace(text.begin(), text.end(), '\n', ' ');
  if (text.size() > kMaxShownText) {
    text.resize(kMaxShownText);
    text += "...";
  }
  return text;
}

}  // namespace kingcupdrift::internal
