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
  for (auto& [target, entry] : this->entries) {
    if (entry.service == service) entry.client->SetOptions(this->OptionsOf(service));
  }
}

HttpClient& TargetPool::ClientFor(const TargetRecord& record) {
  Entry& entry = this->entries[record.target];
  const bool same =
      entry.client && entry.incarnation == record.incarnation && entry.address == record.address;
  if (!same) {
    entry = {.incarnation = record.incarnation,
             .address = record.address,
             .service = record.service,
             .data_centre = record.data_centre,
             .client = std::make_unique<HttpClient>(
                 this->io, record.address, this->OptionsOf(record.service),
                 [this, target = record.target](const HttpHeader& echo, std::string_view value) {
                   if (this->on_stray) this->on_stray(target, echo, value);
                 },
                 this->budget)};
  }
  return *entry.client;
}

void TargetPool::Cancel(const TargetRecord& record, uint64_t call) {
  const auto found = this->entries.find(record.target);
  if (found == this->entries.end()) return;
  const Entry& entry = found->second;
  // The calls of an earlier incarnation ended with its client.
  if (entry.incarnation != record.incarnation || entry.address != record.address) return;
  entry.client->Cancel(call);
}

bool TargetPool::HasFreeConnection(const TargetRecord& record) const {
  const auto found = this->entries.find(record.target);
  if (found == this->entries.end() || found->second.incarnation != record.incarnation) return true;
  const HttpClientStatus status = found->second.client->Status();
  const size_t limit = this->OptionsOf(record.service).max_connections;
  return status.waiting == 0 && (status.idle > 0 || status.connections < limit);
}

TargetConnections TargetPool::ConnectionsTo(const TargetRecord& record) const {
  TargetConnections connections{.allowed = this->OptionsOf(record.service).max_connections};
  const auto found = this->entries.find(record.target);
  if (found == this->entries.end() || found->second.incarnation != record.incarnation) {
    return connections;
  }
  const HttpClientStatus status = found->second.client->Status();
  connections.used = status.connections;
  connections.waiting = status.waiting;
  return connections;
}

void TargetPool::FailWaiting(const TargetRecord& record, const std::string& reason) {
  const auto found = this->entries.find(record.target);
  if (found == this->entries.end() || found->second.incarnation > record.incarnation) return;
  if (found->second.client->Status().waiting > 0) found->second.client->FailWaiting(reason);
}

void TargetPool::FailWaitingIn(const std::vector<std::string>& data_centres,
                               const std::string& reason) {
  for (auto& [target, entry] : this->entries) {
    const bool affected = std::find(data_centres.begin(), data_centres.end(), entry.data_centre) !=
                          data_centres.end();
    if (affected && entry.client->Status().waiting > 0) entry.client->FailWaiting(reason);
  }
}

void TargetPool::RemoveIdleExcept(const std::map<std::string, TargetRecord>& targets) {
  std::erase_if(this->entries, [&](const auto& item) {
    return !targets.contains(item.first) && item.second.client->Status().running == 0;
  });
}

}  // namespace peridotgauge
