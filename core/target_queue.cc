// The owner's queue for one target.
#include "core/target_queue.h"

#include <algorithm>

namespace peridotgauge {
namespace {

// While a target warms up, the limit is looked at again after this time.
constexpr Duration kWarmUpStep = Millis(50);

}  // namespace

TargetQueue::TargetQueue(Time now, QueueOptions options)
    : options(options), adaptive(options.slots), period_start(now) {
  if (options.cold) this->warm_since = now;
}

Result<void> TargetQueue::Push(Time now, uint64_t id, Time deadline) {
  if (this->draining) return Fail(ErrorCode::kNoTarget, "the target is draining");
  if (!this->CanMeet(now, deadline)) {
    return Fail(ErrorCode::kOverloaded, "the deadline is shorter than the target's service time");
  }
  if (this->waiting.size() >= this->Capacity()) {
    return Fail(ErrorCode::kOverloaded, "the queue of the target is full");
  }
  const Waiting entry{.deadline = deadline, .arrival = this->arrivals++, .id = id};
  this->waiting.insert(entry);
  this->waiting_by_id.emplace(id, entry);
  return {};
}

QueueWork TargetQueue::Poll(Time now) {
  QueueWork work;
  while (!this->waiting.empty()) {
    const Waiting first = *this->waiting.begin();
    std::optional<Error> problem;
    if (this->draining) {
      problem = Error{ErrorCode::kNoTarget, "the target is draining"};
    } else if (!this->CanMeet(now, first.deadline)) {
      problem = Error{ErrorCode::kOverloaded, "the deadline could not be met any more"};
    } else if (this->paused || this->InFlight() >= this->Limit(now)) {
      break;
    }
    this->waiting.erase(this->waiting.begin());
    this->waiting_by_id.erase(first.id);
    if (problem) {
      work.drops.push_back({.id = first.id, .error = std::move(*problem)});
    } else {
      this->running.insert(first.id);
      work.dispatch.push_back(first.id);
    }
  }
  return work;
}

void TargetQueue::OnDone(Time now, uint64_t id, const Exchange& exchange) {
  if (this->running.erase(id) == 0) return;
  if (exchange.kind == ExchangeKind::kShed) this->Decrease(now);
  if (exchange.kind != ExchangeKind::kAnswered) return;
  this->AddServiceTime(now, exchange.service_time);
  // One more request at a time after as many answers as the limit.
  this->adaptive =
      std::min<double>(this->options.slots, this->adaptive + 1 / std::max(1.0, this->adaptive));
}

CancelResult TargetQueue::Cancel(uint64_t id) {
  if (this->running.count(id) > 0) return CancelResult::kRunning;
  const auto found = this->waiting_by_id.find(id);
  if (found == this->waiting_by_id.end()) return CancelResult::kUnknown;
  this->waiting.erase(found->second);
  this->waiting_by_id.erase(found);
  return CancelResult::kRemoved;
}

void TargetQueue::SetLimits(uint32_t slots, uint32_t connections) {
  // A target that gains slots uses them at once; a limit that was lowered by sheds stays low.
  if (this->adaptive >= this->options.slots) this->adaptive = slots;
  this->adaptive = std::min<double>(this->adaptive, slots);
  this->options.slots = slots;
  this->options.connections = connections;
}

void TargetQueue::Restart(Time now) {
  this->draining = false;
  this->warm_since = now;
  this->adaptive = this->options.slots;
  this->decreased.reset();
  this->period_start = now;
  this->fastest.reset();
  this->previous_fastest.reset();
}

std::optional<Time> TargetQueue::NextTimer(Time now) const {
  if (this->waiting.empty()) return std::nullopt;
  if (this->draining) return now;
  Time next = this->waiting.begin()->deadline - this->FastestServiceTime(now) + Duration(1);
  const bool warming = this->warm_since && now - *this->warm_since < kWarmUpTime;
  if (warming) next = std::min(next, now + kWarmUpStep);
  return std::max(next, now);
}

uint32_t TargetQueue::Limit(Time now) const {
  const uint32_t most = std::min(this->options.slots, this->options.connections);
  if (!this->options.adaptive_limit) return most;
  double limit = std::max(1.0, this->adaptive);
  if (this->warm_since && now - *this->warm_since < kWarmUpTime) {
    const double warmth = std::chrono::duration<double>(now - *this->warm_since) / kWarmUpTime;
    limit = std::min(limit, 1 + (this->options.slots - 1) * warmth);
  }
  return std::min(most, static_cast<uint32_t>(limit));
}

void TargetQueue::OnDisconnected() {
  if (this->open_connections > 0) --this->open_connections;
}

uint32_t TargetQueue::WarmConnections() const {
  return std::min(this->options.slots, this->options.connections);
}

bool TargetQueue::CanMeet(Time now, Time deadline) const {
  return now < deadline && now + this->FastestServiceTime(now) <= deadline;
}

// Samples older than two periods are forgotten, so a target that was slow gets a chance again.
Duration TargetQueue::FastestServiceTime(Time now) const {
  const Duration age = now - this->period_start;
  std::optional<Duration> least;
  if (age < 2 * kServiceTimePeriod) least = this->fastest;
  if (age < kServiceTimePeriod && this->previous_fastest) {
    least = least ? std::min(*least, *this->previous_fastest) : this->previous_fastest;
  }
  return least.value_or(Duration(0));
}

void TargetQueue::AddServiceTime(Time now, Duration sample) {
  const Duration age = now - this->period_start;
  if (age >= kServiceTimePeriod) {
    this->previous_fastest = age < 2 * kServiceTimePeriod ? this->fastest : std::nullopt;
    this->fastest.reset();
    this->period_start = now;
  }
  this->fastest = this->fastest ? std::min(*this->fastest, sample) : sample;
}

void TargetQueue::Decrease(Time now) {
  if (this->decreased && now - *this->decreased < kDecreaseInterval) return;
  this->decreased = now;
  // The requests in flight were too many, so the limit starts from their number.
  const double load = std::min<double>(this->adaptive, this->InFlight() + 1);
  this->adaptive = std::max(1.0, load * kLimitDecrease);
}

}  // namespace peridotgauge
