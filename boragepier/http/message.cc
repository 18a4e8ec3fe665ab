#include "boragepier/http/message.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace boragepier::http {

namespace {

bool
FieldNamesEqual(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals(boost::beast::string_view(aLeft.data(), aLeft.size()),
                               boost::beast::string_view(aRight.data(), aRight.size()));
}

// Hop-by-hop fields, and Content-Length, which is generated when a message is written.
constexpr std::array<std::string_view, 10> kRemovedFields = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
};

} // namespace

std::optional<std::string_view>
Headers::Get(std::string_view aName) const
{
  for (const Field& field : fields_) {
    if (FieldNamesEqual(field.name_, aName)) {
      return field.value_;
    }
  }
  return std::nullopt;
}

void
Headers::Add(std::string_view aName, std::string_view aValue)
{
  fields_.push_back({ std::string(aName), std::string(aValue) });
}

void
Headers::Set(std::string_view aName, std::string_view aValue)
{
  Remove(aName);
  Add(aName, aValue);
}

void
Headers::Remove(std::string_view aName)
{
  std::erase_if(fields_, [&](const Field& aField) { return FieldNamesEqual(aField.name_, aName); });
}

void
RemoveHopByHopFields(Headers& aHeaders)
{
  std::vector<std::string> connectionOptions;
  for (const Headers::Field& field : aHeaders) {
    if (FieldNamesEqual(field.name_, "Connection")) {
      for (const auto& token : boost::beast::http::token_list(field.value_)) {
        connectionOptions.emplace_back(token.data(), token.size());
      }
    }
  }
  for (const std::string& name : connectionOptions) {
    aHeaders.Remove(name);
  }
  for (std::string_view name : kRemovedFields) {
    aHeaders.Remove(name);
  }
}

} // namespace boragepier::http
