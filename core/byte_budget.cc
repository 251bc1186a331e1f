// Accounting of kept bytes, and the choice of what to cut.
#include "core/byte_budget.h"

#include <map>
#include <tuple>
#include <utility>

namespace peridotgauge {

void ByteBudget::Change(size_t before, size_t after) {
  this->used = this->used - before + after;
  if (after > before) this->CutDown();
}

void ByteBudget::CutDown() {
  while (this->used - this->being_cut > this->limit) {
    Account* const account = this->NextToCut();
    if (account == nullptr) return;
    account->was_cut = true;
    this->being_cut += account->bytes;
    ++this->cuts;
    std::exchange(account->cut, nullptr)();
  }
}

ByteBudget::Account* ByteBudget::NextToCut() const {
  std::map<std::pair<CutOrder, const void*>, size_t> sums;
  for (const Account* account : this->accounts) {
    if (account->cut) sums[{account->order, account->owner}] += account->bytes;
  }
  const auto rank = [&](const Account& account) {
    return std::tuple(account.order == CutOrder::kFirst, sums[{account.order, account.owner}],
                      account.bytes);
  };
  Account* next = nullptr;
  for (Account* account : this->accounts) {
    if (!account->cut) continue;
    if (next == nullptr || rank(*account) > rank(*next)) next = account;
  }
  return next;
}

ByteBudget::Account::Account(std::shared_ptr<ByteBudget> budget) : budget(std::move(budget)) {
  this->budget->accounts.insert(this);
}

ByteBudget::Account::~Account() {
  this->budget->accounts.erase(this);
  this->budget->used -= this->bytes;
  if (this->was_cut) this->budget->being_cut -= this->bytes;
}

void ByteBudget::Account::AllowCut(const void* owner, CutOrder order, std::function<void()> cut) {
  this->owner = owner;
  this->order = order;
  if (this->was_cut) return;
  this->cut = std::move(cut);
  this->budget->CutDown();
}

// Without this, an answer that is complete before its cut takes effect would count as ending for as
// long as it waits for its caller, and others would be kept in its place.
void ByteBudget::Account::ForbidCut() {
  this->cut = nullptr;
  if (std::exchange(this->was_cut, false)) this->budget->being_cut -= this->bytes;
}

void ByteBudget::Account::Set(size_t bytes) {
  const size_t before = std::exchange(this->bytes, bytes);
  if (this->was_cut) this->budget->being_cut = this->budget->being_cut - before + bytes;
  this->budget->Change(before, bytes);
}

}  // namespace peridotgauge
