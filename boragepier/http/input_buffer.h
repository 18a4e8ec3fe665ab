#ifndef BORAGEPIER_HTTP_INPUT_BUFFER_H
#define BORAGEPIER_HTTP_INPUT_BUFFER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace boragepier::http {

/// Bytes that arrived and were not used yet.
class InputBuffer
{
public:
  void Append(std::string_view aBytes)
  {
    if (offset_ > 0) {
      bytes_.erase(0, offset_);
      offset_ = 0;
    }
    bytes_.append(aBytes);
  }

  /// Drops bytes from the front.
  void Consume(std::size_t aCount)
  {
    offset_ += aCount;
    if (offset_ == bytes_.size()) {
      bytes_.clear();
      offset_ = 0;
    }
  }

  std::string_view View() const { return std::string_view(bytes_).substr(offset_); }
  bool Empty() const { return offset_ == bytes_.size(); }
  std::size_t Size() const { return bytes_.size() - offset_; }

private:
  std::string bytes_;
  std::size_t offset_ = 0;
};

/// State of a message that is being read.
enum class ReadStatus : std::uint8_t
{
  NeedMore,
  Complete,
  Failed,
};

} // namespace boragepier::http

#endif
