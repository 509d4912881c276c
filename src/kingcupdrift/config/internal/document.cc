#include "kingcupdrift/config/internal/document.h"

#include "kingcupdrift/config/config_documents.h"
#include "kingcupdrift/config/internal/toml.h"
#include "kingcupdrift/config/internal/value_reader.h"

namespace kingcupdrift::internal {
namespace {

constexpr std::int64_t kFormat = 1;

/// Collects the values and faults of one parsed document.
class DocumentReader {
 public:
  DocumentReader(const std::string& name, ConfigErrors& errors)
      : name_(name), errors_(errors) {}

  Document Read(const toml::table& root) {
    for (const auto& [key, node] : root) {
      ReadTopLevel(key, node);
    }
    return std::move(document_);
  }

 private:
  void ReadTopLevel(const toml::key& key, const toml::node& node) {
    if (key.str() == "format") {
      ReadFormat(node);
      return;
    }
    for (const Section section : kSections) {
      if (SectionName(section) == key.str()) {
        ReadSection(section, key, node);
        return;
      }
    }
    AddError(ConfigErrorKind::kUnknownKey, LineOf(key), std::string(key.str()),
             "an unknown key",
             "format, sites, services, engines and workspaces");
  }

  void ReadFormat(const toml::node& node) {
    const auto* value = node.as_integer();
    if (value == nullptr || value->get() != kFormat) {
      AddError(ConfigErrorKind::kOutOfRange, LineOf(node), "format",
               FormatToml(node), fmt::format("{}", kFormat));
    }
  }

  void ReadSection(Section section,
                   const toml::key& key,
                   const toml::node& node) {
    const toml::table* table = node.as_table();
    if (table == nullptr) {
      AddError(ConfigErrorKind::kWrongType, LineOf(node),
               std::string(key.str()), FormatToml(node),
               "tables of the form [SECTION.NAME]");
      return;
    }
    if (table->size() > kMaxItems) {
      AddError(ConfigErrorKind::kTooLarge, LineOf(node), std::string(key.str()),
               fmt::format("{} tables", table->size()),
               fmt::format("at most {} tables", kMaxItems));
      return;
    }
    for (const auto& [id, item] : *table) {
      ReadTable(section, id, item);
    }
  }

  void ReadTable(Section section, const toml::key& id, const toml::node& node) {
    const std::string key = DottedKey(section, id.str(), "");
    if (!IsIdentifier(id.str())) {
      AddError(ConfigErrorKind::kOutOfRange, LineOf(id), key,
               "an invalid identifier", std::string(kIdentifierRule));
      return;
    }
    const toml::table* table = node.as_table();
    if (table == nullptr) {
      AddError(ConfigErrorKind::kWrongType, LineOf(id), key, FormatToml(node),
               "a table of options");
      return;
    }
    ConfigTable& item = document_.TablesIn(section)[std::string(id.str())];
    item.location = {name_, LineOf(id)};
    for (const auto& [option, value] : *table) {
      ReadOption(section, id.str(), option, value, item);
    }
  }

  void ReadOption(Section section,
                  std::string_view id,
                  const toml::key& option,
                  const toml::node& node,
                  ConfigTable& item) {
    const std::string key = DottedKey(section, id, option.str());
    const OptionSpec* spec = FindOption(section, option.str());
    if (spec == nullptr) {
      AddError(ConfigErrorKind::kUnknownKey, LineOf(option), key,
               "an unknown key", OptionNames(section));
      return;
    }
    CheckedValue outcome = CheckValue(*spec, node);
    if (outcome.error_kind) {
      AddError(*outcome.error_kind, LineOf(node), key, FormatToml(node),
               DescribeAllowedValues(*spec));
      return;
    }
    item.options.insert_or_assign(
        std::string(option.str()),
        OptionValue{
            std::move(outcome.value), FormatToml(node), {name_, LineOf(node)}});
  }

  static std::string OptionNames(Section section) {
    std::string out;
    for (const OptionSpec& it : AllOptions()) {
      if (it.section == section) {
        out += fmt::format("{}{}", out.empty() ? "" : ", ", it.key);
      }
    }
    return out;
  }

  void AddError(ConfigErrorKind error_kind,
                int line,
                std::string key,
                std::string found,
                std::string allowed) {
    errors_.push_back({error_kind, name_, line, std::move(key),
                       std::move(found), std::move(allowed)});
  }

  const std::string& name_;
  ConfigErrors& errors_;
  Document document_;
};

}  // namespace

const SourceLocation& ConfigTable::FindLocation(std::string_view key) const {
  const auto it = options.find(key);
  return it == options.end() ? location : it->second.location;
}

bool ConfigTable::IsEnabled() const {
  const bool* value = Find<bool>("enabled");
  return value == nullptr || *value;
}

std::string DottedKey(Section section,
                      std::string_view id,
                      std::string_view option) {
  std::string out = fmt::format("{}.{}", SectionName(section), id);
  if (!option.empty()) {
    out += fmt::format(".{}", option);
  }
  return out;
}

Document ParseDocument(std::string_view text,
                       const std::string& name,
                       ConfigErrors& errors) {
  if (text.size() > kMaxDocumentBytes) {
    errors.push_back({ConfigErrorKind::kTooLarge, name, 0, "",
                      fmt::format("{} bytes", text.size()),
                      fmt::format("at most {} bytes", kMaxDocumentBytes)});
    return {};
  }
  const toml::parse_result parsed = toml::parse(text);
  if (!parsed) {
    const toml::parse_error& error = parsed.error();
    errors.push_back({ConfigErrorKind::kSyntax, name,
                      static_cast<int>(error.source().begin.line), "",
                      std::string(error.description()), "TOML 1.0"});
    return {};
  }
  return DocumentReader(name, errors).Read(parsed.table());
}

}  // namespace kingcupdrift::internal
