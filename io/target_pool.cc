#include "io/target_pool.h"

#include <algorithm>

namespace peridotgauge {

HttpClientOptions TargetPool::OptionsOf(const std::string& service) const {
  const auto limit = this->connection_limits.find(service);
  const size_t connections =
      limit == this->connection_limits.end() ? 1 : std::max<size_t>(limit->second, 1);
  return {.max_connections = connections};
}

void TargetPool::SetConnectionLimit(const std::string& service, size_t connections) {
  size_t& limit = this->connection_limits[service];
  if (limit == connections) return;
  limit = connections;
  for (auto& [target, incarnations] : this->entries) {
    for (Entry& entry : incarnations) {
      if (entry.service == service) entry.client->SetOptions(this->OptionsOf(service));
    }
  }
}

const TargetPool::Entry* TargetPool::Find(const TargetRecord& record) const {
  const auto found = this->entries.find(record.target);
  if (found == this->entries.end()) return nullptr;
  const Entry* later = nullptr;
  for (const Entry& entry : found->second) {
    if (entry.address != record.address) continue;
    if (entry.incarnation == record.incarnation) return &entry;
    if (entry.incarnation > record.incarnation) later = &entry;
  }
  return later;
}

HttpClient& TargetPool::ClientFor(const TargetRecord& record) {
  if (const Entry* known = this->Find(record)) return *known->client;
  std::vector<Entry>& incarnations = this->entries[record.target];
  Retire(incarnations, record);
  incarnations.push_back(
      {.incarnation = record.incarnation,
       .address = record.address,
       .service = record.service,
       .data_centre = record.data_centre,
       .client = std::make_unique<HttpClient>(
           this->io, record.address, this->OptionsOf(record.service),
           [this, target = record.target](const HttpHeader& echo, std::string_view value) {
             if (this->on_stray) this->on_stray(target, echo, value);
           },
           this->budget)});
  return *incarnations.back().client;
}

void TargetPool::Retire(std::vector<Entry>& entries, const TargetRecord& newest) {
  std::erase_if(entries, [&](const Entry& entry) {
    return entry.incarnation <= newest.incarnation && entry.client->Status().running == 0;
  });
  for (Entry& entry : entries) {
    if (entry.incarnation > newest.incarnation) continue;
    entry.client->FailWaiting("the target has started again");
    // Closes its idle connections, which count against the limit of a process at the same address.
    entry.client->SetOptions({.max_connections = 1});
  }
}

void TargetPool::Cancel(const TargetRecord& record, uint64_t call) {
  // A client is destroyed once its calls have ended.
  if (const Entry* entry = this->Find(record)) entry->client->Cancel(call);
}

bool TargetPool::HasFreeConnection(const TargetRecord& record) const {
  const Entry* entry = this->Find(record);
  if (entry == nullptr) return true;
  const HttpClientStatus status = entry->client->Status();
  const size_t limit = this->OptionsOf(record.service).max_connections;
  return status.waiting == 0 && (status.idle > 0 || status.connections < limit);
}

TargetConnections TargetPool::ConnectionsTo(const TargetRecord& record) const {
  TargetConnections connections{.allowed = this->OptionsOf(record.service).max_connections};
  const Entry* entry = this->Find(record);
  if (entry == nullptr) return connections;
  const HttpClientStatus status = entry->client->Status();
  connections.used = status.connections;
  connections.waiting = status.waiting;
  return connections;
}

void TargetPool::FailWaiting(const TargetRecord& record, const std::string& reason) {
  const auto found = this->entries.find(record.target);
  if (found == this->entries.end()) return;
  for (Entry& entry : found->second) {
    if (entry.incarnation > record.incarnation || entry.client->Status().waiting == 0) continue;
    entry.client->FailWaiting(reason);
  }
}

void TargetPool::FailWaitingIn(const std::vector<std::string>& data_centres,
                               const std::string& reason) {
  for (auto& [target, incarnations] : this->entries) {
    for (Entry& entry : incarnations) {
      const bool affected = std::find(data_centres.begin(), data_centres.end(),
                                      entry.data_centre) != data_centres.end();
      if (affected && entry.client->Status().waiting > 0) entry.client->FailWaiting(reason);
    }
  }
}

void TargetPool::RemoveIdleExcept(const std::map<std::string, TargetRecord>& targets) {
  for (auto& [target, incarnations] : this->entries) {
    const auto known = targets.find(target);
    std::erase_if(incarnations, [&](const Entry& entry) {
      const bool current = known != targets.end() &&
                           known->second.incarnation == entry.incarnation &&
                           known->second.address == entry.address;
      return !current && entry.client->Status().running == 0;
    });
  }
  std::erase_if(this->entries, [](const auto& item) { return item.second.empty(); });
}

}  // namespace peridotgauge
