// Fakes of the search policies and a factory of target records, shared by tests.
#ifndef PERIDOTGAUGE_TESTING_SEARCH_FAKES_H_
#define PERIDOTGAUGE_TESTING_SEARCH_FAKES_H_

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "core/records.h"
#include "core/search_policy.h"

namespace peridotgauge {

inline TargetRecord MakeTarget(std::string name, std::string service, std::vector<Holding> holds,
                               TargetState state = TargetState::kServing) {
  return {.target = std::move(name),
          .service = std::move(service),
          .incarnation = 1,
          .state = state,
          .holds = std::move(holds)};
}

// Chooses at random among the candidates that are not excluded.
class FakeChooser : public ReplicaChooser {
 public:
  explicit FakeChooser(uint64_t seed = 1) : random(seed) {}
  const TargetRecord* Choose(Time, Candidates candidates, Candidates excluded) override {
    std::vector<const TargetRecord*> left;
    for (const TargetRecord* candidate : candidates) {
      const bool tried = std::any_of(excluded.begin(), excluded.end(), [&](const auto* other) {
        return other->target == candidate->target;
      });
      if (!tried) left.push_back(candidate);
    }
    return left.empty() ? nullptr : left[this->random() % left.size()];
  }

 private:
  std::mt19937_64 random;
};

// A budget with a fixed number of tokens.
class FakeBudget : public ExtraAttemptBudget {
 public:
  std::optional<Duration> HedgeDelay(Time, std::string_view) override { return this->delay; }
  void CountNeeded(Time, std::string_view, uint32_t count) override { this->needed += count; }
  bool Spend(Time, std::string_view, ExtraAttemptKind kind) override {
    if (this->overloaded) return false;
    if (kind == ExtraAttemptKind::kOverdraftRetry) {
      ++this->overdraft_retries;
      return true;
    }
    if (this->tokens == 0) return false;
    --this->tokens;
    ++this->spent;
    return true;
  }

  std::optional<Duration> delay = Millis(20);
  uint32_t tokens = 0;
  bool overloaded = false;
  uint32_t needed = 0;
  uint32_t spent = 0;
  uint32_t overdraft_retries = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_SEARCH_FAKES_H_
