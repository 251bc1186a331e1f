// Implements the deployment of native routers, controllers and targets in one process.
#include "testing/native_deployment.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "core/caller_api.h"
#include "io/clock.h"

namespace peridotgauge {
namespace {

constexpr int kHttpPort = 18'301;
constexpr int kPeerPort = 18'302;
constexpr int kTargetPort = 18'303;
constexpr Duration kControlTimeout = Seconds(5);
// Well below the lease of a registration.
constexpr Duration kRegistrationInterval = Millis(300);
constexpr uint64_t kSnapshot = 1;

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::vector<HttpHeader> CallerHeaders(const std::string& key) {
  std::vector<HttpHeader> headers = {{"content-type", "application/json"}};
  if (!key.empty()) headers.push_back({std::string(kKeyHeader), key});
  return headers;
}

}  // namespace

NativeDeployment::NativeDeployment(NativeDeploymentOptions options) : options(std::move(options)) {
  for (size_t i = 0; i < this->options.controllers; ++i) {
    this->Start("controller-" + std::to_string(i));
  }
  for (size_t i = 0; i < this->options.routers; ++i) this->StartRouter(i);
}

Address NativeDeployment::ControllerAddress(size_t number) const {
  return this->processes.IpOf("controller-" + std::to_string(number)) + ":" +
         std::to_string(kHttpPort);
}

Address NativeDeployment::RouterAddress(size_t number) const {
  return this->processes.IpOf("router-" + std::to_string(number)) + ":" + std::to_string(kHttpPort);
}

Address NativeDeployment::NewAddress() {
  return this->processes.NewIp() + ":" + std::to_string(kTargetPort);
}

std::string NativeDeployment::SettingsText(const std::string& name) const {
  const auto at = [&](const std::string& process, int port) {
    return Quoted(this->processes.IpOf(process) + ":" + std::to_string(port));
  };
  std::string controllers;
  for (size_t i = 0; i < this->options.controllers; ++i) {
    const std::string controller = "controller-" + std::to_string(i);
    controllers += (i == 0 ? "" : ",");
    controllers +=
        R"({"id":)" + Quoted(controller) + R"(,"peer_address":)" + at(controller, kPeerPort) + "}";
  }
  const bool controller = name.starts_with("controller");
  const size_t number = std::stoul(name.substr(name.find('-') + 1));
  const std::vector<std::string>& data_centres = this->options.data_centres;
  return R"({"id":)" + Quoted(name) + R"(,"data_centre":)" +
         Quoted(data_centres[number % data_centres.size()]) + R"(,"roles":[)" +
         Quoted(controller ? "controller" : "router") + R"(],"http_address":)" +
         at(name, kHttpPort) + R"(,"peer_address":)" + at(name, kPeerPort) + R"(,"span_file":)" +
         Quoted(this->processes.Folder() + "/" + name + ".spans") +
         (controller ? R"(,"data_folder":)" + Quoted(this->processes.Folder() + "/" + name) : "") +
         R"(,"controllers":[)" + controllers + "]}";
}

void NativeDeployment::FreezeRouter(size_t number, Duration duration) {
  this->processes.Freeze("router-" + std::to_string(number), duration);
}

std::optional<HttpResponse> NativeDeployment::TryApply(const std::string& text) {
  return Call(this->ControllerAddress(0), {.method = "POST", .path = "/v1/config", .body = text},
              kControlTimeout);
}

bool NativeDeployment::Apply(const std::string& text) {
  return AwaitDeployment([&] {
    const auto answer = this->TryApply(text);
    return answer && answer->status == 200;
  });
}

std::optional<HttpResponse> NativeDeployment::Search(size_t router, const std::string& service,
                                                     const std::string& key, Duration timeout) {
  const SearchRequest request{.service = service, .query = "{}"};
  return Call(this->RouterAddress(router),
              {.method = "POST",
               .path = "/v1/search",
               .headers = CallerHeaders(key),
               .body = FormatSearchRequest(request)},
              timeout);
}

std::optional<HttpResponse> NativeDeployment::Order(size_t router, const std::string& service,
                                                    const std::string& id, const std::string& key,
                                                    Duration timeout) {
  const OrderRequest request{
      .service = service, .request_id = id, .issued_at_ms = UnixMillis(), .body = "{}"};
  return Call(this->RouterAddress(router),
              {.method = "POST",
               .path = "/v1/order",
               .headers = CallerHeaders(key),
               .body = FormatOrderRequest(request)},
              timeout);
}

bool NativeDeployment::SetEvacuation(size_t router, const std::string& method,
                                     const std::string& data_centre, size_t count) {
  const bool accepted = AwaitDeployment([&] {
    const auto answer =
        Call(this->RouterAddress(router),
             {.method = method, .path = "/v1/evacuations/" + data_centre}, kControlTimeout);
    return answer && answer->status == 200;
  });
  const std::string gauge = "peridotgauge_evacuated_data_centres " + std::to_string(count) + "\n";
  return accepted && AwaitDeployment([&] {
           for (size_t i = 0; i < this->options.routers; ++i) {
             const auto metrics = Call(this->RouterAddress(i),
                                       {.method = "GET", .path = "/metrics"}, kControlTimeout);
             if (!metrics || metrics->body.find(gauge) == std::string::npos) return false;
           }
           return true;
         });
}

bool NativeDeployment::AwaitSearch(const std::string& service, const std::string& key) {
  for (size_t i = 0; i < this->options.routers; ++i) {
    const bool complete = AwaitDeployment([&] {
      const auto answer = this->Search(i, service, key);
      if (!answer || answer->status != 200) return false;
      const Result<SearchResponse> response = ParseSearchResponse(answer->body);
      return response && response->missing.empty();
    });
    if (!complete) return false;
  }
  return true;
}

std::string NativeDeployment::Spans() const {
  std::ostringstream spans;
  for (const auto& entry : std::filesystem::directory_iterator(this->processes.Folder())) {
    if (entry.path().extension() == ".spans") spans << std::ifstream(entry.path()).rdbuf();
  }
  return spans.str();
}

// --- NativeTarget ---

NativeTarget::NativeTarget(NativeDeployment& deployment, NativeTargetOptions options)
    : deployment(deployment), options(std::move(options)) {
  if (this->options.address.empty()) {
    this->options.address = deployment.NewAddress();
    this->loop.Run([this] {
      auto listening =
          HttpServer::Listen(this->loop.io, this->options.address,
                             [this](const HttpRequest& request, const HttpResponder& responder) {
                               this->Handle(request, responder);
                             });
      if (listening) this->server = std::move(*listening);
    });
    REQUIRE(this->server);
  }
  this->registrar = std::thread([this] { this->Register(); });
}

NativeTarget::~NativeTarget() {
  this->stopping = true;
  this->registrar.join();
  this->loop.Run([this] { this->server.reset(); });
}

void NativeTarget::Register() {
  RegistrationRequest request;
  request.record = {.target = this->options.name,
                    .address = this->options.address,
                    .service = this->options.service,
                    .data_centre = this->options.data_centre,
                    .incarnation = 1,
                    .state = TargetState::kServing,
                    .slots = this->options.slots,
                    .connections = 2 * this->options.slots,
                    .holds = {{kSnapshot, this->options.shard, this->options.shards}}};
  while (!this->stopping) {
    ++request.record.sequence;
    const size_t router = request.record.sequence % this->deployment.RouterCount();
    // A router that has just started may refuse; the next one is asked after the interval.
    Call(this->deployment.RouterAddress(router),
         {.method = "POST", .path = "/v1/targets", .body = FormatRegistrationRequest(request)},
         Seconds(1));
    std::this_thread::sleep_for(kRegistrationInterval);
  }
}

void NativeTarget::Handle(const HttpRequest& request, const HttpResponder& responder) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->requests.push_back(request);
  }
  HttpResponse response = JsonResponse(200, "{}");
  for (const char* name : {"x-request-id", "x-attempt", "x-service", "x-shard", "x-snapshot"}) {
    response.headers.push_back({name, std::string(request.Header(name))});
  }
  auto timer =
      std::make_shared<boost::asio::steady_timer>(this->loop.io, Duration(this->work_us.load()));
  timer->async_wait([timer, responder, response](boost::system::error_code error) {
    if (!error) responder.Send(response);
  });
}

std::vector<HttpRequest> NativeTarget::Requests() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->requests;
}

void NativeTarget::Clear() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->requests.clear();
}

}  // namespace peridotgauge
