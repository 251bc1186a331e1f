// Sets the fields of the controllers' events.
#include "io/control_events.h"

#include "io/clock.h"
#include "io/target_event.h"

namespace peridotgauge {

void ControlEvents::Write(const Event& event) {
  if (this->log != nullptr) this->log->Write(SteadyNow(), UnixMillis(), event);
}

void ControlEvents::LeadershipChanged(bool leading, uint64_t term) {
  this->Write(Event("leadership").Add("leading", leading).Add("term", term));
}

void ControlEvents::RouterJoining(const RouterRecord& router) {
  this->Write(Event("router_joins")
                  .Add("router", router.id)
                  .Add("incarnation", router.incarnation)
                  .Add("address", router.http_address));
}

void ControlEvents::RouterExpired(const RouterId& router) {
  this->Write(
      Event("router_expired").Add("router", router.id).Add("incarnation", router.incarnation));
}

void ControlEvents::WriteTargetEvent(std::string_view name, const TargetRecord& target,
                                     uint64_t directory_version) {
  this->Write(TargetEvent(name, target, target.state, directory_version)
                  .Add("incarnation", target.incarnation));
}

void ControlEvents::RoutersOffered(size_t count, size_t active) {
  this->Write(Event("routers_offered").Add("count", count).Add("active", active));
}

void ControlEvents::TargetRegistered(const TargetRecord& target, uint64_t directory_version) {
  this->WriteTargetEvent("target_registered", target, directory_version);
}

void ControlEvents::TargetRemoved(const TargetRecord& target, uint64_t directory_version) {
  this->WriteTargetEvent("target_removed", target, directory_version);
}

void ControlEvents::TargetExpired(const TargetRecord& target, uint64_t directory_version) {
  this->WriteTargetEvent("target_expired", target, directory_version);
}

void ControlEvents::HeartbeatRefused(const TargetRecord& target, const Error& error) {
  this->Write(Event("heartbeat_refused")
                  .Add("target", target.target)
                  .Add("sequence", target.sequence)
                  .Add("error", error.ToString()));
}

void ControlEvents::HeartbeatStale(const TargetRecord& target) {
  this->Write(Event("heartbeat_stale")
                  .Add("target", target.target)
                  .Add("incarnation", target.incarnation)
                  .Add("sequence", target.sequence));
}

void ControlEvents::DepartureAcknowledged(const std::string& target,
                                          const std::optional<Departure>& departure,
                                          Duration waited) {
  const Departure recorded = departure.value_or(Departure{});
  this->Write(Event("departure_acknowledged")
                  .Add("target", target)
                  .Add("incarnation", recorded.incarnation)
                  .Add("sequence", recorded.sequence)
                  .Add("recorded", departure.has_value())
                  .Add("waited_ms", waited));
}

void ControlEvents::EvacuationDecided(const wire::SetEvacuationT& command,
                                      const wire::CommandReplyT& reply) {
  const auto code = static_cast<ErrorCode>(reply.error);
  this->Write(Event("evacuation_decided")
                  .Add("data_centre", command.data_centre)
                  .Add("evacuated", command.evacuated)
                  .Add("index", reply.index)
                  .Add("error", reply.error < 0 ? "" : Error{code, reply.detail}.ToString()));
}

void ControlEvents::ConfigRefused(const Error& error) {
  this->Write(Event("config_refused").Add("error", error.ToString()));
}

void ControlEvents::ConfigDecided(uint64_t revision, const wire::CommandReplyT& reply) {
  const bool accepted = reply.error < 0;
  this->Write(Event("config_decided")
                  .Add("revision", revision)
                  .Add("accepted", accepted)
                  .Add("index", reply.index)
                  .Add("error", accepted ? "" : InfoOf(static_cast<ErrorCode>(reply.error)).name));
}

}  // namespace peridotgauge
