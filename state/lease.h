// The configuration lease of a router.
//
// Use:
//   lease.Renew(sent);                     // on a successful reply to the request sent then
//   if (!lease.Valid(now)) Refuse(ErrorCode::kNotSynchronized);
//
// Contract: the lease starts when the request is *sent*. The leader's session starts when the
// request arrives and is longer by kSessionMargin, so it never ends before the lease.
#ifndef PERIDOTGAUGE_STATE_LEASE_H_
#define PERIDOTGAUGE_STATE_LEASE_H_

#include <optional>

#include "core/types.h"

namespace peridotgauge {

constexpr Duration kLeaseLength = Seconds(2);
// Covers the difference between the clock rates of two hosts.
constexpr Duration kSessionMargin = Millis(500);
constexpr Duration kSessionLength = kLeaseLength + kSessionMargin;

class Lease {
 public:
  // Extends the lease after a successful reply to a request sent at `sent`. Never shortens the
  // lease.
  void Renew(Time sent);
  // Ends the lease immediately.
  void Invalidate();
  bool Valid(Time now) const;
  // Returns the end of the lease, or nothing if there is none.
  std::optional<Time> End() const { return this->end; }

 private:
  std::optional<Time> end;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_LEASE_H_
