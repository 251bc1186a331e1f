// Sockets, processes and threads of the review's scripts.
#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace review {
namespace {

constexpr int kHttpPort = 18'101;
constexpr int kReadyPort = 18'102;
constexpr int kDirectoryPort = 18'103;
constexpr int kMetricsPort = 18'104;
constexpr int kPeerPort = 18'105;
constexpr int kBackendPort = 18'110;
constexpr int64_t kControlTimeoutMs = 1'000;
constexpr double kStartTimeoutS = 15;

const auto kStart = std::chrono::steady_clock::now();

int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Find(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return "";
}

sockaddr_in ToSockaddr(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

int Listen(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in local = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 ||
      listen(fd, SOMAXCONN) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(count));
  }
  return true;
}

// Reads more bytes until `deadline`. Returns "" on success, otherwise "closed" or "timeout".
std::string ReadMore(int fd, std::string& buffer, double deadline) {
  pollfd waiting{.fd = fd, .events = POLLIN, .revents = 0};
  const int left = static_cast<int>(std::max(0.0, (deadline - Now()) * 1000));
  if (poll(&waiting, 1, left) <= 0) return "timeout";
  std::array<char, 16'384> chunk{};
  const ssize_t count = recv(fd, chunk.data(), chunk.size(), 0);
  if (count <= 0) return "closed";
  buffer.append(chunk.data(), static_cast<size_t>(count));
  return "";
}

// Splits the head of a message at `end` into its first line and its headers.
std::string ParseHead(const std::string& head, Headers& headers) {
  size_t begin = head.find("\r\n");
  std::string first = head.substr(0, begin);
  while (begin != std::string::npos && begin + 2 < head.size()) {
    begin += 2;
    const size_t end = std::min(head.find("\r\n", begin), head.size());
    const std::string line = head.substr(begin, end - begin);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
      headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    begin = end == head.size() ? std::string::npos : end;
  }
  return first;
}

struct Message {
  std::string first;
  Headers headers;
  std::string body;
};

// Reads one message with a Content-Length. Returns "" on success, otherwise why there is none.
std::string ReadMessage(int fd, std::string& buffer, double deadline, Message& message) {
  size_t head = std::string::npos;
  while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (std::string failure = ReadMore(fd, buffer, deadline); !failure.empty()) return failure;
  }
  message.first = ParseHead(buffer.substr(0, head), message.headers);
  buffer.erase(0, head + 4);
  const std::string length = Find(message.headers, "content-length");
  const size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer.size() < size) {
    if (std::string failure = ReadMore(fd, buffer, deadline); !failure.empty()) return failure;
  }
  message.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return "";
}

std::string Seconds(double seconds) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%9.3f", seconds);
  return text.data();
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}

void SleepUntil(double seconds) {
  const double left = seconds - Now();
  if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

void SleepMillis(int64_t millis) { SleepUntil(Now() + static_cast<double>(millis) / 1000); }

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

// --- Record ---

Record::Record(const std::string& path)
    : file(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)) {}

Record::~Record() { close(this->file); }

void Record::Line(const std::string& text) {
  const std::string line = Seconds(Now()) + " s  " + text + "\n";
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (write(this->file, line.data(), line.size()) < 0) std::perror("record");
}

// --- HTTP ---

std::string Request::Header(std::string_view name) const { return Find(this->headers, name); }
std::string Reply::Header(std::string_view name) const { return Find(this->headers, name); }

Reply Call(const std::string& address, const std::string& method, const std::string& target,
           const Headers& headers, const std::string& body, int64_t timeout_ms) {
  const double deadline = Now() + static_cast<double>(timeout_ms) / 1000;
  Reply reply;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in remote = ToSockaddr(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0) {
    close(fd);
    reply.failure = "refused";
    return reply;
  }
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  if (Find(headers, "host").empty()) text += "Host: " + address + "\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  reply.sent = WriteAll(fd, text);
  std::string buffer;
  Message message;
  reply.failure = ReadMessage(fd, buffer, deadline, message);
  close(fd);
  if (!reply.failure.empty()) return reply;
  reply.status = std::atoi(message.first.substr(message.first.find(' ') + 1).c_str());
  reply.headers = std::move(message.headers);
  reply.body = std::move(message.body);
  return reply;
}

