// The simulated network and disks of the Raft tests.
#include "raft_cluster.h"

#include <algorithm>
#include <sstream>

namespace peridotgauge {
namespace {

constexpr Duration kTick = Millis(10);

void ApplyToDisk(const RaftWrite& write, RaftStoredState& disk) {
  if (write.snapshot) disk.snapshot = *write.snapshot;
  if (write.reset) disk.entries.clear();
  if (write.hard_state) disk.hard_state = *write.hard_state;
  for (const LogEntry& entry : write.entries) {
    std::erase_if(disk.entries, [&](const LogEntry& e) { return e.index >= entry.index; });
    disk.entries.push_back(entry);
  }
  std::erase_if(disk.entries, [&](const LogEntry& e) { return e.index <= disk.snapshot.index; });
}

std::string Join(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) out += line + "\n";
  return out;
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) out.push_back(line);
  return out;
}

}  // namespace

RaftCluster::RaftCluster(size_t size, uint64_t seed, uint64_t snapshot_interval,
                         size_t initial_size, size_t max_members, size_t tolerated_losses)
    : max_members(max_members),
      tolerated_losses(tolerated_losses),
      snapshot_interval(snapshot_interval),
      random(seed) {
  for (size_t i = 0; i < size; ++i) {
    const std::string id(1, static_cast<char>('a' + i));
    if (initial_size == 0 || i < initial_size) {
      this->initial.push_back({id, 0, "address-" + id});
    }
    this->nodes.push_back({.id = id});
  }
  for (size_t i = 0; i < size; ++i) this->Start(i);
}

void RaftCluster::Start(size_t i) {
  ClusterNode& node = this->nodes[i];
  if (node.raft) return;
  // As in replica.cc, the incarnation is stored before the first message is sent.
  if (node.disk.hard_state.incarnation == 0) node.disk.hard_state.incarnation = this->random() | 1;
  node.state.clear();
  node.applied = 0;
  node.reads.clear();
  if (node.disk.snapshot.index > 0) this->Restore(node, node.disk.snapshot);
  RaftOptions options{.id = node.id, .address = "address-" + node.id, .initial = this->initial};
  options.max_members = this->max_members;
  options.tolerated_losses = this->tolerated_losses;
  options.retained_entries = this->snapshot_interval / 4;
  options.random_seed = this->random();
  node.raft = std::make_unique<Raft>(options, node.disk, this->now);
  const uint64_t start = ++node.starts;
  this->ScheduleEvent(this->now + this->RandomDuration(Millis(0), kTick),
                      [=, this] { this->TickNode(i, start); });
  this->ProcessReady(i);
}

void RaftCluster::Crash(size_t i) {
  ClusterNode& node = this->nodes[i];
  if (!node.raft) return;
  std::uniform_int_distribution<size_t> survivors(0, node.unsynced_writes.size());
  const size_t synced_count = survivors(this->random);
  for (size_t k = 0; k < synced_count; ++k) ApplyToDisk(node.unsynced_writes[k], node.disk);
  node.unsynced_writes.clear();
  node.raft.reset();
  ++node.starts;
}

void RaftCluster::ReplaceDisk(size_t i) {
  this->Crash(i);
  this->nodes[i].disk = {};
}

void RaftCluster::Isolate(size_t i) {
  for (size_t k = 0; k < this->nodes.size(); ++k) {
    if (k == i) continue;
    this->BlockLink(i, k);
    this->BlockLink(k, i);
  }
}

void RaftCluster::Run(Duration time) {
  this->RunUntil([] { return false; }, time);
}

bool RaftCluster::RunUntil(const std::function<bool()>& done, Duration limit) {
  const Time end = this->now + limit;
  while (!done()) {
    if (this->events.empty() || this->events.begin()->first > end) {
      this->now = end;
      return done();
    }
    auto first = this->events.extract(this->events.begin());
    this->now = std::max(this->now, first.key());
    first.mapped()();
  }
  return true;
}

