// Registration loop of one stand-in target.
#include "standin_registrar.h"

#include <algorithm>
#include <utility>

#include "io/clock.h"

namespace peridotgauge {
namespace {

constexpr size_t kConnectionsPerRouter = 8;
constexpr Duration kRegisterTimeout = Millis(1'000);
constexpr Duration kRetryInterval = Millis(100);
// Relative jitter of the interval. Keeps the targets of a process from registering at the same
// time.
constexpr double kJitter = 0.1;

}  // namespace

HttpClient& RegistrationClients::ClientFor(const Address& router) {
  auto& client = this->clients[router];
  if (!client) {
    client = std::make_unique<HttpClient>(
        this->io, router,
        HttpClientOptions{.max_connections = kConnectionsPerRouter, .min_connections = 0});
  }
  return *client;
}

struct StandinRegistrar::State : public std::enable_shared_from_this<StandinRegistrar::State> {
  State(boost::asio::io_context& io, RegistrationClients& clients, std::vector<Address> routers,
        uint64_t seed, std::function<RegistrationRequest()> make_registration)
      : clients(clients),
        initial(std::move(routers)),
        candidates(this->initial),
        random(seed),
        make_registration(std::move(make_registration)),
        timer(io) {
    std::shuffle(this->candidates.begin(), this->candidates.end(), this->random);
  }

  void Register();
  void OnReply(uint64_t generation, const HttpResult& result);
  void UpdateCandidates(const std::vector<Address>& routers);
  void ScheduleRegistration(Duration delay);

  RegistrationClients& clients;
  const std::vector<Address> initial;
  std::vector<Address> candidates;  // in the order of attempts; the first is the current router
  std::mt19937_64 random;
  std::function<RegistrationRequest()> make_registration;
  boost::asio::steady_timer timer;
  // Incremented by each RegisterNow() and StopRegistering(). The reply to a registration of an
  // earlier generation does not schedule another one.
  uint64_t generation = 0;
  uint64_t accepted = 0;
  uint64_t failed = 0;
};

void StandinRegistrar::State::Register() {
  if (this->candidates.empty()) return;
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/targets";
  request.body = FormatRegistrationRequest(this->make_registration());
  this->clients.ClientFor(this->candidates.front())
      .Send({.request = std::move(request),
             .deadline = SteadyNow() + kRegisterTimeout,
             .done =
                 [weak = this->weak_from_this(), now = this->generation](const HttpResult& result) {
                   if (const auto self = weak.lock()) self->OnReply(now, result);
                 },
             .released = {}});
}

void StandinRegistrar::State::OnReply(uint64_t generation, const HttpResult& result) {
  const bool ok = result && result->status == 200;
  const auto answer = ok ? ParseRegistrationResponse(result->body) : Fail(ErrorCode::kUnavailable);
  if (answer) {
    ++this->accepted;
    this->UpdateCandidates(answer->routers);
  } else {
    ++this->failed;
  }
  if (generation != this->generation) return;
  if (answer) {
    std::uniform_real_distribution<double> jitter(1 - kJitter, 1 + kJitter);
    this->ScheduleRegistration(
        std::chrono::duration_cast<Duration>(kRegisterInterval * jitter(this->random)));
    return;
  }
  std::rotate(this->candidates.begin(), this->candidates.begin() + 1, this->candidates.end());
  this->ScheduleRegistration(kRetryInterval);
}

// Rebuilds the candidates from the routers of a response: the current router stays first unless the
// response no longer lists it, and the initial routers come last.
void StandinRegistrar::State::UpdateCandidates(const std::vector<Address>& routers) {
  std::vector<Address> next = {this->candidates.front()};
  const bool current_listed =
      std::find(routers.begin(), routers.end(), next.front()) != routers.end();
  if (!current_listed && !routers.empty()) next.clear();
  for (const auto* list : {&routers, &this->initial}) {
    for (const Address& router : *list) {
      if (std::find(next.begin(), next.end(), router) == next.end()) next.push_back(router);
    }
  }
  this->candidates = std::move(next);
}

void StandinRegistrar::State::ScheduleRegistration(Duration delay) {
  this->timer.expires_after(delay);
  this->timer.async_wait([weak = this->weak_from_this(),
                          now = this->generation](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self && self->generation == now) self->Register();
  });
}

StandinRegistrar::StandinRegistrar(boost::asio::io_context& io, RegistrationClients& clients,
                                   std::vector<Address> routers, uint64_t seed,
                                   std::function<RegistrationRequest()> make_registration)
    : state(std::make_shared<State>(io, clients, std::move(routers), seed,
                                    std::move(make_registration))) {}

StandinRegistrar::~StandinRegistrar() { this->StopRegistering(); }

void StandinRegistrar::RegisterNow() {
  ++this->state->generation;
  this->state->Register();
}

void StandinRegistrar::StopRegistering() {
  ++this->state->generation;
  this->state->timer.cancel();
}

uint64_t StandinRegistrar::AcceptedCount() const { return this->state->accepted; }

uint64_t StandinRegistrar::FailedCount() const { return this->state->failed; }

}  // namespace peridotgauge
