#include "boragepier/peer/peer_codec.h"

#include <cmath>
#include <concepts>
#include <cstring>
#include <type_traits>

#include <msgpack.hpp>

#include "boragepier/base/text.h"

namespace boragepier::peer {

namespace {

// The types below mark fields whose limit differs from that of other fields of the same type.

struct ConfigBody
{
  std::string& text_;
};

struct RowValue
{
  std::string& text_;
};

struct RoundNumber
{
  std::uint64_t& value_;
};

// VisitFields() passes references to all fields of a value to aVisit, in the order of the protocol.
// Encoding and decoding share it.
void
VisitFields(auto& aVisit, PeerEndpoint& aValue)
{
  aVisit(aValue.id_, aValue.address_, aValue.port_);
}

void
VisitFields(auto& aVisit, PeerDigest& aValue)
{
  aVisit(RoundNumber{ aValue.round_ },
         aValue.configSerial_,
         RoundNumber{ aValue.listRound_ },
         aValue.leaving_,
         aValue.configs_,
         aValue.processes_,
         aValue.departures_);
}

void
VisitFields(auto& aVisit, PeerKeyVersions::KeyVersion& aValue)
{
  aVisit(aValue.key_, aValue.version_.major_, aValue.version_.minor_);
}

void
VisitFields(auto& aVisit, PeerKeyVersions& aValue)
{
  aVisit(aValue.section_, aValue.buckets_, aValue.keyVersions_);
}

void
VisitFields(auto& aVisit, PeerPull& aValue)
{
  aVisit(aValue.section_, aValue.keys_);
}

void
VisitFields(auto& aVisit, ConfigRecord& aValue)
{
  aVisit(aValue.service_, aValue.version_, aValue.publishId_, ConfigBody{ aValue.body_ });
}

void
VisitFields(auto& aVisit, PeerConfigs& aValue)
{
  aVisit(aValue.records_);
}

void
VisitFields(auto& aVisit, ProcessEntry& aValue)
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
         RoundNumber{ aValue.round_ },
         aValue.missing_);
}

void
VisitFields(auto& aVisit, PeerProcesses& aValue)
{
  aVisit(aValue.entries_);
}

void
VisitFields(auto& aVisit, Departure& aValue)
{
  aVisit(aValue.upstream_, aValue.startNumber_, RoundNumber{ aValue.round_ });
}

void
VisitFields(auto& aVisit, PeerDepartures& aValue)
{
  aVisit(RoundNumber{ aValue.round_ }, aValue.entries_);
}

void
VisitFields(auto& aVisit, MemberEntry& aValue)
{
  aVisit(aValue.endpoint_, RoundNumber{ aValue.round_ }, aValue.leaving_);
}

void
VisitFields(auto& aVisit, PeerMembers& aValue)
{
  aVisit(aValue.members_);
}

void
VisitFields(auto& aVisit, InstanceEntry& aValue)
{
  aVisit(aValue.id_, aValue.address_, aValue.port_, aValue.relayCapacity_, aValue.zone_);
}

void
VisitFields(auto& aVisit, PeerSubscribe& aValue)
{
  aVisit(aValue.sentAtMs_, aValue.positions_, aValue.registrations_, aValue.era_);
}

void
VisitFields(auto& aVisit, FeedRow& aValue)
{
  aVisit(aValue.key_, aValue.version_, aValue.removed_, RowValue{ aValue.value_ });
}

void
VisitFields(auto& aVisit, RemovalGap& aValue)
{
  aVisit(aValue.after_, aValue.before_);
}

void
VisitFields(auto& aVisit, PeerStoreUpdate::Topic& aValue)
{
  aVisit(
    aValue.from_, aValue.position_, aValue.ageMs_, aValue.complete_, aValue.rows_, aValue.gaps_);
}