void RaftCluster::TickNode(size_t i, uint64_t start) {
  ClusterNode& node = this->nodes[i];
  if (!node.raft || node.starts != start) return;
  node.raft->Tick(this->now);
  this->ProcessReady(i);
  this->ScheduleEvent(this->now + kTick, [=, this] { this->TickNode(i, start); });
}

void RaftCluster::ProcessReady(size_t i) {
  ClusterNode& node = this->nodes[i];
  RaftReady ready = node.raft->TakeReady();
  for (const RaftMessage& message : ready.messages) this->Send(i, message);
  if (ready.write) this->Store(i, *ready.write);
  if (ready.restore) this->Restore(node, *ready.restore);
  for (const LogEntry& entry : ready.committed) this->Apply(node, entry);
  for (const ReadResult& read : ready.reads) {
    if (!read.confirmed) {
      node.refused_reads.push_back(read.id);
      continue;
    }
    node.confirmed.push_back(read.id);
    const auto position = this->command_count_at.upper_bound(read.index);
    const uint64_t seen =
        position == this->command_count_at.begin() ? 0 : std::prev(position)->second;
    if (seen < node.reads[read.id]) this->violations.push_back("stale read at " + node.id);
  }
  if (node.raft->Leading()) {
    const std::string me = node.id + std::to_string(node.raft->Incarnation());
    const auto [at, added] = this->leaders.emplace(node.raft->Term(), me);
    if (!added && at->second != me) this->violations.push_back("two leaders in a term");
  }
  if (node.applied >= node.raft->Log().Snapshot().index + this->snapshot_interval) {
    node.raft->Compact(node.applied, Join(node.state));
    this->ProcessReady(i);
  }
  if (node.raft->HasUndelivered()) this->ProcessReady(i);
}

void RaftCluster::Store(size_t i, const RaftWrite& write) {
  ClusterNode& node = this->nodes[i];
  node.unsynced_writes.push_back(write);
  const uint64_t start = node.starts;
  const uint64_t sequence = write.sequence;
  const Duration sync = this->RandomDuration(this->rates.min_sync, this->rates.max_sync);
  this->ScheduleEvent(this->now + sync, [=, this] {
    const ClusterNode& writer = this->nodes[i];
    if (!writer.raft || writer.starts != start) return;
    const bool synced = std::none_of(
        writer.unsynced_writes.begin(), writer.unsynced_writes.end(),
        [sequence](const RaftWrite& unsynced) { return unsynced.sequence <= sequence; });
    if (synced) return;
    if (!writer.disk_full) return this->Sync(i, sequence);
    writer.raft->OnStorageUnavailable(this->now);
    this->ProcessReady(i);
  });
}

void RaftCluster::Sync(size_t i, uint64_t sequence) {
  ClusterNode& writer = this->nodes[i];
  while (!writer.unsynced_writes.empty() && writer.unsynced_writes.front().sequence <= sequence) {
    ApplyToDisk(writer.unsynced_writes.front(), writer.disk);
    writer.unsynced_writes.erase(writer.unsynced_writes.begin());
  }
  writer.raft->OnPersisted(this->now, sequence);
  this->ProcessReady(i);
}

void RaftCluster::EmptyDisk(size_t i) {
  ClusterNode& node = this->nodes[i];
  node.disk_full = false;
  if (node.raft && !node.unsynced_writes.empty()) {
    this->Sync(i, node.unsynced_writes.back().sequence);
  }
}

void RaftCluster::Send(size_t from, const RaftMessage& message) {
  const size_t to = this->IndexOf(message.to);
  if (this->blocked_links.contains({from, to}) || this->Chance(this->rates.loss)) return;
  const int copies = this->Chance(this->rates.duplication) ? 2 : 1;
  // Messages are encoded and decoded to check that the receiver does not depend on local fields.
  const std::string bytes = EncodeMessage(message);
  for (int k = 0; k < copies; ++k) {
    const Duration delay = this->RandomDuration(this->rates.min_delay, this->rates.max_delay);
    this->ScheduleEvent(this->now + delay, [=, this] {
      if (!this->nodes[to].raft) return;
      this->nodes[to].raft->Step(this->now, *DecodeMessage(bytes));
      this->ProcessReady(to);
    });
  }
}

