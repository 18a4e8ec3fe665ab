#include "boragepier/config/key_table.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <sstream>

#include "boragepier/config/endpoint.h"
#include "boragepier/config/method_rule.h"
#include "boragepier/config/service_file.h"

namespace boragepier {

namespace {

constexpr std::array<std::string_view, 2> kFlagValues = { "false", "true" };
constexpr std::string_view kNameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-";
constexpr std::string_view kLabelCharacters =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:-";
constexpr std::size_t kMaxLabelLength = 128;
constexpr std::size_t kMaxNameLength = 64; // longer unknown keys are truncated in messages
constexpr std::size_t kMaxFileNameLength = 1024;
constexpr int kMaxRuleNumber = 64;

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength && aText.front() != '-' &&
         aText.back() != '-' && aText.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

bool
IsLabel(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxLabelLength &&
         aText.find_first_not_of(kLabelCharacters) == std::string_view::npos;
}

bool
IsFileName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxFileNameLength;
}

std::string
JoinedChoices(std::span<const std::string_view> aChoices)
{
  std::string joined;
  for (std::string_view choice : aChoices) {
    joined.append(joined.empty() ? "" : ", ").append(choice);
  }
  return joined;
}

std::span<const std::string_view>
ChoicesOf(const KeyInfo& aInfo)
{
  return aInfo.type_ == KeyType::Flag ? std::span<const std::string_view>(kFlagValues)
                                      : aInfo.choices_;
}

std::string
LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return lower;
}

bool
ParseChoice(const KeyInfo& aInfo, KeyValue& aValue, ValueForms aForms)
{
  const auto choices = ChoicesOf(aInfo);
  const bool anyCase = aForms == ValueForms::Rendered && aInfo.type_ == KeyType::Flag;
  const std::string text = anyCase ? LowerCase(aValue.text_) : std::string(aValue.text_);
  const auto found = std::find(choices.begin(), choices.end(), text);
  aValue.choice_ = static_cast<std::size_t>(found - choices.begin());
  return found != choices.end();
}

bool
ParseNumber(const KeyInfo& aInfo, KeyValue& aValue, ValueForms aForms)
{
  const bool rendered = aForms == ValueForms::Rendered;
  const char* const end = aValue.text_.data() + aValue.text_.size();
  const auto [last, error] =
    std::from_chars(aValue.text_.data(),
                    end,
                    aValue.number_,
                    rendered ? std::chars_format::general : std::chars_format::fixed);
  // Both comparisons are false for NaN, which is thus rejected.
  const bool inRange = aValue.number_ >= aInfo.minimum_ && aValue.number_ <= aInfo.maximum_;
  if (error != std::errc() || last != end || !inRange) {
    return false;
  }
  const bool duration = aInfo.unit_ == "ms" || aInfo.unit_ == "s";
  if (aInfo.type_ == KeyType::Integer) {
    if (!rendered && aValue.text_.find('.') != std::string_view::npos) {
      return false;
    }
    if (!duration && aValue.number_ != std::trunc(aValue.number_)) {
      return false;
    }
  }
  if (duration) {
    const double nanosecondsPerUnit = aInfo.unit_ == "s" ? 1e9 : 1e6;
    aValue.duration_ = Duration(std::llround(aValue.number_ * nanosecondsPerUnit));
  }
  return true;
}

bool
ParseValue(const KeyInfo& aInfo, KeyValue& aValue, ValueForms aForms)
{
  switch (aInfo.type_) {
    case KeyType::Name:
      return IsName(aValue.text_);
    case KeyType::PathPrefix:
      return IsPathPrefix(aValue.text_) && aValue.text_.back() == '/';
    case KeyType::Rule:
      return ParseMethodRule(aValue.text_).has_value();
    case KeyType::Choice:
    case KeyType::Flag:
      return ParseChoice(aInfo, aValue, aForms);
    case KeyType::Integer:
    case KeyType::Number:
      return ParseNumber(aInfo, aValue, aForms);
    case KeyType::Address:
      return IsIpAddress(aValue.text_);
    case KeyType::Endpoint:
      return ParseEndpoint(aValue.text_).has_value();
    case KeyType::AddressList:
      return ParseEndpointList(aValue.text_).has_value();
    case KeyType::FileName:
      return IsFileName(aValue.text_);
    case KeyType::Label:
      return IsLabel(aValue.text_);
  }
  return false;
}