// --- Backend ---

Backend::Backend(Record& record, BackendOptions options, Decide decide)
    : record(record), options(std::move(options)), decide(std::move(decide)) {
  this->listener = Listen(this->options.address);
  if (this->listener < 0) {
    this->record.Line("cannot bind " + this->options.address);
    std::exit(kCannotRun);
  }
  this->acceptor = std::thread([this] { this->Accept(); });
}

Backend::~Backend() {
  this->Crash();
  this->acceptor.join();
  for (std::thread& thread : this->served) thread.join();
}

void Backend::Crash() {
  if (!this->alive.exchange(false)) return;
  shutdown(this->listener, SHUT_RDWR);
  close(this->listener);
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const int connection : this->connections) shutdown(connection, SHUT_RDWR);
  this->record.Line("backend " + this->options.id + " ends");
}

std::vector<Arrival> Backend::Arrivals() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->arrivals;
}

std::vector<std::string> Backend::Ran() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->ran;
}

void Backend::Accept() {
  while (this->alive) {
    const int connection = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) continue;
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->connections.insert(connection);
    this->served.emplace_back([this, connection] { this->Serve(connection); });
  }
}

void Backend::Serve(int connection) {
  constexpr double kIdleTimeoutS = 60;
  std::string buffer;
  std::string extra;
  while (this->alive) {
    Message message;
    if (!ReadMessage(connection, buffer, Now() + kIdleTimeoutS, message).empty()) break;
    const size_t space = message.first.find(' ');
    const size_t end = message.first.rfind(' ');
    const Request request{.method = message.first.substr(0, space),
                          .target = message.first.substr(space + 1, end - space - 1),
                          .headers = std::move(message.headers),
                          .body = std::move(message.body),
                          .arrived = Now()};
    if (!this->Answer(connection, request, extra)) break;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->connections.erase(connection);
  close(connection);
}

bool Backend::TakeSlot(const std::string& id) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->running >= this->options.slots && this->waiting >= this->options.queue) return false;
    ++this->waiting;
  }
  while (this->alive) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->running < this->options.slots) {
        ++this->running;
        --this->waiting;
        this->ran.push_back(id);
        return true;
      }
    }
    SleepMillis(1);
  }
  return true;
}

bool Backend::Answer(int connection, const Request& request, std::string& extra) {
  const std::string id = request.Header("Peridotgauge-Request-Id");
  const auto respond = [&](const std::string& status, const std::string& extra,
                           const std::string& body) {
    return WriteAll(connection, "HTTP/1.1 " + status + "\r\n" + extra + "Content-Length: " +
                                    std::to_string(body.size()) + "\r\n\r\n" + body);
  };
  if (request.target == "/health") {
    return respond("200 OK", "Peridotgauge-Instance-Id: " + this->options.id + "\r\n", "");
  }
  const std::string echo = "Peridotgauge-Request-Id: " + id + "\r\n";
  const std::string expected = request.Header("Peridotgauge-Expect-Instance");
  if (!expected.empty() && expected != this->options.id) {
    return respond("421 Misdirected Request", echo + "Peridotgauge-Not-Executed: 1\r\n", "");
  }
  this->record.Line("request " + id + " reaches " + this->options.id);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->arrivals.push_back({id, request.arrived});
  }
  if (!extra.empty()) {
    this->record.Line("request " + id + ": " + this->options.id +
                      " sends the earlier refusal again");
    ++this->extra_answers;
    if (!WriteAll(connection, std::exchange(extra, ""))) return false;
  }
  if (!this->TakeSlot(id)) {
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n" + echo +
                                "Peridotgauge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    this->record.Line("request " + id + " is refused by " + this->options.id);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->repeat_credit += this->options.repeated_refusals;
    if (this->repeat_credit >= 1) {
      this->repeat_credit -= 1;
      extra = refusal;
    }
    return WriteAll(connection, refusal);
  }
  this->record.Line("request " + id + " is run by " + this->options.id);
  const Work work = this->decide(request);
  if (work.crash) {
    this->record.Line("request " + id + " crashes " + this->options.id);
    this->Crash();
    return false;
  }
  const double end = Now() + static_cast<double>(work.millis) / 1000;
  while (this->alive && Now() < end) SleepMillis(1);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->running;
  }
  if (!this->alive) return false;
  this->record.Line("request " + id + " ends at " + this->options.id + ": 200");
  return respond("200 OK",
                 echo + "Peridotgauge-Server-Stamp: " + this->options.id + "." + id + "\r\n",
                 "answer of " + this->options.id + " to " + id);
}

