// Implements ReplicatedLog by forwarding to a Replica.
#include "io/replicated_log.h"

#include <utility>

namespace peridotgauge {
namespace {

class ReplicaLog final : public ReplicatedLog {
 public:
  explicit ReplicaLog(Replica& replica) : replica(replica) {}

  void Propose(std::string command, Time deadline,
               std::function<void(Result<Applied>)> callback) override {
    this->replica.Propose(std::move(command), deadline, std::move(callback));
  }
  void ConfirmRead(Time deadline, std::function<void(Result<uint64_t>)> callback) override {
    this->replica.ConfirmRead(deadline, std::move(callback));
  }
  void ChangeMember(const ControllerAddress& member, uint64_t incarnation, bool remove,
                    Time deadline, std::function<void(Result<Applied>)> callback) override {
    this->replica.ChangeMember(member, incarnation, remove, deadline, std::move(callback));
  }
  bool Leading() const override { return this->replica.Leading(); }
  uint64_t Term() const override { return this->replica.Term(); }
  std::string Leader() const override { return this->replica.Leader(); }
  ReplicaStatus Status() const override { return this->replica.Status(); }

 private:
  Replica& replica;
};

}  // namespace

std::unique_ptr<ReplicatedLog> MakeReplicatedLog(Replica& replica) {
  return std::make_unique<ReplicaLog>(replica);
}

}  // namespace peridotgauge
