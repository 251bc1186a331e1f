// Serializes changes of the directory once for all routers.
#include "io/directory_feed.h"

#include <flatbuffers/flatbuffers.h>

#include <string_view>

#include "core/decoded_size.h"
#include "core/packed_text.h"
#include "io/peer.h"
#include "peer_generated.h"
#include "state/commands.h"

namespace peridotgauge {
namespace {

std::shared_ptr<const std::string> PackRecords(const std::vector<TargetRecord>& records) {
  wire::TargetListT list;
  for (const TargetRecord& record : records) list.targets.push_back(ToWire(record));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::TargetList::Pack(builder, &list));
  const std::string_view bytes(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                               builder.GetSize());
  return std::make_shared<const std::string>(PackText(bytes, {}));
}

}  // namespace

void DirectoryFeed::Reset() {
  this->published = 0;
  this->changes.clear();
  this->all.reset();
}

// The end of the time in which registrations are collected removes targets without a change of
// their records, so that earlier packages do not lead to the present state.
void DirectoryFeed::Follow(const Directory& directory) {
  if (directory.Epoch() != this->epoch || directory.Collecting() != this->collecting) this->Reset();
  this->epoch = directory.Epoch();
  this->collecting = directory.Collecting();
}

void DirectoryFeed::Publish(const Directory& directory) {
  this->Follow(directory);
  if (directory.Version() == this->published) return;
  if (directory.NeedsAll(this->epoch, this->published)) {
    this->changes.clear();
  } else {
    const DirectoryDelta delta = directory.DeltaSince(this->epoch, this->published);
    this->changes.push_back(
        {this->published, delta.version, delta.digest, PackRecords(delta.targets)});
    if (this->changes.size() > kMaxFeedPackages) this->changes.pop_front();
  }
  this->published = directory.Version();
}

bool DirectoryFeed::Covers(uint64_t version) const {
  return version >= this->published ||
         (!this->changes.empty() && this->changes.front().from <= version);
}

void DirectoryFeed::AddChanges(DirectoryUpdate& update) const {
  for (const Package& package : this->changes) {
    if (package.to <= update.version) continue;
    update.version = package.to;
    update.digest = package.digest;
    update.packages.push_back(package.packed);
  }
}

DirectoryUpdate DirectoryFeed::All(const Directory& directory) {
  if (!this->all || !this->Covers(this->all->to)) {
    const DirectoryDelta delta = directory.DeltaSince(0, 0);
    this->all = Package{0, delta.version, delta.digest, PackRecords(delta.targets)};
  }
  DirectoryUpdate update{.version = this->all->to,
                         .digest = this->all->digest,
                         .full = !directory.Collecting(),
                         .packages = {this->all->packed}};
  this->AddChanges(update);
  return update;
}

std::optional<DirectoryUpdate> DirectoryFeed::UpdateFor(const Directory& directory,
                                                        uint64_t copy_epoch,
                                                        uint64_t copy_version) {
  this->Follow(directory);
  if (directory.NeedsAll(copy_epoch, copy_version)) return this->All(directory);
  if (copy_version >= this->published || !this->Covers(copy_version)) return std::nullopt;
  DirectoryUpdate update{.version = copy_version};
  this->AddChanges(update);
  return update;
}

Result<std::vector<TargetRecord>> OpenDirectoryPackage(const std::string& packed) {
  const Result<std::string> bytes = UnpackText(packed, {}, kMaxFrameBytes);
  if (!bytes) return tl::unexpected(bytes.error());
  if (!DecodedSize(*bytes, *wire::TargetListTypeTable(), kMaxDecodedFrameBytes)) {
    return Fail(ErrorCode::kCorrupt, "directory package: malformed, or too large when decoded");
  }
  const auto* data = reinterpret_cast<const uint8_t*>(bytes->data());
  flatbuffers::Verifier verifier(data, bytes->size());
  if (!verifier.VerifyBuffer<wire::TargetList>()) {
    return Fail(ErrorCode::kCorrupt, "directory package: failed flatbuffers verification");
  }
  wire::TargetListT list;
  flatbuffers::GetRoot<wire::TargetList>(data)->UnPackTo(&list);
  std::vector<TargetRecord> targets;
  for (const auto& record : list.targets) {
    if (record) targets.push_back(FromWire(*record));
  }
  return targets;
}

}  // namespace peridotgauge
