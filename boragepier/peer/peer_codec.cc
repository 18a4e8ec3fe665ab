#include "boragepier/peer/peer_codec.h"

#include <concepts>
#include <cstring>
#include <type_traits>

#include <msgpack.hpp>

namespace boragepier::peer {

namespace {

struct Body
{
  std::string& text_;
};

struct RowValue
{
  std::string& text_;
};

struct Round
{
  std::uint64_t& value_;
};

// Fields of each type in the order of the protocol. aVisit receives references to all of them.
void
Fields(auto& aVisit, PeerEndpoint& aValue)
{
  aVisit(aValue.id_, aValue.address_, aValue.port_);
}

void
Fields(auto& aVisit, PeerDigest& aValue)
{
  aVisit(Round{ aValue.round_ },
         aValue.configSerial_,
         Round{ aValue.listRound_ },
         aValue.leaving_,
         aValue.configs_,
         aValue.processes_,
         aValue.departures_);
}

void
Fields(auto& aVisit, PeerKeyVersions::KeyVersion& aValue)
{
  aVisit(aValue.key_, aValue.version_.major_, aValue.version_.minor_);
}

void
Fields(auto& aVisit, PeerKeyVersions& aValue)
{
  aVisit(aValue.section_, aValue.buckets_, aValue.keyVersions_);
}

void
Fields(auto& aVisit, PeerPull& aValue)
{
  aVisit(aValue.section_, aValue.keys_);
}

void
Fields(auto& aVisit, ConfigRecord& aValue)
{
  aVisit(aValue.service_, aValue.version_, aValue.publishId_, Body{ aValue.body_ });
}

void
Fields(auto& aVisit, PeerConfigs& aValue)
{
  aVisit(aValue.records_);
}

void
Fields(auto& aVisit, ProcessEntry& aValue)
{
  ListedProcess& process = aValue.process_;
  aVisit(process.id_,
         process.role_,
         process.service_,
         process.address_,
         process.port_,
         process.peerPort_,
         process.zone_,
         process.startNumber_,
         process.leaving_,
         Round{ aValue.round_ },
         aValue.missing_);
}

void
Fields(auto& aVisit, PeerProcesses& aValue)
{
  aVisit(aValue.entries_);
}

void
Fields(auto& aVisit, Departure& aValue)
{
  aVisit(aValue.upstream_, aValue.startNumber_, Round{ aValue.round_ });
}

void
Fields(auto& aVisit, PeerDepartures& aValue)
{
  aVisit(Round{ aValue.round_ }, aValue.entries_);
}

void
Fields(auto& aVisit, MemberEntry& aValue)
{
  aVisit(aValue.endpoint_, Round{ aValue.round_ }, aValue.leaving_);
}

void
Fields(auto& aVisit, PeerMembers& aValue)
{
  aVisit(aValue.members_);
}

void
Fields(auto& aVisit, PeerSubscribe& aValue)
{
  aVisit(aValue.sentAtMs_, aValue.positions_);
}

void
Fields(auto& aVisit, FeedRow& aValue)
{
  aVisit(aValue.key_, aValue.version_, aValue.removed_, RowValue{ aValue.value_ });
}

void
Fields(auto& aVisit, PeerStoreUpdate::Topic& aValue)
{
  aVisit(aValue.from_, aValue.position_, aValue.ageMs_, aValue.complete_, aValue.rows_);
}

void
Fields(auto& aVisit, PeerStoreUpdate& aValue)
{
  aVisit(aValue.storeAnswers_, aValue.subscribeSentAtMs_, aValue.subscribeHeldMs_, aValue.topics_);
}

void
Require(bool aCondition, const char* aWhat)
{
  if (!aCondition) {
    throw PeerMessageError(std::string("peer message: ") + aWhat);
  }
}

using Packer = msgpack::packer<msgpack::sbuffer>;

class Writer
{
public:
  explicit Writer(Packer& aPacker)
    : packer_(aPacker)
  {
  }

