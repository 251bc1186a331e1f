// Lengths of pauses, and which of them are logged.
#include "core/loop_pauses.h"

#include <algorithm>
#include <utility>

namespace peridotgauge {

std::optional<LoopPause> LoopPauses::Check(const LoopSample& sample) {
  const std::optional<LoopSample> previous = std::exchange(this->last, sample);
  if (!previous) return std::nullopt;
  LoopPause pause;
  pause.length = std::max(sample.now - previous->now - kLoopCheckInterval, Duration(0));
  this->longest.Set(sample.now, static_cast<size_t>(pause.length.count()));
  if (pause.length < kLongPause) return std::nullopt;
  if (this->logged && sample.now < *this->logged + kPauseLogInterval &&
      pause.length < kPauseLogGrowth * this->logged_length) {
    ++this->left_out;
    return std::nullopt;
  }
  this->logged = sample.now;
  this->logged_length = pause.length;
  pause.cpu = sample.cpu - previous->cpu;
  if (sample.queued && previous->queued) pause.queued = *sample.queued - *previous->queued;
  pause.left_out = std::exchange(this->left_out, 0);
  return pause;
}

Duration LoopPauses::Longest(Time now) const {
  return Duration(static_cast<int64_t>(this->longest.Get(now)));
}

}  // namespace peridotgauge