// --- Registrar ---

Registrar::Registrar(Record& record, const Backend& backend, std::vector<std::string> controllers,
                     int64_t heartbeat_ms)
    : record(record),
      backend(backend),
      controllers(std::move(controllers)),
      heartbeat_ms(heartbeat_ms),
      born_ms(UnixMillis()) {
  this->thread = std::thread([this] { this->Run(); });
}

Registrar::~Registrar() {
  this->stopped = true;
  this->thread.join();
}

std::string Registrar::Body() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const BackendOptions& options = this->backend.Options();
  return R"({"service":")" + options.service + R"(","address":")" + options.address +
         R"(","zone":")" + options.zone + R"(","version":"v1","slots":)" +
         std::to_string(options.slots) + R"(,"state":")" + this->state +
         R"(","warmupLeftMs":0,"sequence":)" + std::to_string(++this->sequence) + R"(,"born":)" +
         std::to_string(this->born_ms) + "}";
}

void Registrar::Run() {
  size_t next = 0;
  while (!this->stopped) {
    if (!this->silent) {
      const std::string body = this->Body();
      const Reply reply =
          Call(this->controllers[next], "PUT", "/instances/" + this->backend.Options().id, {}, body,
               kControlTimeoutMs);
      if (reply.status / 100 != 2) next = (next + 1) % this->controllers.size();
    }
    const double wake = Now() + static_cast<double>(this->heartbeat_ms) / 1000;
    while (!this->stopped && Now() < wake) SleepMillis(20);
  }
}

double Registrar::SendUntilAcknowledged(const std::string& method, const std::string& what) {
  const std::string target = "/instances/" + this->backend.Options().id;
  for (size_t i = 0; Now() < 110; ++i) {
    const std::string& controller = this->controllers[i % this->controllers.size()];
    const std::string body = method == "DELETE" ? "" : this->Body();
    const Reply reply = Call(controller, method, target, {}, body, kControlTimeoutMs);
    if (reply.status / 100 == 2) {
      std::string line = "backend " + this->backend.Options().id;
      line.append(" ").append(what).append(": acknowledged by ").append(controller);
      this->record.Line(line);
      return Now();
    }
    SleepMillis(50);
  }
  std::exit(kCannotRun);
}

double Registrar::Drain() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->state = "draining";
  }
  return this->SendUntilAcknowledged("PUT", "reports draining");
}

double Registrar::Leave() {
  this->silent = true;
  return this->SendUntilAcknowledged("DELETE", "sends DELETE");
}

void Registrar::Silence() { this->silent = true; }

std::string Registrar::TakeHeartbeat() {
  std::string body = this->Body();
  this->record.Line("heartbeat of " + this->backend.Options().id + " is sent and held up: " + body);
  return body;
}

int Registrar::Deliver(const std::string& heartbeat) {
  for (const std::string& controller : this->controllers) {
    const Reply reply = Call(controller, "PUT", "/instances/" + this->backend.Options().id, {},
                             heartbeat, kControlTimeoutMs);
    this->record.Line("heartbeat held up arrives at " + controller + ": answered " +
                      std::to_string(reply.status));
    if (reply.status != 0) return reply.status;
  }
  return 0;
}

// --- Deployment ---

Deployment::Deployment(Record& record, std::string daemon, DeploymentOptions options)
    : record(record), daemon(std::move(daemon)), options(options) {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->folder = mkdtemp(pattern.data());
  // Picks a loopback network whose addresses are free.
  for (int number = 0; number < 200; ++number) {
    const int third = static_cast<int>((getpid() + number) % 250) + 1;
    this->network = "127.77." + std::to_string(third) + ".";
    const int probe = Listen(this->network + "1:" + std::to_string(kHttpPort));
    if (probe < 0) continue;
    close(probe);
    return;
  }
  std::exit(kCannotRun);
}