std::string
NumberText(double aNumber)
{
  std::ostringstream text;
  text.precision(15);
  text << aNumber;
  return text.str();
}

std::string
FullName(const KeyInfo& aInfo)
{
  return std::string(aInfo.section_) + "." + std::string(aInfo.name_);
}

} // namespace

std::string_view
TypeName(KeyType aType)
{
  constexpr std::array<std::string_view, 12> kNames = {
    "name",   "path",    "rule",     "choice",       "flag",      "integer",
    "number", "address", "endpoint", "address list", "file name", "label",
  };
  return kNames.at(static_cast<std::size_t>(aType));
}

std::string
RangeText(const KeyInfo& aInfo)
{
  switch (aInfo.type_) {
    case KeyType::Name:
      return "1 to 64 of a-z, 0-9 and -, with - at neither end";
    case KeyType::Label:
      return "1 to 128 of A-Z, a-z, 0-9, \".\", \"_\", \":\" and \"-\"";
    case KeyType::PathPrefix:
      return "1 to 256 visible ASCII characters without ? and #, / at both ends";
    case KeyType::Rule:
      return "METHOD PREFIX repeatable or METHOD PREFIX at-most-once; METHOD * means all";
    case KeyType::Choice:
    case KeyType::Flag:
      return JoinedChoices(ChoicesOf(aInfo));
    case KeyType::Integer:
    case KeyType::Number:
      return NumberText(aInfo.minimum_) + " to " + NumberText(aInfo.maximum_);
    case KeyType::Address:
      return "IPv4 or IPv6 address";
    case KeyType::Endpoint:
      return "ADDRESS:PORT, an IPv6 address in brackets";
    case KeyType::AddressList:
      return "ADDRESS:PORT separated by commas, IPv6 addresses in brackets";
    case KeyType::FileName:
      break;
  }
  return "1 to 1024 characters";
}

bool
Matches(const KeyInfo& aInfo, const IniEntry& aEntry)
{
  if (aInfo.section_ != aEntry.section_) {
    return false;
  }
  if (!aInfo.name_.ends_with("-N")) {
    return aInfo.name_ == aEntry.key_;
  }
  const std::string_view prefix = aInfo.name_.substr(0, aInfo.name_.size() - 1);
  const std::string_view key = aEntry.key_;
  if (!key.starts_with(prefix) || key.size() == prefix.size() || key[prefix.size()] == '0') {
    return false;
  }
  int number = 0;
  const auto [end, error] =
    std::from_chars(key.data() + prefix.size(), key.data() + key.size(), number);
  return error == std::errc() && end == key.data() + key.size() && number >= 1 &&
         number <= kMaxRuleNumber;
}

KeyValue
CheckValue(const KeyInfo& aInfo,
           std::string_view aText,
           std::string_view aFileName,
           int aLine,
           ValueForms aForms)
{
  KeyValue value{ .text_ = aText };
  if (!ParseValue(aInfo, value, aForms)) {
    const std::string unit =
      aInfo.unit_.empty() ? std::string() : std::string(" ").append(aInfo.unit_);
    throw ConfigError(std::string(aFileName),
                      aLine,
                      FullName(aInfo),
                      "value " + Quoted(aText) + " is not accepted; expected " +
                        std::string(TypeName(aInfo.type_)) + ": " + RangeText(aInfo) + unit);
  }
  return value;
}

void
ThrowUnknownKey(const IniEntry& aEntry, std::string_view aFileName, std::span<const KeyInfo> aKnown)
{
  std::string accepted;
  for (const KeyInfo& info : aKnown) {
    if (info.section_ == aEntry.section_) {
      accepted.append(accepted.empty() ? "" : ", ").append(info.name_);
    }
  }
  throw ConfigError(std::string(aFileName),
                    aEntry.line_,
                    aEntry.section_ + "." + aEntry.key_.substr(0, kMaxNameLength),
                    "unknown key with value " + Quoted(aEntry.value_) + "; accepted are " +
                      accepted);
}

void
ThrowMissingKey(const KeyInfo& aInfo, std::string_view aFileName)
{
  throw ConfigError(std::string(aFileName),
                    0,
                    FullName(aInfo),
                    "the key is required; expected " + std::string(TypeName(aInfo.type_)) + ": " +
                      RangeText(aInfo));
}

} // namespace boragepier