void
VisitFields(auto& aVisit, PeerStoreUpdate& aValue)
{
  aVisit(aValue.storeAnswers_,
         aValue.pending_,
         aValue.subscribeSentAtMs_,
         aValue.subscribeHeldMs_,
         aValue.observedForMs_,
         aValue.topics_,
         aValue.era_);
}

void
VisitFields(auto& aVisit, PeerQuotaRequest::Item& aValue)
{
  aVisit(aValue.team_, aValue.share_, aValue.wanted_);
}

void
VisitFields(auto& aVisit, PeerQuotaRequest& aValue)
{
  aVisit(aValue.sequence_, aValue.items_);
}

void
VisitFields(auto& aVisit, PeerQuotaGrant::Item& aValue)
{
  aVisit(aValue.team_, aValue.share_, aValue.granted_, aValue.deniedForMs_);
}

void
VisitFields(auto& aVisit, PeerQuotaGrant& aValue)
{
  aVisit(aValue.sequence_, aValue.items_);
}

void
Require(bool aCondition, const char* aMessage)
{
  if (!aCondition) {
    throw PeerMessageError(std::string("peer message: ") + aMessage);
  }
}

using Packer = msgpack::packer<msgpack::sbuffer>;

// Appends the fields that it is called with to a message, as an array.
class FieldEncoder
{
public:
  explicit FieldEncoder(Packer& aPacker)
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
  void Put(double aValue) { packer_.pack(aValue); }
  void Put(std::vector<std::uint64_t>& aValue)
  {
    Require(aValue.size() <= kMaxPeerItems, "too many numbers");
    packer_.pack(aValue);
  }
  void Put(PeerSection aValue) { packer_.pack(static_cast<std::uint8_t>(aValue)); }
  void Put(RoundNumber aValue) { packer_.pack(aValue.value_); }
  void Put(ConfigBody aValue) { PutText(aValue.text_, kMaxPeerConfigBytes); }
  void Put(RowValue aValue) { PutText(aValue.text_, kMaxPeerRowBytes); }
  void Put(const std::string& aValue) { PutText(aValue, kMaxPeerTextBytes); }
  template<typename Tag>
  void Put(const StrongName<Tag>& aValue)
  {
    PutText(aValue.Text(), kMaxPeerTextBytes);
  }
  // Checksums are packed as binary data, with four bytes each; as numbers they would take five.
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
  void Put(T& aValue) { VisitFields(*this, aValue); }

  void PutText(const std::string& aText, std::size_t aLimit)
  {
    Require(aText.size() <= aLimit, "text exceeds its size limit");
    packer_.pack(aText);
  }

  Packer& packer_;
};

