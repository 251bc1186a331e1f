// Conversion between the value types of the replicated log and raft.fbs.
#include "state/raft_message.h"

#include <algorithm>

#include "core/decoded_size.h"
#include "raft_generated.h"

namespace peridotgauge {
namespace {

std::string ToText(const std::vector<uint8_t>& bytes) { return {bytes.begin(), bytes.end()}; }
std::vector<uint8_t> ToBytes(const std::string& text) { return {text.begin(), text.end()}; }

using WireMembers = std::vector<std::unique_ptr<raftwire::MemberT>>;
using WireEntries = std::vector<std::unique_ptr<raftwire::EntryT>>;

WireMembers ToWire(const RaftMembers& members) {
  WireMembers out;
  out.reserve(members.size());
  for (const RaftMember& member : members) {
    auto wire = std::make_unique<raftwire::MemberT>();
    wire->id = member.id;
    wire->incarnation = member.incarnation;
    wire->address = member.address;
    out.push_back(std::move(wire));
  }
  return out;
}

RaftMembers FromWire(const WireMembers& members) {
  RaftMembers out;
  out.reserve(members.size());
  for (const auto& member : members) {
    out.push_back({member->id, member->incarnation, member->address});
  }
  return out;
}

WireEntries ToWire(const std::vector<LogEntry>& entries) {
  WireEntries out;
  out.reserve(entries.size());
  for (const LogEntry& entry : entries) {
    auto wire = std::make_unique<raftwire::EntryT>();
    wire->index = entry.index;
    wire->term = entry.term;
    wire->kind = static_cast<uint8_t>(entry.kind);
    wire->data = ToBytes(entry.data);
    wire->members = ToWire(entry.members);
    out.push_back(std::move(wire));
  }
  return out;
}

std::vector<LogEntry> FromWire(const WireEntries& entries) {
  std::vector<LogEntry> out;
  out.reserve(entries.size());
  for (const auto& entry : entries) {
    out.push_back({entry->index, entry->term, static_cast<EntryKind>(entry->kind),
                   ToText(entry->data), FromWire(entry->members)});
  }
  return out;
}

bool KindsAreKnown(const WireEntries& entries) {
  return std::all_of(entries.begin(), entries.end(), [](const auto& entry) {
    return entry->kind <= static_cast<uint8_t>(EntryKind::kMembership);
  });
}

template <typename Table>
std::string Encode(const typename Table::NativeTableType& object) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::Pack(builder, &object));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

template <typename Table>
std::unique_ptr<typename Table::NativeTableType> Decode(std::string_view bytes) {
  const auto* start = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(start, bytes.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) return nullptr;
  return std::unique_ptr<typename Table::NativeTableType>(
      flatbuffers::GetRoot<Table>(start)->UnPack());
}

}  // namespace

const RaftMember* FindMember(const RaftMembers& members, std::string_view id) {
  auto found = std::find_if(members.begin(), members.end(),
                            [&](const RaftMember& member) { return member.id == id; });
  return found == members.end() ? nullptr : &*found;
}

bool ContainsMember(const RaftMembers& members, std::string_view id, uint64_t incarnation) {
  const RaftMember* member = FindMember(members, id);
  return member != nullptr && member->incarnation == incarnation;
}

std::string EncodeMessage(const RaftMessage& message) {
  raftwire::MessageT wire;
  wire.type = static_cast<uint8_t>(message.type);
  wire.from = message.from;
  wire.from_incarnation = message.from_incarnation;
  wire.from_address = message.from_address;
  wire.to = message.to;
  wire.to_incarnation = message.to_incarnation;
  wire.term = message.term;
  wire.index = message.index;
  wire.log_term = message.log_term;
  wire.commit = message.commit;
  wire.round = message.round;
  wire.granted = message.granted;
  wire.transfer = message.transfer;
  wire.entries = ToWire(message.entries);
  wire.members = ToWire(message.members);
  wire.offset = message.offset;
  wire.total = message.total;
  wire.checksum = message.checksum;
  wire.data = ToBytes(message.data);
  return Encode<raftwire::Message>(wire);
}

