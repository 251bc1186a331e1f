#include "io/evacuations.h"

#include "io/clock.h"

namespace peridotgauge {

void Evacuations::OnChange(Time now, const std::vector<std::string>& data_centres,
                           const std::map<std::string, TargetRecord>& targets) {
  this->context.signals.SetEvacuated(data_centres);
  const std::string reason = "the data centre is evacuated";
  this->context.pool.FailWaitingIn(data_centres, reason);
  // Earlier incarnations of these targets may have been in other data centres.
  for (const auto& [name, record] : targets) {
    if (this->context.signals.IsEvacuated(record)) this->context.pool.FailWaiting(record, reason);
  }
  this->context.metrics.GaugeOf("peridotgauge_evacuated_data_centres")
      .Set(static_cast<double>(data_centres.size()));
  std::string names;
  for (const std::string& name : data_centres) names += (names.empty() ? "" : ",") + name;
  this->context.log.Write(now, UnixMillis(), Event("evacuations").Add("data_centres", names));
}

}  // namespace peridotgauge
