// Converts between the core's value types and the generated wire types.
#include "core/records.h"

#include <cmath>

namespace peridotgauge {

std::string_view NameOf(TargetState state) {
  const auto index = static_cast<size_t>(state);
  return index < kTargetStateNames.size() ? kTargetStateNames[index] : "unknown";
}

std::unique_ptr<wire::TargetRecordT> ToWire(const TargetRecord& record) {
  auto out = std::make_unique<wire::TargetRecordT>();
  out->target = record.target;
  out->address = record.address;
  out->service = record.service;
  out->data_centre = record.data_centre;
  out->incarnation = record.incarnation;
  out->sequence = record.sequence;
  out->state = static_cast<wire::TargetState>(record.state);
  out->slots = record.slots;
  out->connections = record.connections;
  for (const Holding& held : record.holds) {
    out->holds.emplace_back(held.snapshot, held.shard, held.shards);
  }
  out->registrar = record.registrar;
  out->warmup_ms = static_cast<uint32_t>(WholeMillis(record.warmup));
  return out;
}

std::unique_ptr<wire::RouterRecordT> ToWire(const RouterRecord& record) {
  auto out = std::make_unique<wire::RouterRecordT>();
  out->id = record.id;
  out->incarnation = record.incarnation;
  out->data_centre = record.data_centre;
  out->http_address = record.http_address;
  out->peer_address = record.peer_address;
  out->draining = record.draining;
  return out;
}

std::unique_ptr<wire::QuarantineRecordT> ToWire(const QuarantineRecord& record) {
  auto out = std::make_unique<wire::QuarantineRecordT>();
  out->fingerprint = record.fingerprint;
  out->until_ms = record.until_ms;
  out->suspect = record.suspect;
  out->services = record.services;
  return out;
}

TargetRecord FromWire(const wire::TargetRecordT& record) {
  TargetRecord out{.target = record.target,
                   .address = record.address,
                   .service = record.service,
                   .data_centre = record.data_centre,
                   .incarnation = record.incarnation,
                   .sequence = record.sequence,
                   .state = static_cast<TargetState>(record.state),
                   .slots = record.slots,
                   .connections = record.connections,
                   .holds = {},
                   .registrar = record.registrar,
                   .warmup = Millis(record.warmup_ms)};
  for (const wire::Holding& held : record.holds) {
    out.holds.push_back({held.snapshot(), held.shard(), held.shards()});
  }
  return out;
}

RouterRecord FromWire(const wire::RouterRecordT& record) {
  return {.id = record.id,
          .incarnation = record.incarnation,
          .data_centre = record.data_centre,
          .http_address = record.http_address,
          .peer_address = record.peer_address,
          .draining = record.draining};
}

QuarantineRecord FromWire(const wire::QuarantineRecordT& record) {
  return {.fingerprint = record.fingerprint,
          .until_ms = record.until_ms,
          .suspect = record.suspect,
          .services = record.services};
}

std::vector<std::unique_ptr<wire::ExtraDebtT>> ToWire(const ExtraDebts& debts) {
  std::vector<std::unique_ptr<wire::ExtraDebtT>> out;
  for (const auto& [service, amount] : debts) {
    auto wire = std::make_unique<wire::ExtraDebtT>();
    wire->service = service;
    wire->amount = amount;
    out.push_back(std::move(wire));
  }
  return out;
}

ExtraDebts FromWire(const std::vector<std::unique_ptr<wire::ExtraDebtT>>& debts) {
  ExtraDebts out;
  for (const auto& debt : debts) {
    if (debt && std::isfinite(debt->amount) && debt->amount > 0) out[debt->service] = debt->amount;
  }
  return out;
}

}  // namespace peridotgauge
