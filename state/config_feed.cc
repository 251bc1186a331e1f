// Packs the published configuration.
#include "state/config_feed.h"

#include <algorithm>

#include "core/config.h"
#include "core/packed_text.h"

namespace peridotgauge {

void ConfigFeed::Publish(uint64_t revision, uint64_t index, const std::string& text) {
  if (revision == 0 || index == this->config_index) return;
  this->config_index = index;
  this->packages.clear();
  this->texts.push_back({revision, TextDigest(text), text});
  if (this->texts.size() > kMaxFeedTexts) this->texts.pop_front();
}

const ConfigFeed::Text* ConfigFeed::Find(uint64_t revision, uint64_t digest) const {
  const auto found = std::find_if(this->texts.begin(), this->texts.end(), [&](const Text& text) {
    return text.revision == revision && text.digest == digest;
  });
  return found == this->texts.end() ? nullptr : &*found;
}

const ConfigPackage& ConfigFeed::PackageFor(uint64_t revision, uint64_t digest) {
  const Text* base = this->Find(revision, digest);
  const uint64_t base_revision = base == nullptr ? 0 : base->revision;
  const auto [found, inserted] = this->packages.try_emplace(base_revision);
  if (inserted) {
    const Text& published = this->texts.back();
    found->second = {
        .base_revision = base_revision,
        .digest = published.digest,
        .packed = PackText(published.text, base == nullptr ? std::string_view{} : base->text)};
  }
  return found->second;
}

Result<std::string> OpenPackage(const ConfigPackage& package, const std::string& base) {
  Result<std::string> text = UnpackText(package.packed, base, kMaxConfigBytes);
  if (!text) return text;
  if (TextDigest(*text) != package.digest) {
    return Fail(ErrorCode::kCorrupt, "configuration package: the digest of the text differs");
  }
  return text;
}

}  // namespace peridotgauge
