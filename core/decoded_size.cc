// Walks a message by the type tables that flatc generates, and checks each position with the
// primitives of the flatbuffers verifier before it reads there.
#include "core/decoded_size.h"

#include <string>
#include <vector>

#include "flatbuffers/minireflect.h"

namespace peridotgauge {
namespace {

using flatbuffers::ReadScalar;
using flatbuffers::TypeCode;
using flatbuffers::TypeTable;
using flatbuffers::uoffset_t;
using flatbuffers::voffset_t;

// Bytes that the allocator adds to an allocated block.
constexpr size_t kAllocationBytes = 16;
constexpr size_t kPointerBytes = sizeof(void*);
constexpr size_t kUnionBytes = 2 * sizeof(void*);  // the type and a pointer
constexpr size_t kVectorBytes = sizeof(std::vector<char>);
constexpr size_t kStringBytes = sizeof(std::string);

const TypeTable* ReferenceOf(const TypeTable& type, const TypeCode& code) {
  return code.sequence_ref < 0 ? nullptr : type.type_refs[code.sequence_ref]();
}

bool IsA(const TypeCode& code, const TypeTable* reference, flatbuffers::SequenceType kind) {
  return code.base_type == flatbuffers::ET_SEQUENCE && reference != nullptr &&
         reference->st == kind;
}

class Walk {
 public:
  Walk(std::string_view bytes, size_t max_bytes)
      : start(reinterpret_cast<const uint8_t*>(bytes.data())),
        max_bytes(max_bytes),
        verifier(this->start, bytes.size()) {}

  // All functions return false if the message is malformed or too large.
  bool Root(const TypeTable& type) {
    const uoffset_t offset = this->verifier.VerifyOffset(0);
    return offset != 0 && this->Table(this->start + offset, type);
  }
  size_t Bytes() const { return this->bytes; }

 private:
  bool Add(size_t more) {
    this->bytes += more;
    return this->bytes <= this->max_bytes;
  }

  // Returns the place that the offset at `place` refers to, or null if it is invalid.
  const uint8_t* Follow(const uint8_t* place) const {
    const uoffset_t offset = this->verifier.VerifyOffset(static_cast<size_t>(place - this->start));
    return offset == 0 ? nullptr : place + offset;
  }

  // NOLINTNEXTLINE(misc-no-recursion): the verifier bounds the depth.
  bool Table(const uint8_t* table, const TypeTable& type) {
    if (table == nullptr || !this->verifier.VerifyTableStart(table)) return false;
    if (!this->Add(kAllocationBytes)) return false;
    const auto* fields = reinterpret_cast<const flatbuffers::Table*>(table);
    uint8_t union_type = 0;  // value of the preceding field, if that is the type of a union
    for (size_t i = 0; i < type.num_elems; ++i) {
      const voffset_t offset = fields->GetOptionalFieldOffset(
          flatbuffers::FieldIndexToOffset(static_cast<voffset_t>(i)));
      const uint8_t* place = offset == 0 ? nullptr : table + offset;
      const TypeCode& code = type.type_codes[i];
      const TypeTable* reference = ReferenceOf(type, code);
      const bool valid = code.is_repeating != 0 ? this->Vector(place, code, reference)
                                                : this->Field(place, code, reference, union_type);
      if (!valid) return false;
      union_type = place != nullptr && code.base_type == flatbuffers::ET_UTYPE ? *place : 0;
    }
    return this->verifier.EndTable();
  }

  // NOLINTNEXTLINE(misc-no-recursion): the verifier bounds the depth.
  bool Field(const uint8_t* place, const TypeCode& code, const TypeTable* reference,
             uint8_t union_type) {
    if (code.base_type == flatbuffers::ET_STRING) {
      return this->Add(kStringBytes) && (place == nullptr || this->Text(this->Follow(place)));
    }
    if (IsA(code, reference, flatbuffers::ST_TABLE)) {
      return this->Add(kPointerBytes) &&
             (place == nullptr || this->Table(this->Follow(place), *reference));
    }
    if (IsA(code, reference, flatbuffers::ST_UNION)) {
      return this->Add(kUnionBytes) &&
             (place == nullptr || this->Union(place, *reference, union_type));
    }
    const auto type = static_cast<flatbuffers::ElementaryType>(code.base_type);
    const size_t size = flatbuffers::InlineSize(type, reference);
    const bool is_struct = IsA(code, reference, flatbuffers::ST_STRUCT);
    if (!this->Add(is_struct ? kPointerBytes + kAllocationBytes + size : size)) return false;
    return place == nullptr || this->verifier.VerifyFromPointer(place, size);
  }

  // A type that this version does not know is not unpacked.
  // NOLINTNEXTLINE(misc-no-recursion): the verifier bounds the depth.
  bool Union(const uint8_t* place, const TypeTable& type, uint8_t union_type) {
    const int64_t index = flatbuffers::LookupEnum(union_type, type.values, type.num_elems);
    if (index < 0 || index >= static_cast<int64_t>(type.num_elems)) return true;
    const TypeTable* table = ReferenceOf(type, type.type_codes[index]);
    return table == nullptr || this->Table(this->Follow(place), *table);
  }

  bool Text(const uint8_t* text) {
    if (text == nullptr || !this->verifier.VerifyVectorOrString(text, 1)) return false;
    const size_t size = ReadScalar<uoffset_t>(text);
    // Short strings are kept inside the object.
    return size < kStringBytes / 2 || this->Add(size + 1 + kAllocationBytes);
  }

  // NOLINTNEXTLINE(misc-no-recursion): the verifier bounds the depth.
  bool Vector(const uint8_t* place, const TypeCode& code, const TypeTable* reference) {
    if (!this->Add(kVectorBytes)) return false;
    if (place == nullptr) return true;
    if (IsA(code, reference, flatbuffers::ST_UNION)) return false;
    const auto type = static_cast<flatbuffers::ElementaryType>(code.base_type);
    const size_t size = flatbuffers::InlineSize(type, reference);
    const uint8_t* vector = this->Follow(place);
    if (vector == nullptr || !this->verifier.VerifyVectorOrString(vector, size)) return false;
    const size_t count = ReadScalar<uoffset_t>(vector);
    const uint8_t* element = vector + sizeof(uoffset_t);
    if (count != 0 && !this->Add(kAllocationBytes)) return false;
    const bool texts = type == flatbuffers::ET_STRING;
    const bool tables = IsA(code, reference, flatbuffers::ST_TABLE);
    if (!this->Add(count * (texts ? kStringBytes : tables ? kPointerBytes : size))) return false;
    if (!texts && !tables) return true;
    for (size_t i = 0; i < count; ++i, element += size) {
      const uint8_t* target = this->Follow(element);
      if (!(texts ? this->Text(target) : this->Table(target, *reference))) return false;
    }
    return true;
  }

  const uint8_t* const start;
  const size_t max_bytes;
  flatbuffers::Verifier verifier;
  size_t bytes = 0;
};

}  // namespace

std::optional<size_t> DecodedSize(std::string_view bytes, const TypeTable& root, size_t max_bytes) {
  if (bytes.size() < sizeof(uoffset_t)) return std::nullopt;
  Walk walk(bytes, max_bytes);
  if (!walk.Root(root)) return std::nullopt;
  return walk.Bytes();
}

}  // namespace peridotgauge
