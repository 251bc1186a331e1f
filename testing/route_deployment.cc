// Implements the deployment of routers, controllers and targets in one process.
#include "route_deployment.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <utility>

#include "core/address.h"
#include "io/clock.h"

namespace peridotgauge {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int kHttpPort = 18'201;
constexpr int kHealthPort = 18'202;
constexpr int kDirectoryPort = 18'203;
constexpr int kMetricsPort = 18'204;
constexpr int kPeerPort = 18'205;
constexpr int kTargetPort = 18'210;
constexpr Duration kControlTimeout = Seconds(5);
constexpr char kHost[] = "test.example";

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string Joined(const std::vector<std::string>& texts) {
  std::string out;
  for (const std::string& text : texts) out += (out.empty() ? "" : ",") + text;
  return out;
}

// The state of one Call(), which outlives its asynchronous operations.
struct Exchange {
  explicit Exchange(asio::io_context& io) : stream(io) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
  bool complete = false;
};

}  // namespace

std::optional<HttpResponse> Call(const Address& address, const HttpRequest& request,
                                 Duration timeout) {
  const Endpoint endpoint = *ParseAddress(address);
  asio::io_context io(1);
  Exchange exchange(io);
  exchange.request = {http::string_to_verb(request.method), request.path, 11};
  exchange.request.set(http::field::host, address);
  for (const HttpHeader& header : request.headers) {
    exchange.request.set(header.name, header.value);
  }
  exchange.request.body() = request.body;
  exchange.request.prepare_payload();
  exchange.stream.expires_after(timeout);
  exchange.stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::make_address(endpoint.host), endpoint.port),
      [&](boost::system::error_code error) {
        if (error) return;
        http::async_write(exchange.stream, exchange.request,
                          [&](boost::system::error_code write_error, size_t) {
                            if (write_error) return;
                            http::async_read(exchange.stream, exchange.buffer, exchange.response,
                                             [&](boost::system::error_code read_error, size_t) {
                                               exchange.complete = !read_error;
                                             });
                          });
      });
  io.run();
  if (!exchange.complete) return std::nullopt;
  HttpResponse response{.status = static_cast<int>(exchange.response.result_int()),
                        .headers = {},
                        .body = exchange.response.body()};
  for (const auto& field : exchange.response) {
    response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return response;
}

HttpRequest CallerRequest(const std::string& id, const std::string& method, const std::string& path,
                          Duration timeout) {
  return {.method = method,
          .path = path,
          .headers = {{"Host", kHost},
                      {"Peridotgauge-Request-Id", id},
                      {"Peridotgauge-Deadline-Ms", std::to_string(WholeMillis(timeout))}},
          .body = method == "POST" ? "{}" : ""};
}

std::string RouteText(const std::string& name, const std::string& prefix, const std::string& kind,
                      int64_t timeout_ms, const std::string& service) {
  return R"({"name":)" + Quoted(name) + R"(,"host":)" + Quoted(kHost) + R"(,"pathPrefix":)" +
         Quoted(prefix) + R"(,"kind":)" + Quoted(kind) + R"(,"timeoutMs":)" +
         std::to_string(timeout_ms) + R"(,"targetLatencyMs":500,"priority":1,"service":)" +
         Quoted(service) + R"(,"maxAttempts":2})";
}

