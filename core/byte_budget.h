// Bound on the sum of the bytes that a process keeps for others: responses of targets that are not
// complete, answers that wait for slow callers, bodies of requests.
//
// Use:
//   auto budget = std::make_shared<ByteBudget>(64 << 20);
//   ByteBudget::Account account(budget);
//   account.AllowCut(target, ByteBudget::CutOrder::kFirst, [] { /* schedules the end */ });
//   account.Set(body.capacity());                 // whenever it changes
//   if (!budget->Fits(length)) Refuse();          // where nothing may be cut
//
// Contract: when the sum exceeds the limit, accounts are cut until the rest fits: those whose size
// is not known before those with a known one, and among them the largest one of the owner whose
// accounts hold the most together. So a peer that sends without end loses its own exchanges first,
// and a large response of another peer goes on. Each account is cut at most once, or once more
// after it has forbidden that. One that does not allow it is never cut, but counts. The callback
// releases memory and schedules the end of what it belongs to; it must not use the budget. Not
// thread-safe.
#ifndef PERIDOTGAUGE_CORE_BYTE_BUDGET_H_
#define PERIDOTGAUGE_CORE_BYTE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

namespace peridotgauge {

class ByteBudget {
 public:
  class Account;
  enum class CutOrder : uint8_t {
    kFirst,  // the size may grow without end
    kLast,   // the size is known
  };

  explicit ByteBudget(size_t limit) : limit(limit) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  size_t Limit() const { return this->limit; }
  size_t Used() const { return this->used; }
  // Returns true if `bytes` more do not exceed the limit.
  bool Fits(size_t bytes) const {
    return this->used <= this->limit && bytes <= this->limit - this->used;
  }
  // Returns the number of accounts that were cut.
  uint64_t Cuts() const { return this->cuts; }

 private:
  void Change(size_t before, size_t after);
  void CutDown();
  // Returns the account to cut next, or null if none allows it.
  Account* NextToCut() const;

  const size_t limit;
  size_t used = 0;       // sum of all accounts
  size_t being_cut = 0;  // part of `used` in accounts that were cut and have not ended
  uint64_t cuts = 0;
  std::unordered_set<Account*> accounts;
};

// The bytes of one exchange. Counts until it is destroyed.
class ByteBudget::Account {
 public:
  explicit Account(std::shared_ptr<ByteBudget> budget);
  ~Account();
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  // Allows to cut the account. `owner` is only compared with other owners.
  void AllowCut(const void* owner, CutOrder order, std::function<void()> cut);
  // What the account belongs to no longer ends, also if it was cut.
  void ForbidCut();
  void Set(size_t bytes);
  size_t Bytes() const { return this->bytes; }

 private:
  friend class ByteBudget;

  std::shared_ptr<ByteBudget> budget;
  const void* owner = nullptr;
  CutOrder order = CutOrder::kLast;
  std::function<void()> cut;  // empty if the account must not be cut
  bool was_cut = false;
  size_t bytes = 0;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_CORE_BYTE_BUDGET_H_