Result<RaftMessage> DecodeMessage(std::string_view bytes) {
  if (!DecodedSize(bytes, *raftwire::MessageTypeTable(), kMaxDecodedMessageBytes)) {
    return Fail(ErrorCode::kCorrupt, "raft message: malformed, or too large when decoded");
  }
  const auto wire = Decode<raftwire::Message>(bytes);
  if (wire == nullptr || wire->type >= kMessageTypeCount || !KindsAreKnown(wire->entries)) {
    return Fail(ErrorCode::kCorrupt, "raft message: malformed, or of unknown type or entry kind");
  }
  return RaftMessage{.type = static_cast<MessageType>(wire->type),
                     .from = wire->from,
                     .from_incarnation = wire->from_incarnation,
                     .from_address = wire->from_address,
                     .to = wire->to,
                     .to_incarnation = wire->to_incarnation,
                     .to_address = {},
                     .term = wire->term,
                     .index = wire->index,
                     .log_term = wire->log_term,
                     .commit = wire->commit,
                     .round = wire->round,
                     .granted = wire->granted,
                     .transfer = wire->transfer,
                     .entries = FromWire(wire->entries),
                     .members = FromWire(wire->members),
                     .offset = wire->offset,
                     .total = wire->total,
                     .checksum = wire->checksum,
                     .data = ToText(wire->data)};
}

std::string EncodeRecord(const WalRecord& record, const std::vector<LogEntry>& entries) {
  raftwire::RecordT wire;
  wire.segment = record.segment;
  if (record.hard_state) {
    wire.hard_state = std::make_unique<raftwire::HardStateT>();
    wire.hard_state->incarnation = record.hard_state->incarnation;
    wire.hard_state->term = record.hard_state->term;
    wire.hard_state->vote = record.hard_state->vote;
    wire.hard_state->vote_incarnation = record.hard_state->vote_incarnation;
    wire.hard_state->commit = record.hard_state->commit;
    wire.hard_state->admitted = record.hard_state->admitted;
  }
  wire.reset = record.reset_index.has_value();
  wire.reset_index = record.reset_index.value_or(0);
  wire.entries = ToWire(entries);
  return Encode<raftwire::Record>(wire);
}

Result<WalRecord> DecodeRecord(std::string_view bytes) {
  const auto wire = Decode<raftwire::Record>(bytes);
  if (wire == nullptr || !KindsAreKnown(wire->entries)) {
    return Fail(ErrorCode::kCorrupt, "log record: malformed, or with an unknown entry kind");
  }
  WalRecord record{.segment = wire->segment,
                   .hard_state = {},
                   .reset_index = {},
                   .entries = FromWire(wire->entries)};
  if (wire->hard_state != nullptr) {
    const raftwire::HardStateT& hard = *wire->hard_state;
    record.hard_state = HardState{hard.incarnation,      hard.term,   hard.vote,
                                  hard.vote_incarnation, hard.commit, hard.admitted};
  }
  if (wire->reset) record.reset_index = wire->reset_index;
  return record;
}

std::string EncodeSnapshot(const RaftSnapshot& snapshot) {
  raftwire::SnapshotT wire;
  wire.index = snapshot.index;
  wire.term = snapshot.term;
  wire.members = ToWire(snapshot.members);
  if (snapshot.data != nullptr) wire.data = ToBytes(*snapshot.data);
  return Encode<raftwire::Snapshot>(wire);
}

Result<RaftSnapshot> DecodeSnapshot(std::string_view bytes) {
  const auto wire = Decode<raftwire::Snapshot>(bytes);
  if (wire == nullptr) return Fail(ErrorCode::kCorrupt, "snapshot file: malformed");
  return RaftSnapshot{wire->index, wire->term, FromWire(wire->members),
                      std::make_shared<const std::string>(ToText(wire->data))};
}

}  // namespace peridotgauge
