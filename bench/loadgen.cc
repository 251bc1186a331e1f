// Poisson arrivals, router discovery, resends and checks of the answers.
#include "loadgen.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <utility>

#include "core/caller_api.h"
#include "core/json_text.h"
#include "io/clock.h"
#include "io/http_client.h"

namespace peridotgauge {
namespace {

constexpr Duration kRefreshTimeout = Millis(500);
constexpr Duration kRefreshRetryDelay = Millis(100);
// Delay before a request is sent again. Without it, many callers would resend at the same moment
// after a fault.
constexpr Duration kResendDelay = Millis(50);

// A search or order, from its arrival until its last attempt has finished.
struct PendingRequest {
  Time arrival;
  bool order = false;
  bool measured = false;  // arrived after the warm-up, so it counts in the report
  std::string service;
  std::string query;
  std::string request_id;
  HttpRequest request;
  uint32_t attempts = 0;
  Address last_router;
};
using PendingRequestPtr = std::shared_ptr<PendingRequest>;

// Classification of a failed attempt, which decides whether the request is sent again.
struct AttemptFailure {
  std::string name;
  bool not_run = false;
  bool outcome_unknown = false;  // a resend of the order may return its outcome
};

AttemptFailure ClassifyFailure(const HttpResult& result) {
  if (!result) {
    const HttpFailure& failure = result.error();
    return {std::string(failure.error.Name()), !failure.sent, failure.sent};
  }
  const ErrorBody answer = ParseErrorBody(result->status, result->body);
  const ErrorCode code = answer.error.code;
  const bool outcome_unknown =
      code == ErrorCode::kInProgress || code == ErrorCode::kDeadlineExceeded ||
      code == ErrorCode::kConnectionLost || code == ErrorCode::kUnknownOutcome ||
      code == ErrorCode::kUnavailable;
  // Requests refused because of overload are not resent: resends of open-loop callers would amplify
  // the overload.
  const bool not_run = answer.not_run && code != ErrorCode::kOverloaded;
  return {std::string(answer.error.Name()), not_run, outcome_unknown};
}

}  // namespace

class LoadGenerator::Impl : public std::enable_shared_from_this<LoadGenerator::Impl> {
 public:
  Impl(boost::asio::io_context& io, LoadOptions options)
      : io(io),
        options(std::move(options)),
        random(this->options.seed),
        refresh_timer(io),
        search_timer(io),
        order_timer(io) {}

  void Start(std::function<void()> done);
  void Shutdown();

  LoadReport report;

 private:
  void RefreshRouters();
  void OnRouters(const HttpResult& result);
  void ScheduleRouterRefresh(Duration delay);
  void StartArrivals();
  void ScheduleArrival(boost::asio::steady_timer& timer, Time after, double rate, bool order);
  void OnArrival(Time arrival, bool order);
  PendingRequestPtr MakeRequest(Time arrival, bool order);
  Address ChooseRouter(const Address& last);
  void Send(const PendingRequestPtr& pending);
  void OnResult(const PendingRequestPtr& pending, const HttpResult& result);
  void Resend(const PendingRequestPtr& pending);
  void FinishIfDone();
  void RecordSearch(const PendingRequest& pending, const SearchResponse& answer);
  void RecordOrder(const PendingRequest& pending, const OrderResponse& answer);
  bool IsAnswerTo(const PendingRequest& pending, const SearchResponse& answer) const;
  RequestCounts& CountsOf(const PendingRequest& pending) {
    return pending.order ? this->report.orders : this->report.searches;
  }
  HttpClient& ClientFor(const Address& address);

