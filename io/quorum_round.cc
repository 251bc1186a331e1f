// Runs quorum rounds one at a time.
#include "io/quorum_round.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "io/clock.h"

namespace peridotgauge {

void QuorumRounds::Confirm(Callback callback) {
  this->waiting.push_back(std::move(callback));
  if (std::exchange(this->round_active, true)) return;
  // The round starts from the event loop, so that requests that arrive in the same turn share it.
  boost::asio::post(this->io, [weak = this->weak_from_this()] {
    if (auto self = weak.lock()) self->StartRound();
  });
}

void QuorumRounds::StartRound() {
  auto batch = std::make_shared<std::vector<Callback>>();
  batch->swap(this->waiting);
  this->log.ConfirmRead(SteadyNow() + kQuorumTimeout,
                        [weak = this->weak_from_this(), batch](const Result<uint64_t>& result) {
                          auto self = weak.lock();
                          if (!self) return;
                          for (const Callback& callback : *batch) callback(result);
                          if (!self->waiting.empty()) return self->StartRound();
                          self->round_active = false;
                        });
}

}  // namespace peridotgauge