// Decodes an array into the fields that it is called with.
class FieldDecoder
{
public:
  explicit FieldDecoder(const msgpack::object& aObject)
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
    Require(aObject.via.u64 <= std::numeric_limits<T>::max(),
            "number exceeds the range of its field");
    aValue = static_cast<T>(aObject.via.u64);
  }
  static void Get(const msgpack::object& aObject, double& aValue)
  {
    // msgpack packs a double without a fraction as an integer.
    Require(aObject.type == msgpack::type::FLOAT64 ||
              aObject.type == msgpack::type::POSITIVE_INTEGER,
            "number expected");
    aValue = aObject.type == msgpack::type::FLOAT64 ? aObject.via.f64
                                                    : static_cast<double>(aObject.via.u64);
    Require(std::isfinite(aValue), "number is not finite");
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
  static void Get(const msgpack::object& aObject, RoundNumber aValue)
  {
    Get(aObject, aValue.value_);
    Require(aValue.value_ <= kMaxRound, "round exceeds its limit");
  }
  static void Get(const msgpack::object& aObject, ConfigBody aValue)
  {
    aValue.text_ = GetText(aObject, kMaxPeerConfigBytes);
  }
  static void Get(const msgpack::object& aObject, RowValue aValue)
  {
    aValue.text_ = GetText(aObject, kMaxPeerRowBytes);
  }
  static void Get(const msgpack::object& aObject, std::string& aValue)
  {
    aValue = GetText(aObject, kMaxPeerTextBytes);
  }
  template<typename Tag>
  static void Get(const msgpack::object& aObject, StrongName<Tag>& aValue)
  {
    aValue = StrongName<Tag>(GetText(aObject, kMaxPeerTextBytes));
  }
  static void Get(const msgpack::object& aObject, std::vector<std::uint32_t>& aValue)
  {
    Require(aObject.type == msgpack::type::BIN, "bytes expected");
    const std::size_t size = aObject.via.bin.size;
    Require(size % sizeof(std::uint32_t) == 0, "size of checksums is not a multiple of four");
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
  // Instances that are to be registered are written to the store, whose rows hold text.
  static void Get(const msgpack::object& aObject, InstanceEntry& aValue)
  {
    FieldDecoder decoder(aObject);
    VisitFields(decoder, aValue);
    Require(IsVisibleAscii(aValue.id_.View()) && IsVisibleAscii(aValue.address_) &&
              IsVisibleAscii(aValue.zone_.View()),
            "instance is not described by visible ASCII");
  }
  template<typename T>
  requires std::is_aggregate_v<T>
  static void Get(const msgpack::object& aObject, T& aValue)
  {
    FieldDecoder decoder(aObject);
    VisitFields(decoder, aValue);
  }

  static std::string GetText(const msgpack::object& aObject, std::size_t aLimit)
  {
    Require(aObject.type == msgpack::type::STR, "text expected");
    Require(aObject.via.str.size <= aLimit, "text exceeds its size limit");
    return { aObject.via.str.ptr, aObject.via.str.size };
  }

  const msgpack::object& object_;
};

// Decodes the fields of the alternative aIndex of PeerMessage.
template<std::size_t Index = 0>
PeerMessage
DecodeAlternative(std::uint64_t aIndex, const msgpack::object& aContent)
{
  if constexpr (Index == std::variant_size_v<PeerMessage>) {
    throw PeerMessageError("peer message: unknown kind");
  } else {
    if (aIndex != Index) {
      return DecodeAlternative<Index + 1>(aIndex, aContent);
    }
    std::variant_alternative_t<Index, PeerMessage> content;
    FieldDecoder decoder(aContent);
    VisitFields(decoder, content);
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
  // VisitFields() takes a mutable value because decoding uses it too. The encoder changes nothing.
  std::visit(
    [&](auto& aContent) {
      FieldEncoder encoder(packer);
      VisitFields(encoder, aContent);
    },
    const_cast<PeerMessage&>(aMessage));
  Require(buffer.size() <= kMaxPeerMessageBytes, "exceeds the size limit");
  return { buffer.data(), buffer.size() };
}

PeerMessage
DecodePeerMessage(std::string_view aBytes)
{
  Require(aBytes.size() <= kMaxPeerMessageBytes, "exceeds the size limit");
  // msgpack checks these limits before it allocates: a few bytes can announce a huge list.
  const msgpack::unpack_limit limit(
    kMaxPeerItems, 0, kMaxPeerRowBytes, kMaxPeerItems * sizeof(std::uint32_t), 0, 8);
  msgpack::object_handle handle;
  std::size_t consumed = 0;
  try {
    handle = msgpack::unpack(aBytes.data(), aBytes.size(), consumed, nullptr, nullptr, limit);
  } catch (const msgpack::unpack_error& error) {
    throw PeerMessageError(std::string("peer message: ") + error.what());
  }
  Require(consumed == aBytes.size(), "has bytes after its end");
  const msgpack::object& root = handle.get();
  Require(root.type == msgpack::type::ARRAY && root.via.array.size == 2, "is not an array of two");
  const msgpack::object& index = root.via.array.ptr[0];
  Require(index.type == msgpack::type::POSITIVE_INTEGER, "kind is not a number");
  return DecodeAlternative(index.via.u64, root.via.array.ptr[1]);
}

} // namespace boragepier::peer