  boost::asio::io_context& io;
  const LoadOptions options;
  std::mt19937_64 random;
  boost::asio::steady_timer refresh_timer;
  boost::asio::steady_timer search_timer;
  boost::asio::steady_timer order_timer;
  std::map<Address, std::unique_ptr<HttpClient>> clients;
  std::vector<Address> routers;
  uint64_t refreshes = 0;
  uint64_t request_count = 0;
  uint64_t pending_requests = 0;
  int active_streams = 0;  // arrival streams (searches, orders) that have not finished
  Time start_time;
  bool arrivals_started = false;
  std::function<void()> done;
};

void LoadGenerator::Impl::Start(std::function<void()> done) {
  this->done = std::move(done);
  this->RefreshRouters();
}

void LoadGenerator::Impl::Shutdown() {
  this->refresh_timer.cancel();
  this->search_timer.cancel();
  this->order_timer.cancel();
  this->clients.clear();
}

HttpClient& LoadGenerator::Impl::ClientFor(const Address& address) {
  auto& client = this->clients[address];
  if (!client) {
    client = std::make_unique<HttpClient>(
        this->io, address,
        HttpClientOptions{.max_connections = this->options.connections, .min_connections = 0});
  }
  return *client;
}

// --- Router discovery ---

void LoadGenerator::Impl::RefreshRouters() {
  const std::vector<Address>& known = this->options.addresses;
  const Address& address = known[this->refreshes++ % known.size()];
  HttpRequest request;
  request.method = "GET";
  request.path = "/v1/routers";
  this->ClientFor(address).Send({.request = std::move(request),
                                 .deadline = SteadyNow() + kRefreshTimeout,
                                 .done =
                                     [weak = this->weak_from_this()](const HttpResult& result) {
                                       if (const auto self = weak.lock()) self->OnRouters(result);
                                     },
                                 .released = {}});
}

void LoadGenerator::Impl::OnRouters(const HttpResult& result) {
  const bool ok = result && result->status == 200;
  const auto list = ok ? ParseRouterList(result->body) : Fail(ErrorCode::kUnavailable);
  if (!list || list->routers.empty()) {
    this->ScheduleRouterRefresh(kRefreshRetryDelay);
    return;
  }
  this->routers.clear();
  for (const RouterEntry& entry : list->routers) this->routers.push_back(entry.address);
  this->ScheduleRouterRefresh(list->ttl);
  if (!std::exchange(this->arrivals_started, true)) this->StartArrivals();
}

void LoadGenerator::Impl::ScheduleRouterRefresh(Duration delay) {
  this->refresh_timer.expires_after(delay);
  this->refresh_timer.async_wait(
      [weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self) self->RefreshRouters();
      });
}

// --- Arrivals ---

void LoadGenerator::Impl::StartArrivals() {
  this->start_time = SteadyNow();
  this->report.seconds = static_cast<double>(this->options.duration / Millis(1)) / 1'000;
  if (this->options.search_rate > 0) {
    ++this->active_streams;
    this->ScheduleArrival(this->search_timer, this->start_time, this->options.search_rate, false);
  }
  if (this->options.order_rate > 0) {
    ++this->active_streams;
    this->ScheduleArrival(this->order_timer, this->start_time, this->options.order_rate, true);
  }
  this->FinishIfDone();
}

void LoadGenerator::Impl::ScheduleArrival(boost::asio::steady_timer& timer, Time after, double rate,
                                          bool order) {
  const double seconds = std::exponential_distribution<double>(rate)(this->random);
  const Time next = after + Duration(static_cast<int64_t>(seconds * 1e6));
  if (next > this->start_time + this->options.warm_up + this->options.duration) {
    --this->active_streams;
    this->FinishIfDone();
    return;
  }
  timer.expires_at(next);
  timer.async_wait([weak = this->weak_from_this(), &timer, next, rate,
                    order](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (error || !self) return;
    self->OnArrival(next, order);
    self->ScheduleArrival(timer, next, rate, order);
  });
}

void LoadGenerator::Impl::OnArrival(Time arrival, bool order) {
  const PendingRequestPtr pending = this->MakeRequest(arrival, order);
  ++this->pending_requests;
  if (pending->measured) ++this->CountsOf(*pending).offered;
  this->Send(pending);
}

PendingRequestPtr LoadGenerator::Impl::MakeRequest(Time arrival, bool order) {
  auto pending = std::make_shared<PendingRequest>();
  const auto& services = order ? this->options.order_services : this->options.search_services;
  pending->arrival = arrival;
  pending->order = order;
  pending->measured = arrival >= this->start_time + this->options.warm_up;
  pending->service = services[this->random() % services.size()];
  pending->request_id =
      "load-" + std::to_string(this->options.seed) + "-" + std::to_string(++this->request_count);
  std::optional<Duration> deadline;
  if (this->options.deadline > Duration(0)) deadline = this->options.deadline;
  pending->request.method = "POST";
  if (order) {
    pending->query = "{\"text\":" + QuoteJson(pending->request_id) + "}";
    pending->request.path = "/v1/order";
    pending->request.body = FormatOrderRequest({.service = pending->service,
                                                .request_id = pending->request_id,
                                                .issued_at_ms = UnixMillis(),
                                                .body = pending->query,
                                                .deadline = deadline});
  } else {
    const uint64_t query = this->random() % std::max<uint64_t>(this->options.distinct_queries, 1);
    pending->query = "{\"text\":\"q" + std::to_string(query) + "\"}";
    pending->request.path = "/v1/search";
    pending->request.body = FormatSearchRequest({.service = pending->service,
                                                 .query = pending->query,
                                                 .deadline = deadline,
                                                 .request_id = pending->request_id});
  }
  return pending;
}

// --- Attempts ---

// Returns a random router, different from `last` if there is more than one.
Address LoadGenerator::Impl::ChooseRouter(const Address& last) {
  const size_t first = this->random() % this->routers.size();
  if (this->routers[first] != last) return this->routers[first];
  return this->routers[(first + 1) % this->routers.size()];
}