Deployment::~Deployment() {
  for (const auto& [name, process] : this->processes) {
    kill(process, SIGCONT);
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(this->folder, ignored);
}

std::string Deployment::IpOf(const std::string& name) const {
  const int number = std::stoi(name.substr(name.find('-') + 1));
  return this->network + std::to_string(name.starts_with("controller") ? number : 20 + number);
}

// Fills in what the templates of the deploy folder contain for such a deployment.
std::string Deployment::Settings(const std::string& name) const {
  const std::string ip = this->IpOf(name);
  const bool controller = name.starts_with("controller");
  const auto at = [&](int port) { return "\"" + ip + ":" + std::to_string(port) + "\""; };
  std::string seeds;
  for (int i = 1; i <= this->options.controllers; ++i) {
    seeds += (i == 1 ? "\"" : ",\"") + this->IpOf("controller-" + std::to_string(i)) + ":" +
             std::to_string(kHttpPort) + "\"";
  }
  std::string text = "{\"id\": \"" + ip + "\", \"data_centre\": \"z-a\", \"roles\": [\"" +
                     (controller ? "controller" : "router") + "\"], \"interface\": \"routes\", ";
  text += "\"http_address\": " + at(kHttpPort) + ", \"metrics_address\": " + at(kMetricsPort) +
          ", \"peer_address\": " + at(kPeerPort) + ", ";
  if (controller) {
    text += "\"directory_address\": " + at(kDirectoryPort) + ", \"data_folder\": \"" +
            this->folder + "/" + name + "\", ";
  } else {
    text += "\"processor_share\": 0.25, \"health_address\": " + at(kReadyPort) +
            ", \"extra_ratio\": 0.2, \"extra_slack\": 58, \"extra_window_s\": 10, ";
  }
  return text + "\"grace_ms\": " + std::to_string(this->options.grace_s) + "000, " +
         "\"heartbeat_ms\": " + std::to_string(this->options.heartbeat_ms) + ", \"seeds\": [" +
         seeds + "]}\n";
}

void Deployment::Launch(const std::string& name) {
  const std::string settings = this->folder + "/" + name + ".json";
  std::ofstream(settings) << this->Settings(name);
  const std::string log = this->folder + "/" + name + ".log";
  const std::string argument = "--settings=" + settings;
  const pid_t process = fork();
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(this->daemon.c_str(), this->daemon.c_str(), argument.c_str(), nullptr);
    _exit(kCannotRun);
  }
  this->processes[name] = process;
  this->record.Line(name + " starts at " + this->IpOf(name));
}

bool Deployment::Start() {
  for (int i = 1; i <= this->options.controllers; ++i) {
    this->Launch("controller-" + std::to_string(i));
  }
  for (int i = 1; i <= this->options.routers; ++i) this->Launch("router-" + std::to_string(i));
  while (Now() < kStartTimeoutS) {
    if (!this->Leader().empty()) return true;
    SleepMillis(100);
  }
  this->record.Line("no controller leads");
  return false;
}

bool Deployment::Apply(const std::string& config) {
  const std::vector<std::string> controllers = this->ControllerAddresses();
  const double end = Now() + kStartTimeoutS;
  for (size_t i = 0; Now() < end; ++i) {
    const Reply reply =
        Call(controllers[i % controllers.size()], "PUT", "/config", {}, config, kControlTimeoutMs);
    if (reply.status == 200) {
      this->record.Line("configuration acknowledged by " + controllers[i % controllers.size()]);
      return true;
    }
    SleepMillis(100);
  }
  this->record.Line("configuration not acknowledged");
  return false;
}

bool Deployment::AwaitReady() {
  const double end = Now() + kStartTimeoutS;
  for (int i = 1; i <= this->options.routers; ++i) {
    const std::string address =
        this->IpOf("router-" + std::to_string(i)) + ":" + std::to_string(kReadyPort);
    while (Call(address, "GET", "/readiness", {}, "", kControlTimeoutMs).status != 200) {
      if (Now() > end) return false;
      SleepMillis(100);
    }
  }
  return true;
}

