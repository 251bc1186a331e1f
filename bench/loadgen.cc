// Arrivals, addresses, resends and the evaluation of answers.
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
constexpr Duration kRefreshRetry = Millis(100);
// Pause before a request is sent again; many callers do so at once after a fault.
constexpr Duration kResendPause = Millis(50);

// One search or order until its last attempt has ended.
struct Job {
  Time arrival;
  bool order = false;
  bool measured = false;
  std::string service;
  std::string query;
  std::string request_id;
  HttpRequest request;
  uint32_t attempts = 0;
  Address last_router;
};
using JobPtr = std::shared_ptr<Job>;

// What to do with an attempt that has ended without a result.
struct Failure {
  std::string name;
  bool not_run = false;
  bool unknown = false;  // an order whose outcome a resend can learn
};

Failure FailureOf(const HttpResult& result) {
  if (!result) {
    const HttpFailure& failure = result.error();
    return {std::string(failure.error.Name()), !failure.sent, failure.sent};
  }
  const ErrorBody answer = ParseErrorBody(result->status, result->body);
  const ErrorCode code = answer.error.code;
  const bool unknown = code == ErrorCode::kInProgress || code == ErrorCode::kDeadlineExceeded ||
                       code == ErrorCode::kConnectionLost || code == ErrorCode::kUnknownOutcome ||
                       code == ErrorCode::kUnavailable;
  // Overload is not resent: open-loop callers that resend would multiply it.
  const bool not_run = answer.not_run && code != ErrorCode::kOverloaded;
  return {std::string(answer.error.Name()), not_run, unknown};
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
  void Refresh();
  void OnRouters(const HttpResult& result);
  void ScheduleRefresh(Duration pause);
  void BeginLoad();
  void ScheduleNext(boost::asio::steady_timer& timer, Time after, double rate, bool order);
  void Arrive(Time arrival, bool order);
  JobPtr MakeJob(Time arrival, bool order);
  Address ChooseRouter(const Address& last);
  void Send(const JobPtr& job);
  void OnResult(const JobPtr& job, const HttpResult& result);
  void Resend(const JobPtr& job);
  void End();
  void CountSearch(const Job& job, const SearchResponse& answer);
  void CountOrder(const Job& job, const OrderResponse& answer);
  bool BelongsTo(const Job& job, const SearchResponse& answer) const;
  LoadCounts& CountsOf(const Job& job) {
    return job.order ? this->report.orders : this->report.searches;
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
  uint64_t jobs = 0;
  uint64_t open_jobs = 0;
  int arriving = 0;  // kinds of requests that still arrive
  Time begin;
  bool begun = false;
  std::function<void()> done;
};

void LoadGenerator::Impl::Start(std::function<void()> done) {
  this->done = std::move(done);
  this->Refresh();
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

// --- Addresses ---

void LoadGenerator::Impl::Refresh() {
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
    this->ScheduleRefresh(kRefreshRetry);
    return;
  }
  this->routers.clear();
  for (const RouterEntry& entry : list->routers) this->routers.push_back(entry.address);
  this->ScheduleRefresh(list->ttl);
  if (!std::exchange(this->begun, true)) this->BeginLoad();
}

void LoadGenerator::Impl::ScheduleRefresh(Duration pause) {
  this->refresh_timer.expires_after(pause);
  this->refresh_timer.async_wait(
      [weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self) self->Refresh();
      });
}

// --- Arrivals ---

void LoadGenerator::Impl::BeginLoad() {
  this->begin = SteadyNow();
  this->report.seconds = static_cast<double>(this->options.length / Millis(1)) / 1'000;
  if (this->options.search_rate > 0) {
    ++this->arriving;
    this->ScheduleNext(this->search_timer, this->begin, this->options.search_rate, false);
  }
  if (this->options.order_rate > 0) {
    ++this->arriving;
    this->ScheduleNext(this->order_timer, this->begin, this->options.order_rate, true);
  }
  this->End();
}

void LoadGenerator::Impl::ScheduleNext(boost::asio::steady_timer& timer, Time after, double rate,
                                       bool order) {
  const double seconds = std::exponential_distribution<double>(rate)(this->random);
  const Time next = after + Duration(static_cast<int64_t>(seconds * 1e6));
  if (next > this->begin + this->options.warm_up + this->options.length) {
    --this->arriving;
    this->End();
    return;
  }
  timer.expires_at(next);
  timer.async_wait([weak = this->weak_from_this(), &timer, next, rate,
                    order](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (error || !self) return;
    self->Arrive(next, order);
    self->ScheduleNext(timer, next, rate, order);
  });
}

void LoadGenerator::Impl::Arrive(Time arrival, bool order) {
  const JobPtr job = this->MakeJob(arrival, order);
  ++this->open_jobs;
  if (job->measured) ++this->CountsOf(*job).offered;
  this->Send(job);
}