  void operator()(auto&&... aFields)
  {
    packer_.pack_array(sizeof...(aFields));
    (Put(aFields), ...);
  }

private:
  void Put(std::unsigned_integral auto aValue) { packer_.pack(aValue); }
  void Put(std::vector<std::uint64_t>& aValue)
  {
    Require(aValue.size() <= kMaxPeerItems, "too many numbers");
    packer_.pack(aValue);
  }
  void Put(PeerSection aValue) { packer_.pack(static_cast<std::uint8_t>(aValue)); }
  void Put(Round aValue) { packer_.pack(aValue.value_); }
  void Put(Body aValue) { Text(aValue.text_, kMaxPeerBody); }
  void Put(RowValue aValue) { Text(aValue.text_, kMaxPeerRow); }
  void Put(const std::string& aValue) { Text(aValue, kMaxPeerText); }
  template<typename Tag>
  void Put(const StrongName<Tag>& aValue)
  {
    Text(aValue.Text(), kMaxPeerText);
  }
  // Checksums are packed as bytes: four each instead of five.
  void Put(std::vector<std::uint32_t>& aValue)
  {
    Require(aValue.size() <= kMaxPeerItems, "too many checksums");
    const auto size = static_cast<std::uint32_t>(aValue.size() * sizeof(std::uint32_t));
    packer_.pack_bin(size);
    packer_.pack_bin_body(reinterpret_cast<const char*>(aValue.data()), size);
  }
  template<typename T>
  void Put(std::vector<T>& aValue)
  {
    Require(aValue.size() <= kMaxPeerItems, "too many items");
    packer_.pack_array(static_cast<std::uint32_t>(aValue.size()));
    for (T& item : aValue) {
      Put(item);
    }
  }
  template<typename T>
  requires std::is_aggregate_v<T>
  void Put(T& aValue) { Fields(*this, aValue); }

  void Text(const std::string& aText, std::size_t aLimit)
  {
    Require(aText.size() <= aLimit, "text too long");
    packer_.pack(aText);
  }

  Packer& packer_;
};

class Reader
{
public:
  explicit Reader(const msgpack::object& aObject)
    : object_(aObject)
  {
  }

  void operator()(auto&&... aFields)
  {
    Require(object_.type == msgpack::type::ARRAY, "array expected");
    Require(object_.via.array.size == sizeof...(aFields), "wrong number of fields");
    const msgpack::object* next = object_.via.array.ptr;
    (Get(*next++, aFields), ...);
  }

private:
  template<std::unsigned_integral T>
  static void Get(const msgpack::object& aObject, T& aValue)
  {
    Require(aObject.type == msgpack::type::POSITIVE_INTEGER, "number expected");
    Require(aObject.via.u64 <= std::numeric_limits<T>::max(), "number too large");
    aValue = static_cast<T>(aObject.via.u64);
  }
  static void Get(const msgpack::object& aObject, std::vector<std::uint64_t>& aValue)
  {
    Require(aObject.type == msgpack::type::ARRAY, "list expected");
    Require(aObject.via.array.size <= kMaxPeerItems, "too many numbers");
    aValue.resize(aObject.via.array.size);
    for (std::size_t i = 0; i < aValue.size(); ++i) {
      Get(aObject.via.array.ptr[i], aValue[i]);
    }
  }
  static void Get(const msgpack::object& aObject, bool& aValue)
  {
    Require(aObject.type == msgpack::type::BOOLEAN, "boolean expected");
    aValue = aObject.via.boolean;
  }
  static void Get(const msgpack::object& aObject, PeerSection& aValue)
  {
    std::uint8_t number = 0;
    Get(aObject, number);
    Require(number < kPeerSectionCount, "unknown section");
    aValue = static_cast<PeerSection>(number);
  }
  static void Get(const msgpack::object& aObject, Round aValue)
  {
    Get(aObject, aValue.value_);
    Require(aValue.value_ <= kMaxRound, "round too large");
  }
  static void Get(const msgpack::object& aObject, Body aValue)
  {
    aValue.text_ = Text(aObject, kMaxPeerBody);
  }
  static void Get(const msgpack::object& aObject, RowValue aValue)
  {
    aValue.text_ = Text(aObject, kMaxPeerRow);
  }
  static void Get(const msgpack::object& aObject, std::string& aValue)
  {
    aValue = Text(aObject, kMaxPeerText);
  }
  template<typename Tag>
  static void Get(const msgpack::object& aObject, StrongName<Tag>& aValue)
  {
    aValue = StrongName<Tag>(Text(aObject, kMaxPeerText));
  }
  static void Get(const msgpack::object& aObject, std::vector<std::uint32_t>& aValue)
  {
    Require(aObject.type == msgpack::type::BIN, "bytes expected");
    const std::size_t size = aObject.via.bin.size;
    Require(size % sizeof(std::uint32_t) == 0, "not whole checksums");
    Require(size <= kMaxPeerItems * sizeof(std::uint32_t), "too many checksums");
    aValue.resize(size / sizeof(std::uint32_t));
    if (size > 0) {
      std::memcpy(aValue.data(), aObject.via.bin.ptr, size);
    }
  }
  template<typename T>
  static void Get(const msgpack::object& aObject, std::vector<T>& aValue)
  {
    Require(aObject.type == msgpack::type::ARRAY, "list expected");
    Require(aObject.via.array.size <= kMaxPeerItems, "too many items");
    aValue.resize(aObject.via.array.size);
    for (std::size_t i = 0; i < aValue.size(); ++i) {
      Get(aObject.via.array.ptr[i], aValue[i]);
    }
  }
  template<typename T>
  requires std::is_aggregate_v<T>
  static void Get(const msgpack::object& aObject, T& aValue)
  {
    Reader reader(aObject);
    Fields(reader, aValue);
  }