void LoadGenerator::Impl::Send(const PendingRequestPtr& pending) {
  ++pending->attempts;
  if (pending->measured) ++this->CountsOf(*pending).sent;
  const Address router = this->ChooseRouter(pending->last_router);
  pending->last_router = router;
  this->ClientFor(router).Send(
      {.request = pending->request,
       .deadline = SteadyNow() + this->options.timeout,
       .done =
           [weak = this->weak_from_this(), pending](const HttpResult& result) {
             const auto self = weak.lock();
             if (self) self->OnResult(pending, result);
           },
       .released = {}});
}

void LoadGenerator::Impl::OnResult(const PendingRequestPtr& pending, const HttpResult& result) {
  RequestCounts& counts = this->CountsOf(*pending);
  if (result && result->status == 200) {
    if (pending->measured) {
      ++counts.answered;
      counts.latency.Add(SteadyNow() - pending->arrival);
    }
    if (pending->order) {
      const auto answer = ParseOrderResponse(result->body);
      if (answer) this->RecordOrder(*pending, *answer);
    } else if (const auto answer = ParseSearchResponse(result->body)) {
      this->RecordSearch(*pending, *answer);
    } else if (pending->measured) {
      ++counts.errors["unreadable_answer"];
    }
    --this->pending_requests;
    this->FinishIfDone();
    return;
  }
  const AttemptFailure failure = ClassifyFailure(result);
  if (pending->measured) ++counts.errors[failure.name];
  const bool resend = failure.not_run || (pending->order && failure.outcome_unknown);
  if (resend && pending->attempts < this->options.max_attempts) {
    this->Resend(pending);
    return;
  }
  if (pending->measured) ++counts.failed;
  --this->pending_requests;
  this->FinishIfDone();
}

void LoadGenerator::Impl::Resend(const PendingRequestPtr& pending) {
  auto timer = std::make_shared<boost::asio::steady_timer>(this->io, kResendDelay);
  timer->async_wait(
      [weak = this->weak_from_this(), pending, timer](const boost::system::error_code&) {
        if (const auto self = weak.lock()) self->Send(pending);
      });
}

void LoadGenerator::Impl::FinishIfDone() {
  if (this->active_streams > 0 || this->pending_requests > 0 || !this->done) return;
  this->refresh_timer.cancel();
  boost::asio::post(this->io, std::exchange(this->done, {}));
}

// --- Checks and counts of answers ---

bool LoadGenerator::Impl::IsAnswerTo(const PendingRequest& pending,
                                     const SearchResponse& answer) const {
  if (answer.request_id != pending.request_id || answer.service != pending.service) return false;
  return std::all_of(answer.results.begin(), answer.results.end(), [&](const ShardResult& result) {
    const auto body = JsonObject::Parse(result.body, "result");
    return body && body->Raw("query") == pending.query &&
           body->Unsigned("shard", 0, UINT32_MAX) == result.shard.shard;
  });
}

void LoadGenerator::Impl::RecordSearch(const PendingRequest& pending,
                                       const SearchResponse& answer) {
  if (!this->IsAnswerTo(pending, answer)) ++this->report.wrong_answers;
  if (!pending.measured) return;
  if (answer.missing.empty()) ++this->report.complete;
  this->report.covered_shards += answer.results.size();
  this->report.missing_shards += answer.missing.size();
  for (const MissingShard& missing : answer.missing) {
    ++this->report.missing_causes[std::string(InfoOf(missing.cause).name)];
  }
  this->report.needed += answer.attempts.needed;
  this->report.sub_requests += answer.attempts.sent;
  this->report.hedges += answer.attempts.hedges;
  this->report.retries += answer.attempts.retries;
}

void LoadGenerator::Impl::RecordOrder(const PendingRequest& pending, const OrderResponse& answer) {
  this->report.done_orders.push_back(pending.request_id);
  if (answer.replayed) ++this->report.replayed;
  const auto body = JsonObject::Parse(answer.body, "order");
  const bool executed_once = body &&
                             body->String("order", 0, kMaxRequestIdLength) == pending.request_id &&
                             body->Unsigned("executions", 0, UINT32_MAX) == 1U;
  if (!executed_once) ++this->report.repeated_orders;
}

// --- LoadGenerator ---

LoadGenerator::LoadGenerator(boost::asio::io_context& io, LoadOptions options)
    : impl(std::make_shared<Impl>(io, std::move(options))) {}

LoadGenerator::~LoadGenerator() { this->impl->Shutdown(); }

void LoadGenerator::Start(std::function<void()> done) { this->impl->Start(std::move(done)); }

const LoadReport& LoadGenerator::Report() const { return this->impl->report; }

}  // namespace peridotgauge
