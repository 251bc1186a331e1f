// The configuration as routers receive it: the published revision, and its text packed against the
// revisions that routers hold.
//
// Use, leader:
//   feed.Publish(state);                                   // when a round of pushes begins
//   ConfigPackage package = feed.PackageFor(known_revision, known_digest);
// Use, router:
//   Result<std::string> text = OpenPackage(package, held_text);
//
// Contract: a package for a known revision has to be opened with exactly that text; the digest of
// the result proves it. Each pair of revisions is packed once. Texts of at most kMaxFeedTexts
// revisions are kept; a router that holds an older one gets the whole text.
//
// Load pattern: 191 routers receive a revision with 1,800 routes (400 KB) every 60 ms. As whole
// texts that is more than the links between data centres and the leader's processor can carry.
#ifndef PERIDOTGAUGE_STATE_CONFIG_FEED_H_
#define PERIDOTGAUGE_STATE_CONFIG_FEED_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "core/error.h"

namespace peridotgauge {

// Routers hold the published revision or one of the few before it, unless they were cut off.
constexpr size_t kMaxFeedTexts = 4;

struct ConfigPackage {
  uint64_t base_revision = 0;  // revision that the package refers to; 0: none
  uint64_t digest = 0;         // TextDigest() of the packed text
  std::string packed;
  auto operator<=>(const ConfigPackage&) const = default;
};

class ConfigFeed {
 public:
  // Publishes a revision accepted at `config_index`. Does nothing if it is published already.
  void Publish(uint64_t revision, uint64_t config_index, const std::string& text);

  // Return 0 before the first revision.
  uint64_t Revision() const { return this->texts.empty() ? 0 : this->texts.back().revision; }
  uint64_t ConfigIndex() const { return this->config_index; }

  // Returns the published text for a router that holds `revision` with `digest`, or nothing (0).
  // Must not be called before the first Publish().
  const ConfigPackage& PackageFor(uint64_t revision, uint64_t digest);

 private:
  struct Text {
    uint64_t revision = 0;
    uint64_t digest = 0;
    std::string text;
  };
  const Text* Find(uint64_t revision, uint64_t digest) const;

  uint64_t config_index = 0;
  std::deque<Text> texts;                      // oldest first; the last one is published
  std::map<uint64_t, ConfigPackage> packages;  // of the published text, by base revision
};

// Returns the text of the package. `base` is the text of its base revision, or empty if it has
// none. Returns kCorrupt if the base is another one or the package is damaged.
Result<std::string> OpenPackage(const ConfigPackage& package, const std::string& base);

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_CONFIG_FEED_H_