std::string ConfigText(uint64_t version, const std::vector<std::string>& routes,
                       const std::vector<std::string>& services) {
  std::vector<std::string> service_texts;
  service_texts.reserve(services.size());
  for (const std::string& service : services) {
    service_texts.push_back(R"({"name":)" + Quoted(service) +
                            R"(,"healthPath":"/health","maxConns":40})");
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + Joined(routes) +
         R"(],"services":[)" + Joined(service_texts) + "]}";
}

std::string HeartbeatText(const std::string& service, const Address& address,
                          const std::string& state, uint64_t sequence, uint64_t born,
                          const std::string& data_centre) {
  return R"({"service":)" + Quoted(service) + R"(,"address":)" + Quoted(address) + R"(,"zone":)" +
         Quoted(data_centre) + R"(,"version":"v1","slots":4,"state":)" + Quoted(state) +
         R"(,"warmupLeftMs":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)" +
         std::to_string(born) + "}";
}

// --- RouteTarget ---

RouteTarget::RouteTarget(Address address, WorkTime work_time, Edit edit)
    : address(std::move(address)), work_time(std::move(work_time)), edit(std::move(edit)) {
  this->loop.Run([this] {
    auto listening =
        HttpServer::Listen(this->loop.io, this->address,
                           [this](const HttpRequest& request, const HttpResponder& responder) {
                             this->Handle(request, responder);
                           });
    if (listening) this->server = std::move(*listening);
  });
  REQUIRE(this->server);
}

RouteTarget::~RouteTarget() {
  this->loop.Run([this] { this->server.reset(); });
}

void RouteTarget::Handle(const HttpRequest& request, const HttpResponder& responder) {
  const std::string id(request.Header("Peridotgauge-Request-Id"));
  HttpResponse response{
      .status = request.path.ends_with("/fail") ? 500 : 200,
      .headers = {{"Peridotgauge-Request-Id", id}, {"Peridotgauge-Server-Stamp", "stamp-" + id}},
      .body = request.path};
  if (request.path.ends_with("/large")) response.body.resize(kLargeAnswerBytes, '.');
  if (this->edit) this->edit(response);
  Duration work(0);
  if (!id.empty()) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->arrivals.push_back(id);
    this->arrival_times.push_back(SteadyNow());
    work = this->work_time(request);
  }
  auto timer = std::make_shared<asio::steady_timer>(this->loop.io, work);
  timer->async_wait([timer, responder, response](boost::system::error_code error) {
    if (!error) responder.Send(response);
  });
}

size_t RouteTarget::Connections() {
  size_t connections = 0;
  this->loop.Run([&] { connections = this->server->Status().connections; });
  return connections;
}

std::vector<std::string> RouteTarget::Arrivals() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->arrivals;
}

std::vector<Time> RouteTarget::ArrivalTimes() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->arrival_times;
}

// --- RouteDeployment ---

RouteDeployment::RouteDeployment(RouteDeploymentOptions options) : options(options) {
  for (size_t i = 0; i < options.controllers; ++i) this->StartController(i);
  for (size_t i = 0; i < options.routers; ++i) this->Start("router-" + std::to_string(i));
  REQUIRE(AwaitDeployment([this] { return this->Leader().has_value(); }));
}

std::string RouteDeployment::SettingsText(const std::string& name) const {
  const std::string ip = this->processes.IpOf(name);
  const auto at = [&](int port) { return Quoted(ip + ":" + std::to_string(port)); };
  std::vector<std::string> seeds;
  for (size_t i = 0; i < this->options.controllers; ++i) {
    seeds.push_back(Quoted(this->ControllerAddress(i)));
  }
  const bool controller = name.starts_with("controller");
  return R"({"id":)" + Quoted(ip) + R"(,"data_centre":"z-a","interface":"routes","roles":[)" +
         Quoted(controller ? "controller" : "router") + R"(],"http_address":)" + at(kHttpPort) +
         R"(,"metrics_address":)" + at(kMetricsPort) + R"(,"peer_address":)" + at(kPeerPort) +
         (controller ? R"(,"directory_address":)" + at(kDirectoryPort) + R"(,"data_folder":)" +
                           Quoted(this->processes.Folder() + "/" + name)
                     : R"(,"health_address":)" + at(kHealthPort)) +
         R"(,"grace_ms":)" + std::to_string(WholeMillis(this->options.grace)) +
         R"(,"heartbeat_ms":)" + std::to_string(WholeMillis(this->options.heartbeat)) +
         R"(,"extra_ratio":)" + std::to_string(this->options.extra_ratio) + R"(,"extra_slack":)" +
         std::to_string(this->options.extra_slack) + R"(,"extra_window_s":10)" + R"(,"seeds":[)" +
         Joined(seeds) + "]}";
}

void RouteDeployment::StartController(size_t number) {
  this->Start("controller-" + std::to_string(number));
}

