// Answers the QuotaRequests of routers at the leader of the controllers.
//
// Use:
//   auto quotas = std::make_shared<QuotaService>(io, context);
//   quotas->CheckLeadership(now);  quotas->OnTimer(now);         // at every controller, regularly
//   quotas->RecordContact(now, router);                          // on each sync request
//   quotas->Handle(now, request, [](const wire::BodyUnion&) {}); // at the leader
//
// Contract: runs on the thread of the io_context. Every request gets exactly one reply. Permits are
// granted only after a quorum round that began after the request arrived. At most one such round
// for quotas starts in kQuotaRoundInterval; the requests that arrive meanwhile share the next one.
#ifndef PERIDOTGAUGE_IO_QUOTA_SERVICE_H_
#define PERIDOTGAUGE_IO_QUOTA_SERVICE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/config.h"
#include "core/settings.h"
#include "core/types.h"
#include "io/quorum_round.h"
#include "io/replicated_log.h"
#include "peer_generated.h"
#include "state/control_state.h"
#include "state/quota_table.h"

namespace peridotgauge {

// A quorum round costs a message to and from each controller.
constexpr Duration kQuotaRoundInterval = Millis(5);
constexpr Duration kQuotaTickInterval = Millis(100);
// Requests that wait for a round. Routers have one in flight each.
constexpr size_t kMaxPendingQuotaRequests = 1'000;

// The objects that the service uses; they outlive it.
struct QuotaServiceContext {
  std::string id;  // of the controller
  QuotaTolerance tolerance;
  ConfigParser parse_config;
  ReplicatedLog& log;
  ControlState& state;
  QuorumRounds& rounds;
  // Callers are told about all routers that are not draining, not only about the offered ones.
  bool callers_use_all_routers = false;
};

class QuotaService : public std::enable_shared_from_this<QuotaService> {
 public:
  using Reply = std::function<void(const wire::BodyUnion&)>;

  QuotaService(boost::asio::io_context& io, QuotaServiceContext context);

  void Handle(Time now, const wire::QuotaRequestT& request, Reply reply);
  void CheckLeadership(Time now);
  void OnTimer(Time now);
  // Returns true if the configuration limits a workspace. Known while this controller leads.
  bool HasQuotas() const { return this->table.Workspaces() > 0; }
  void RecordContact(Time now, const std::string& router);
  // The router has left cleanly and uses no share any more.
  void ForgetRouter(const std::string& router) { this->contacts.Forget(router); }
  // Answers all requests that wait with kDraining.
  void Stop();

 private:
  struct Pending {
    Time arrived;
    RouterId router;
    QuotaAsk ask;
    Reply reply;
  };

  void StartRound();
  void OnConfirmed(uint64_t term, const std::vector<Pending>& batch,
                   const Result<uint64_t>& confirmed);
  // Applies a new configuration and a changed set of routers.
  void Update(Time now);
  void UpdateWorkspaces(Time now);

  boost::asio::steady_timer timer;
  QuotaServiceContext context;
  QuotaTable table;
  RouterContacts contacts;
  std::vector<Pending> pending;
  bool round_active = false;  // a round is running or scheduled
  Time last_round;
  Time next_tick;
  uint64_t term = 0;                     // of this controller's leadership, otherwise 0
  std::optional<uint64_t> config_index;  // of the configuration in `table`
  // Terms whose leader this controller has known, for QuotaTable::Reset().
  uint64_t last_known_term = 0;
  std::optional<Time> last_leader_change;
  std::optional<Time> earlier_leader_change;
  bool stopped = false;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_IO_QUOTA_SERVICE_H_