JobPtr LoadGenerator::Impl::MakeJob(Time arrival, bool order) {
  auto job = std::make_shared<Job>();
  const auto& services = order ? this->options.order_services : this->options.search_services;
  job->arrival = arrival;
  job->order = order;
  job->measured = arrival >= this->begin + this->options.warm_up;
  job->service = services[this->random() % services.size()];
  job->request_id =
      "load-" + std::to_string(this->options.seed) + "-" + std::to_string(++this->jobs);
  std::optional<Duration> deadline;
  if (this->options.deadline > Duration(0)) deadline = this->options.deadline;
  job->request.method = "POST";
  if (order) {
    job->query = "{\"text\":" + QuoteJson(job->request_id) + "}";
    job->request.path = "/v1/order";
    job->request.body = FormatOrderRequest({.service = job->service,
                                            .request_id = job->request_id,
                                            .issued_at_ms = UnixMillis(),
                                            .body = job->query,
                                            .deadline = deadline});
  } else {
    const uint64_t query = this->random() % std::max<uint64_t>(this->options.distinct_queries, 1);
    job->query = "{\"text\":\"q" + std::to_string(query) + "\"}";
    job->request.path = "/v1/search";
    job->request.body = FormatSearchRequest({.service = job->service,
                                             .query = job->query,
                                             .deadline = deadline,
                                             .request_id = job->request_id});
  }
  return job;
}

// --- Attempts ---

// Draws a router, another one than the last if there is another.
Address LoadGenerator::Impl::ChooseRouter(const Address& last) {
  const size_t first = this->random() % this->routers.size();
  if (this->routers[first] != last) return this->routers[first];
  return this->routers[(first + 1) % this->routers.size()];
}

void LoadGenerator::Impl::Send(const JobPtr& job) {
  ++job->attempts;
  if (job->measured) ++this->CountsOf(*job).sent;
  const Address router = this->ChooseRouter(job->last_router);
  job->last_router = router;
  this->ClientFor(router).Send({.request = job->request,
                                .deadline = SteadyNow() + this->options.timeout,
                                .done =
                                    [weak = this->weak_from_this(), job](const HttpResult& result) {
                                      const auto self = weak.lock();
                                      if (self) self->OnResult(job, result);
                                    },
                                .released = {}});
}

void LoadGenerator::Impl::OnResult(const JobPtr& job, const HttpResult& result) {
  LoadCounts& counts = this->CountsOf(*job);
  if (result && result->status == 200) {
    if (job->measured) {
      ++counts.answered;
      counts.latency.Add(SteadyNow() - job->arrival);
    }
    if (job->order) {
      const auto answer = ParseOrderResponse(result->body);
      if (answer) this->CountOrder(*job, *answer);
    } else if (const auto answer = ParseSearchResponse(result->body)) {
      this->CountSearch(*job, *answer);
    } else if (job->measured) {
      ++counts.errors["unreadable_answer"];
    }
    --this->open_jobs;
    this->End();
    return;
  }
  const Failure failure = FailureOf(result);
  if (job->measured) ++counts.errors[failure.name];
  const bool again = failure.not_run || (job->order && failure.unknown);
  if (again && job->attempts < this->options.attempts) {
    this->Resend(job);
    return;
  }
  if (job->measured) ++counts.failed;
  --this->open_jobs;
  this->End();
}

void LoadGenerator::Impl::Resend(const JobPtr& job) {
  auto timer = std::make_shared<boost::asio::steady_timer>(this->io, kResendPause);
  timer->async_wait([weak = this->weak_from_this(), job, timer](const boost::system::error_code&) {
    if (const auto self = weak.lock()) self->Send(job);
  });
}

void LoadGenerator::Impl::End() {
  if (this->arriving > 0 || this->open_jobs > 0 || !this->done) return;
  this->refresh_timer.cancel();
  boost::asio::post(this->io, std::exchange(this->done, {}));
}

// --- Evaluation ---

bool LoadGenerator::Impl::BelongsTo(const Job& job, const SearchResponse& answer) const {
  if (answer.request_id != job.request_id || answer.service != job.service) return false;
  return std::all_of(answer.results.begin(), answer.results.end(), [&](const ShardResult& result) {
    const auto body = JsonObject::Parse(result.body, "result");
    return body && body->Raw("query") == job.query &&
           body->Unsigned("shard", 0, UINT32_MAX) == result.shard.shard;
  });
}

void LoadGenerator::Impl::CountSearch(const Job& job, const SearchResponse& answer) {
  if (!this->BelongsTo(job, answer)) ++this->report.wrong_answers;
  if (!job.measured) return;
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

void LoadGenerator::Impl::CountOrder(const Job& job, const OrderResponse& answer) {
  this->report.done_orders.push_back(job.request_id);
  if (answer.replayed) ++this->report.replayed;
  const auto body = JsonObject::Parse(answer.body, "order");
  const bool once = body && body->String("order", 0, kMaxRequestIdLength) == job.request_id &&
                    body->Unsigned("executions", 0, UINT32_MAX) == 1U;
  if (!once) ++this->report.repeated_orders;
}

// --- LoadGenerator ---

LoadGenerator::LoadGenerator(boost::asio::io_context& io, LoadOptions options)
    : impl(std::make_shared<Impl>(io, std::move(options))) {}

LoadGenerator::~LoadGenerator() { this->impl->Shutdown(); }

void LoadGenerator::Start(std::function<void()> done) { this->impl->Start(std::move(done)); }

const LoadReport& LoadGenerator::Report() const { return this->impl->report; }

}  // namespace peridotgauge
