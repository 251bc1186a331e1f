// The registration loop of one target.
#include "standin_registrar.h"

#include <algorithm>
#include <utility>

#include "io/clock.h"

namespace peridotgauge {
namespace {

constexpr size_t kConnectionsPerRouter = 8;
constexpr Duration kTimeout = Millis(1'000);
constexpr Duration kRetryInterval = Millis(100);
// Intervals differ by up to this share, so that the targets of a process do not register together.
constexpr double kJitter = 0.1;

}  // namespace

HttpClient& RegistrationClients::For(const Address& router) {
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
        uint64_t seed, std::function<RegistrationRequest()> describe)
      : clients(clients),
        initial(std::move(routers)),
        candidates(this->initial),
        random(seed),
        describe(std::move(describe)),
        timer(io) {
    std::shuffle(this->candidates.begin(), this->candidates.end(), this->random);
  }

  void Register();
  void OnReply(uint64_t generation, const HttpResult& result);
  void Adopt(const std::vector<Address>& routers);
  void Schedule(Duration pause);

  RegistrationClients& clients;
  const std::vector<Address> initial;
  std::vector<Address> candidates;  // tried in this order; the first is the present router
  std::mt19937_64 random;
  std::function<RegistrationRequest()> describe;
  boost::asio::steady_timer timer;
  // Grows with every announcement and pause; replies to earlier registrations schedule nothing.
  uint64_t generation = 0;
  uint64_t accepted = 0;
  uint64_t failed = 0;
};

void StandinRegistrar::State::Register() {
  if (this->candidates.empty()) return;
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/targets";
  request.body = FormatRegistrationRequest(this->describe());
  this->clients.For(this->candidates.front())
      .Send({.request = std::move(request),
             .deadline = SteadyNow() + kTimeout,
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
    this->Adopt(answer->routers);
  } else {
    ++this->failed;
  }
  if (generation != this->generation) return;
  if (answer) {
    std::uniform_real_distribution<double> jitter(1 - kJitter, 1 + kJitter);
    this->Schedule(std::chrono::duration_cast<Duration>(kRegisterInterval * jitter(this->random)));
    return;
  }
  std::rotate(this->candidates.begin(), this->candidates.begin() + 1, this->candidates.end());
  this->Schedule(kRetryInterval);
}

// Keeps the present router in front and the routers of the start at the end.
void StandinRegistrar::State::Adopt(const std::vector<Address>& routers) {
  std::vector<Address> next = {this->candidates.front()};
  const bool listed = std::find(routers.begin(), routers.end(), next.front()) != routers.end();
  if (!listed && !routers.empty()) next.clear();
  for (const auto* list : {&routers, &this->initial}) {
    for (const Address& router : *list) {
      if (std::find(next.begin(), next.end(), router) == next.end()) next.push_back(router);
    }
  }
  this->candidates = std::move(next);
}

void StandinRegistrar::State::Schedule(Duration pause) {
  this->timer.expires_after(pause);
  this->timer.async_wait([weak = this->weak_from_this(),
                          now = this->generation](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self && self->generation == now) self->Register();
  });
}

StandinRegistrar::StandinRegistrar(boost::asio::io_context& io, RegistrationClients& clients,
                                   std::vector<Address> routers, uint64_t seed,
                                   std::function<RegistrationRequest()> describe)
    : state(std::make_shared<State>(io, clients, std::move(routers), seed, std::move(describe))) {}

StandinRegistrar::~StandinRegistrar() { this->Pause(); }

void StandinRegistrar::Announce() {
  ++this->state->generation;
  this->state->Register();
}

void StandinRegistrar::Pause() {
  ++this->state->generation;
  this->state->timer.cancel();
}

uint64_t StandinRegistrar::Accepted() const { return this->state->accepted; }

uint64_t StandinRegistrar::Failed() const { return this->state->failed; }

}  // namespace peridotgauge
