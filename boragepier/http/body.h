#ifndef BORAGEPIER_HTTP_BODY_H
#define BORAGEPIER_HTTP_BODY_H

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "boragepier/http/body_budget.h"

namespace boragepier::http {

/// Immutable content of a message. Copies share the bytes, and their charge is released with the
/// last one.
class Body
{
public:
  Body() = default;
  // NOLINTBEGIN(google-explicit-constructor,hicpp-explicit-conversions): a Body is used like a text
  /// @param aText the bytes, which are not copied
  /// @param aCharge what pays for them
  Body(std::string aText, BodyCharge aCharge = {})
    : content_(aText.empty()
                 ? nullptr
                 : std::make_shared<const Content>(std::move(aText), std::move(aCharge)))
  {
  }
  Body(const char* aText)
    : Body(std::string(aText))
  {
  }
  Body(std::string_view aText)
    : Body(std::string(aText))
  {
  }
  operator std::string_view() const { return View(); }
  // NOLINTEND(google-explicit-constructor,hicpp-explicit-conversions)

  /// @return the bytes; valid as long as this object or a copy of it
  std::string_view View() const { return content_ ? content_->text_ : std::string_view(); }
  std::string Text() const { return std::string(View()); }
  std::size_t size() const { return View().size(); }
  bool empty() const { return View().empty(); }
  const char* begin() const { return View().data(); }
  const char* end() const { return View().data() + View().size(); }
  /// @return an object that keeps the bytes valid
  std::shared_ptr<const void> Owner() const { return content_; }

  friend bool operator==(const Body& aBody, std::string_view aText)
  {
    return aBody.View() == aText;
  }

private:
  struct Content
  {
    Content(std::string aText, BodyCharge aCharge)
      : text_(std::move(aText))
      , charge_(std::move(aCharge))
    {
    }
    std::string text_;
    BodyCharge charge_;
  };

  std::shared_ptr<const Content> content_;
};

} // namespace boragepier::http

#endif
