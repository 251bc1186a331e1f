// The owner's queue for one target: dispatch in deadline order, an adaptive concurrency limit, and
// the number of connections.
//
// Use:
//   TargetQueue queue(now, {.slots = 5, .connections = 40, .cold = true});
//   if (Result<void> pushed = queue.Push(now, id, deadline); !pushed) Refuse(pushed.error());
//   QueueWork work = queue.Poll(now);          // after every event, and at NextTimer()
//   queue.OnDone(now, id, {.kind = ExchangeKind::kAnswered, .service_time = time});
//
// Contract: an entry is dispatched only if InFlight() < Limit(), and Limit() is at most the number
// of slots and of connections. Entries leave in deadline order; equal deadlines in order of
// arrival. Every pushed id leaves exactly once: it is dispatched, dropped with an error that proves
// that it did not run, or cancelled while it waits. OnDone() must be called exactly once after each
// dispatch.
#ifndef PERIDOTGAUGE_CORE_TARGET_QUEUE_H_
#define PERIDOTGAUGE_CORE_TARGET_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "core/error.h"
#include "core/types.h"

namespace peridotgauge {

constexpr uint32_t kQueuedPerSlot = 64;
// A cold target starts with one request at a time and uses all slots after this time.
constexpr Duration kWarmUpDuration = Seconds(3);
// Factor by which a shed request decreases the limit.
constexpr double kLimitDecrease = 0.7;
// A second shed request within this time belongs to the same overload and does not decrease the
// limit again.
constexpr Duration kDecreaseInterval = Millis(100);
// The fastest service time is the minimum over the last one to two periods of this length.
constexpr Duration kServiceTimePeriod = Seconds(5);

struct QueueOptions {
  uint32_t slots = 1;
  uint32_t connections = 1;
  bool cold = false;           // the target has just started
  bool adaptive_limit = true;  // false: the limit is always the number of slots
};

// How an exchange with the target ended.
enum class ExchangeKind : uint8_t {
  kAnswered,   // the target replied, with a result or an error
  kShed,       // the target refused it without executing it
  kFailed,     // the connection failed, or the reply did not arrive before the deadline
  kCancelled,  // cancelled by the router
};

struct Exchange {
  ExchangeKind kind = ExchangeKind::kAnswered;
  Duration service_time{};
};

struct QueueDrop {
  uint64_t id = 0;
  Error error;
};

struct QueueWork {
  std::vector<uint64_t> dispatch;
  std::vector<QueueDrop> drops;
};

enum class CancelResult : uint8_t {
  kRemoved,  // the entry was waiting and has been removed
  kRunning,  // the entry was dispatched; close its connection, then call OnDone()
  kUnknown,
};

class TargetQueue {
 public:
  TargetQueue(Time now, QueueOptions options);

  // Adds an entry. Returns kOverloaded if the queue is full or the deadline cannot be met,
  // kNoTarget if the target is draining. `id` must not be in the queue or running.
  Result<void> Push(Time now, uint64_t id, Time deadline);
  // Removes and returns the entries that can be dispatched now, and those that can no longer meet
  // their deadline.
  QueueWork Poll(Time now);
  void OnDone(Time now, uint64_t id, const Exchange& exchange);
  CancelResult Cancel(uint64_t id);

  // Sets the values that the target registered, already limited by the configuration.
  void SetLimits(uint32_t slots, uint32_t connections);
  // Stops dispatching until Resume() or Restart(). The next Poll() drops the waiting entries.
  void Drain() { this->draining = true; }
  // Resumes dispatching to a target that cancelled its drain or registered again without a restart.
  void Resume() { this->draining = false; }
  // Stops dispatching while the owner is not allowed to (fence or lease); entries keep waiting.
  void SetPaused(bool paused) { this->paused = paused; }
  // Starts a new warm-up after the target has restarted. Running exchanges keep their slots until
  // OnDone().
  void Restart(Time now);

  // Returns when Poll() may have new work without another event, or nullopt if it cannot.
  std::optional<Time> NextTimer(Time now) const;

  uint32_t InFlight() const { return static_cast<uint32_t>(this->running.size()); }
  size_t Queued() const { return this->waiting.size(); }
  uint32_t Limit(Time now) const;
  bool Draining() const { return this->draining; }
  // Returns the load that replies report: the number of queued and running requests.
  uint32_t Load() const { return this->InFlight() + static_cast<uint32_t>(this->Queued()); }

  // --- Connections: those that are open or being opened ---
  // Returns true if another connection may be opened.
  bool MayConnect() const { return this->open_connections < this->options.connections; }
  void OnConnecting() { ++this->open_connections; }
  void OnDisconnected();
  uint32_t OpenConnections() const { return this->open_connections; }
  // Returns the number of idle connections to keep open: one per slot, within the connection limit.
  uint32_t WarmConnections() const;

 private:
  struct Waiting {
    Time deadline;
    uint64_t arrival = 0;
    uint64_t id = 0;
    bool operator<(const Waiting& other) const {
      return std::tie(this->deadline, this->arrival) < std::tie(other.deadline, other.arrival);
    }
  };

  size_t Capacity() const { return size_t{this->options.slots} * kQueuedPerSlot; }
  bool CanMeetDeadline(Time now, Time deadline) const;
  // Returns the fastest recent service time; 0 if unknown.
  Duration FastestServiceTime(Time now) const;
  void AddServiceTime(Time now, Duration sample);
  void DecreaseLimit(Time now);

  QueueOptions options;
  bool draining = false;
  bool paused = false;
  std::optional<Time> warm_up_start;  // of the last warm-up; absent if there was none
  double adaptive_slots = 0;          // 1 to slots
  std::optional<Time> decreased;
  uint64_t arrivals = 0;
  std::set<Waiting> waiting;
  std::unordered_map<uint64_t, Waiting> waiting_by_id;  // the same entries
  std::set<uint64_t> running;
  uint32_t open_connections = 0;
  // Fastest service times of the current and the previous period.
  Time period_start{};
  std::optional<Duration> fastest;
  std::optional<Duration> previous_fastest;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_TARGET_QUEUE_H_
