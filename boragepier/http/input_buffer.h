#ifndef BORAGEPIER_HTTP_INPUT_BUFFER_H
#define BORAGEPIER_HTTP_INPUT_BUFFER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace boragepier::http {

/// Received bytes that the parser has not consumed yet.
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

  /// Removes bytes from the front.
  /// @param aCount at most Size()
  void Consume(std::size_t aCount)
  {
    offset_ += aCount;
    if (offset_ == bytes_.size()) {
      Clear();
    }
  }

  /// Drops all bytes.
  void Clear()
  {
    if (bytes_.capacity() > kMaxIdleCapacity) {
      std::string().swap(bytes_); // an assignment would keep the capacity
    }
    bytes_.clear();
    offset_ = 0;
  }

  /// @return the unconsumed bytes; valid until the next Append() or Consume()
  std::string_view View() const { return std::string_view(bytes_).substr(offset_); }
  bool Empty() const { return offset_ == bytes_.size(); }
  std::size_t Size() const { return bytes_.size() - offset_; }

private:
  // An empty buffer with a larger capacity is released, because idle connections keep theirs.
  static constexpr std::size_t kMaxIdleCapacity = 4 << 10;

  std::string bytes_;
  std::size_t offset_ = 0; ///< consumed bytes at the front of bytes_
};

/// Progress of reading one message.
enum class ReadStatus : std::uint8_t
{
  NeedMore,
  NeedMemory, ///< the body does not fit now; read again later, without further input
  Complete,
  Failed,
};

} // namespace boragepier::http

#endif
