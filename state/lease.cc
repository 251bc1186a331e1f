// The configuration lease of a router.
#include "state/lease.h"

#include <algorithm>

namespace peridotgauge {

void Lease::Renew(Time sent) {
  const Time candidate = sent + kLeaseLength;
  this->end = this->end ? std::max(*this->end, candidate) : candidate;
}

void Lease::Invalidate() { this->end.reset(); }

bool Lease::Valid(Time now) const { return this->end && now < *this->end; }

}  // namespace peridotgauge