bool RouteDeployment::StopController(size_t number) {
  const std::string name = "controller-" + std::to_string(number);
  this->processes.Shutdown(name);
  const bool ended = AwaitDeployment([&] { return this->processes.Stopped(name); });
  this->processes.End(name);
  return ended;
}

void RouteDeployment::KillController(size_t number) {
  this->processes.End("controller-" + std::to_string(number));
}

void RouteDeployment::FreezeController(size_t number, Duration duration) {
  this->processes.Freeze("controller-" + std::to_string(number), duration);
}

std::optional<size_t> RouteDeployment::Leader() {
  for (size_t i = 0; i < this->options.controllers; ++i) {
    const auto health = Call(this->ControllerMetricsAddress(i),
                             {.method = "GET", .path = "/healthz"}, kControlTimeout);
    if (health && health->body.find(R"("role":"leader")") != std::string::npos) return i;
  }
  return std::nullopt;
}

void RouteDeployment::BeginStopRouter(size_t number) {
  this->processes.Shutdown("router-" + std::to_string(number));
}

bool RouteDeployment::RouterStopped(size_t number) {
  return this->processes.Stopped("router-" + std::to_string(number));
}

bool RouteDeployment::Apply(const std::string& text) {
  size_t next = 0;
  return AwaitDeployment([&] {
    const auto answer = Call(this->ControllerAddress(next++ % this->options.controllers),
                             {.method = "PUT", .path = "/config", .body = text}, kControlTimeout);
    return answer && answer->status == 200;
  });
}

std::optional<HttpResponse> RouteDeployment::Heartbeat(size_t controller, const std::string& id,
                                                       const std::string& body) {
  return Call(this->ControllerAddress(controller),
              {.method = "PUT", .path = "/instances/" + id, .body = body}, kControlTimeout);
}

std::optional<HttpResponse> RouteDeployment::Deregister(size_t controller, const std::string& id) {
  return Call(this->ControllerAddress(controller), {.method = "DELETE", .path = "/instances/" + id},
              kControlTimeout);
}

std::optional<HttpResponse> RouteDeployment::SetEvacuation(size_t controller,
                                                           const std::string& method,
                                                           const std::string& data_centre) {
  return Call(this->ControllerAddress(controller),
              {.method = method, .path = "/evacuations/" + data_centre}, kControlTimeout);
}

bool RouteDeployment::AwaitRouter(size_t number, const std::string& path) {
  return AwaitDeployment([&] {
    const auto answer = Call(this->RouterAddress(number),
                             CallerRequest("ready-" + std::to_string(++this->next_request), "GET",
                                           path, kControlTimeout),
                             kControlTimeout);
    return answer && answer->status == 200;
  });
}

bool RouteDeployment::AwaitRoute(const std::string& path) {
  for (size_t i = 0; i < this->options.routers; ++i) {
    if (!this->AwaitRouter(i, path)) return false;
  }
  return true;
}

bool RouteDeployment::RestartRouter(size_t number, const std::string& path) {
  const std::string name = "router-" + std::to_string(number);
  this->processes.End(name);
  this->Start(name);
  return this->AwaitRouter(number, path);
}

Address RouteDeployment::ControllerAddress(size_t number) const {
  return this->processes.IpOf("controller-" + std::to_string(number)) + ":" +
         std::to_string(kHttpPort);
}

Address RouteDeployment::ControllerMetricsAddress(size_t number) const {
  return this->processes.IpOf("controller-" + std::to_string(number)) + ":" +
         std::to_string(kMetricsPort);
}
Address RouteDeployment::ControllerDirectoryAddress(size_t number) const {
  return this->processes.IpOf("controller-" + std::to_string(number)) + ":" +
         std::to_string(kDirectoryPort);
}

Address RouteDeployment::RouterAddress(size_t number) const {
  return this->processes.IpOf("router-" + std::to_string(number)) + ":" + std::to_string(kHttpPort);
}

Address RouteDeployment::MetricsAddress(size_t number) const {
  return this->processes.IpOf("router-" + std::to_string(number)) + ":" +
         std::to_string(kMetricsPort);
}

Address RouteDeployment::NewAddress() {
  return this->processes.NewIp() + ":" + std::to_string(kTargetPort);
}

}  // namespace peridotgauge
