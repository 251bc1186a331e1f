// The room of a process for its callers: the connections that it accepts on all its listeners, and
// the memory that they make it keep. Decides which connection to close when the room ends.
//
// Use:
//   auto room = std::make_shared<CallerRoom>(CallerRoomLimits{.connections = 3'000,
//                                                             .bytes = 40 << 20});
//   CallerRoom::Member member(room, now, [&] { connection.Close(); });
//   if (!room->MakeRoom(member)) Refuse();         // after accepting
//   if (!member.Keep(now, bytes)) Refuse();        // before more is kept
//   member.OnProgress(now, received);              // bytes received or written
//
// Contract: while there is room, no connection is closed. When it ends, connections are closed in
// the order of their last progress, the oldest first, but none whose request runs. A connection
// makes progress when kProgressBytes were received or written since the last time, or a request or
// response is complete, so a client that sends or reads byte by byte makes none. The callback of a
// member closes its connection at once, which may destroy the member; it is called at most once,
// and never for the member that asks for room. Not thread-safe.
#ifndef PERIDOTGAUGE_CORE_CALLER_ROOM_H_
#define PERIDOTGAUGE_CORE_CALLER_ROOM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "core/types.h"

namespace peridotgauge {

struct CallerRoomLimits {
  size_t connections = 4'096;
  size_t bytes = 64 << 20;
};

class CallerRoom {
 public:
  class Member;

  // Bytes that count as progress. A connection that transfers less between two looks at it may be
  // closed before one that is idle for a shorter time.
  static constexpr size_t kProgressBytes = 1'024;
  // A request that keeps no more than this is small: it may use the last part of the memory, which
  // large ones leave free, and closes connections that have made progress a moment ago.
  static constexpr size_t kSmallBytes = 64 << 10;
  // Part of the memory that only small requests may use.
  static constexpr double kSmallShare = 1.0 / 8;
  // A connection is closed for the memory of a large request only if it has made no progress for
  // this time. Otherwise large requests that arrive together would close each other.
  static constexpr Duration kStallTime = Millis(500);

  explicit CallerRoom(CallerRoomLimits limits) : limits(limits) {}
  CallerRoom(const CallerRoom&) = delete;
  CallerRoom& operator=(const CallerRoom&) = delete;

  // Closes other connections if there are more than the limit. Returns false if too many remain,
  // because their requests run.
  bool MakeRoom(const Member& accepted);

  const CallerRoomLimits& Limits() const { return this->limits; }
  size_t Connections() const { return this->connections; }
  size_t UsedBytes() const { return this->used; }
  // Returns the number of connections closed to make room.
  uint64_t Closed() const { return this->closed; }
  // Returns how often memory was refused.
  uint64_t Refused() const { return this->refused; }

 private:
  using Order = std::list<Member*>;

  // Closes the first connection in the order other than `asking`, unless it has made progress after
  // `stalled_since`. Returns false if none was closed.
  bool CloseOne(const Member& asking, Time stalled_since);

  const CallerRoomLimits limits;
  size_t connections = 0;
  size_t used = 0;
  uint64_t closed = 0;
  uint64_t refused = 0;
  Order order;  // members that may be closed, the oldest progress first
};

// One connection. Counts until it is destroyed.
class CallerRoom::Member {
 public:
  Member(std::shared_ptr<CallerRoom> room, Time now, std::function<void()> close);
  ~Member();
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  // Sets the bytes that the connection keeps. Returns false, without a change, if more are needed
  // than there is room for.
  bool Keep(Time now, size_t bytes);
  // Counts received or written bytes.
  void OnProgress(Time now, size_t bytes);
  // A request or a response is complete.
  void OnComplete(Time now);
  // Whether the connection may be closed; not while its request runs.
  void AllowClose(bool allowed);
  size_t Bytes() const { return this->bytes; }

 private:
  friend class CallerRoom;
  // Moves the member to its place in the order.
  void Place();
  void Leave();

  std::shared_ptr<CallerRoom> room;
  std::function<void()> close;  // empty once it was called
  bool listed = false;
  Order::iterator place;  // valid if `listed`
  Time last_progress;
  size_t since_progress = 0;  // bytes
  size_t bytes = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_CALLER_ROOM_H_