void Deployment::Signal(const std::string& name, int signal) {
  this->record.Line("signal " + std::string(strsignal(signal)) + " to " + name);
  kill(this->processes.at(name), signal);
}

void Deployment::Wait(const std::string& name) {
  waitpid(this->processes.at(name), nullptr, 0);
  this->processes.erase(name);
  this->record.Line(name + " has ended");
}

bool Deployment::Running(const std::string& name) {
  const auto found = this->processes.find(name);
  if (found == this->processes.end()) return false;
  if (waitpid(found->second, nullptr, WNOHANG) == 0) return true;
  this->processes.erase(found);
  this->record.Line(name + " has ended");
  return false;
}

double Deployment::PeakMemoryMib(const std::string& name) {
  if (!this->Running(name)) return 0;
  std::ifstream status("/proc/" + std::to_string(this->processes.at(name)) + "/status");
  constexpr std::string_view kPeak = "VmHWM:";
  constexpr double kKibPerMib = 1024;
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kPeak)) return std::atof(line.c_str() + kPeak.size()) / kKibPerMib;
  }
  return 0;
}

double Deployment::DataFolderMib(const std::string& name) const {
  constexpr double kBytesPerMib = 1 << 20;
  double bytes = 0;
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator(this->folder + "/" + name, ignored)) {
    bytes += static_cast<double>(entry.file_size(ignored));
  }
  return bytes / kBytesPerMib;
}

std::string Deployment::Leader() {
  for (int i = 1; i <= this->options.controllers; ++i) {
    std::string name = "controller-" + std::to_string(i);
    const Reply reply = Call(this->IpOf(name) + ":" + std::to_string(kMetricsPort), "GET",
                             "/healthz", {}, "", kControlTimeoutMs);
    if (reply.body.find(R"("role":"leader")") != std::string::npos) return name;
  }
  return "";
}

std::vector<std::string> Deployment::ControllerAddresses() const {
  std::vector<std::string> out;
  for (int i = 1; i <= this->options.controllers; ++i) {
    out.push_back(this->IpOf("controller-" + std::to_string(i)) + ":" + std::to_string(kHttpPort));
  }
  return out;
}

std::string Deployment::RouterAddress(int number) const {
  return this->IpOf("router-" + std::to_string(number)) + ":" + std::to_string(kHttpPort);
}

std::string Deployment::NewAddress() {
  return this->network + std::to_string(this->next_host++) + ":" + std::to_string(kBackendPort);
}

// --- Texts ---

std::string RouteJson(const std::string& name, const std::string& prefix, const std::string& kind,
                      int64_t timeout_ms, int max_attempts, const std::string& service) {
  return R"({"name":")" + name + R"(","host":")" + std::string(kHost) + R"(","pathPrefix":")" +
         prefix + R"(","kind":")" + kind + R"(","timeoutMs":)" + std::to_string(timeout_ms) +
         R"(,"targetLatencyMs":800,"priority":1,"service":")" + service + R"(","maxAttempts":)" +
         std::to_string(max_attempts) + "}";
}

std::string ConfigJson(uint64_t version, const std::vector<std::string>& routes,
                       const std::vector<std::pair<std::string, int>>& services) {
  std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (size_t i = 0; i < routes.size(); ++i) text += (i == 0 ? "" : ",") + routes[i];
  text += R"(],"services":[)";
  for (size_t i = 0; i < services.size(); ++i) {
    text += std::string(i == 0 ? "" : ",") + R"({"name":")" + services[i].first +
            R"(","healthPath":"/health","maxConns":)" + std::to_string(services[i].second) +
            R"(,"protocol":"h1","tls":false})";
  }
  return text +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)" +
         R"("idleTimeoutMs":15000}})";
}

Headers ClientHeaders(const std::string& request_id, int64_t deadline_ms) {
  return {{"Host", std::string(kHost)},
          {"Peridotgauge-Request-Id", request_id},
          {"Peridotgauge-Deadline-Ms", std::to_string(deadline_ms)}};
}

}  // namespace review