void RaftCluster::Apply(ClusterNode& node, const LogEntry& entry) {
  if (entry.index != node.applied + 1) this->violations.push_back("index gap at " + node.id);
  node.applied = entry.index;
  const std::string text = entry.kind == EntryKind::kCommand
                               ? entry.data
                               : "kind " + std::to_string(static_cast<int>(entry.kind));
  const auto [at, added] = this->command_at.emplace(entry.index, text);
  if (!added && at->second != text) {
    this->violations.push_back("different entry at index " + std::to_string(entry.index));
  }
  if (entry.kind == EntryKind::kCommand) node.state.push_back(entry.data);
  if (added) {
    if (entry.kind == EntryKind::kCommand) this->reference_log.push_back(entry.data);
    this->command_count_at[entry.index] = this->reference_log.size();
  }
  const size_t size = node.state.size();
  if (size == 0) return;
  if (size > this->reference_log.size() || node.state.back() != this->reference_log[size - 1]) {
    this->violations.push_back("state diverged at " + node.id);
  }
}

void RaftCluster::Restore(ClusterNode& node, const RaftSnapshot& snapshot) {
  node.state = Split(*snapshot.data);
  node.applied = snapshot.index;
  if (node.state.size() != this->command_count_at[snapshot.index] ||
      !std::equal(node.state.begin(), node.state.end(), this->reference_log.begin())) {
    this->violations.push_back("snapshot differs at " + node.id);
  }
}

std::optional<size_t> RaftCluster::Leader() const {
  std::optional<size_t> found;
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    const Raft* raft = this->nodes[i].raft.get();
    if (raft == nullptr || !raft->Leading()) continue;
    if (!found || raft->Term() > this->nodes[*found].raft->Term()) found = i;
  }
  return found;
}

bool RaftCluster::Propose(size_t i) {
  ClusterNode& node = this->nodes[i];
  if (!node.raft) return false;
  const Result<uint64_t> index =
      node.raft->Propose(this->now, "command " + std::to_string(this->next_command++));
  this->ProcessReady(i);
  if (index) node.proposed.push_back(*index);
  return index.has_value();
}

bool RaftCluster::CommitOne() { return this->CommitOneWithout(this->nodes.size()); }

bool RaftCluster::CommitOneWithout(size_t i) {
  const size_t before = this->reference_log.size();
  while (this->reference_log.size() == before) {
    if (!this->RunUntil([this] { return this->Leader().has_value(); })) return false;
    const size_t leader = *this->Leader();
    this->Propose(leader);
    this->RunUntil([&] { return this->reference_log.size() > before; }, Millis(500));
    if (this->now > TimeAt(0) + Seconds(600)) return false;
  }
  const size_t target = this->reference_log.size();
  return this->RunUntil([&] {
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const ClusterNode& node) {
      return !node.raft || node.raft->Role() == RaftRole::kFailed || node.state.size() >= target ||
             this->IndexOf(node.id) == i;
    });
  });
}

std::optional<uint64_t> RaftCluster::Read(size_t i) {
  ClusterNode& node = this->nodes[i];
  if (!node.raft) return std::nullopt;
  const Result<uint64_t> id = node.raft->RequestRead(this->now);
  if (id) node.reads[*id] = this->reference_log.size();
  this->ProcessReady(i);
  return id ? std::optional(*id) : std::nullopt;
}

size_t RaftCluster::UnadmittedCount() const {
  return std::count_if(this->nodes.begin(), this->nodes.end(), [](const ClusterNode& node) {
    return !(node.raft ? node.raft->Admitted() : node.disk.hard_state.admitted);
  });
}

Duration RaftCluster::RandomDuration(Duration low, Duration high) {
  return Duration(std::uniform_int_distribution<int64_t>(low.count(), high.count())(this->random));
}

bool RaftCluster::Chance(double probability) {
  return std::bernoulli_distribution(probability)(this->random);
}

size_t RaftCluster::IndexOf(const std::string& id) const { return id.front() - 'a'; }

}  // namespace peridotgauge