  static std::string Text(const msgpack::object& aObject, std::size_t aLimit)
  {
    Require(aObject.type == msgpack::type::STR, "text expected");
    Require(aObject.via.str.size <= aLimit, "text too long");
    return { aObject.via.str.ptr, aObject.via.str.size };
  }

  const msgpack::object& object_;
};

template<std::size_t Kind = 0>
PeerMessage
DecodeKind(std::uint64_t aKind, const msgpack::object& aContent)
{
  if constexpr (Kind == std::variant_size_v<PeerMessage>) {
    throw PeerMessageError("peer message: unknown kind");
  } else {
    if (aKind != Kind) {
      return DecodeKind<Kind + 1>(aKind, aContent);
    }
    std::variant_alternative_t<Kind, PeerMessage> content;
    Reader reader(aContent);
    Fields(reader, content);
    return content;
  }
}

} // namespace

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(2);
  packer.pack(static_cast<std::uint8_t>(aMessage.index()));
  // Fields() is shared with decoding and takes a mutable value; the writer changes nothing.
  std::visit(
    [&](auto& aContent) {
      Writer writer(packer);
      Fields(writer, aContent);
    },
    const_cast<PeerMessage&>(aMessage));
  Require(buffer.size() <= kMaxPeerMessageBytes, "too large");
  return { buffer.data(), buffer.size() };
}

PeerMessage
DecodePeerMessage(std::string_view aBytes)
{
  Require(aBytes.size() <= kMaxPeerMessageBytes, "too large");
  // Limits are checked before anything is allocated: a few bytes can announce a huge list.
  const msgpack::unpack_limit limit(
    kMaxPeerItems, 0, kMaxPeerRow, kMaxPeerItems * sizeof(std::uint32_t), 0, 8);
  msgpack::object_handle handle;
  std::size_t used = 0;
  try {
    handle = msgpack::unpack(aBytes.data(), aBytes.size(), used, nullptr, nullptr, limit);
  } catch (const msgpack::unpack_error& error) {
    throw PeerMessageError(std::string("peer message: ") + error.what());
  }
  Require(used == aBytes.size(), "bytes after the message");
  const msgpack::object& root = handle.get();
  Require(root.type == msgpack::type::ARRAY && root.via.array.size == 2, "array of two expected");
  const msgpack::object& kind = root.via.array.ptr[0];
  Require(kind.type == msgpack::type::POSITIVE_INTEGER, "kind expected");
  return DecodeKind(kind.via.u64, root.via.array.ptr[1]);
}

} // namespace boragepier::peer
