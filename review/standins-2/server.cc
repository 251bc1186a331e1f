// Threads of a backend stand-in.
#include "review/standins-2/server.h"

#include <unistd.h>

#include <chrono>
#include <utility>

namespace peridotgauge::review {
namespace {

constexpr size_t kRecordBytes = 16;
constexpr int kRecords = 4;
constexpr int64_t kPingIntervalMs = 1'000;
constexpr int64_t kPollMs = 100;
constexpr int64_t kIdleMs = 15'000;

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Server::Server(ServerOptions options, Record& record)
    : options(std::move(options)), record(record), listener(Listen(this->options.address)) {
  this->threads.emplace_back([this] { this->AcceptLoop(); });
}

Server::~Server() {
  this->stopping = true;
  while (true) {
    std::list<std::thread> ended;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      ended.swap(this->threads);
    }
    if (ended.empty()) break;
    for (std::thread& thread : ended) thread.join();
  }
  if (this->listener >= 0) close(this->listener);
}

void Server::AcceptLoop() {
  while (!this->stopping) {
    const int fd = Accept(this->listener, kPollMs);
    if (fd < 0) continue;
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->threads.emplace_back([this, fd] { this->Serve(fd); });
  }
}

void Server::Serve(int fd) {
  Connection connection(fd);
  std::string start_line;
  Headers headers;
  std::string body;
  int64_t idle_ms = 0;
  while (!this->stopping && idle_ms < kIdleMs) {
    if (!connection.ReadMessage(start_line, headers, body, kPollMs)) {
      if (connection.Ended()) return;
      idle_ms += kPollMs;
      continue;
    }
    idle_ms = 0;
    const size_t first = start_line.find(' ');
    const size_t second = start_line.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos) return;
    if (!this->options.faulty_begin.empty()) {
      bool sent = connection.Send(this->options.faulty_begin);
      while (sent && !this->stopping) sent = connection.Send(this->options.faulty_repeat);
      return;
    }
    const Answer answer = this->Handle(start_line.substr(0, first),
                                       start_line.substr(first + 1, second - first - 1), headers);
    if (!connection.Send(AnswerText(answer))) return;
  }
}

Answer Server::Handle(const std::string& method, const std::string& path, const Headers& headers) {
  const std::string expected = FindHeader(headers, "Peridotgauge-Expect-Instance");
  if (!expected.empty() && expected != this->options.id) {
    return {.status = 421, .headers = {{"Peridotgauge-Not-Executed", "1"}}};
  }
  const std::string id = FindHeader(headers, "Peridotgauge-Request-Id");
  if (id.empty()) {
    if (path == "/health") {
      return {.status = 200, .headers = {{"Peridotgauge-Instance-Id", this->options.id}}};
    }
    return {.status = 400, .headers = {{"Peridotgauge-Not-Executed", "1"}}};
  }
  if (this->options.recorded) {
    this->record.Write(this->options.id + " of " + this->options.service + " runs " + id + " " +
                       method + " " + path);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs.push_back({.request_id = id, .path = path});
  }
  if (this->options.work_ms > 0) SleepMs(this->options.work_ms);
  Answer answer{.status = 200,
                .headers = {{"Peridotgauge-Request-Id", id},
                            {"Peridotgauge-Server-Stamp",
                             this->options.service + "." + this->options.id + "." + id}}};
  for (int i = 0; i < kRecords; ++i) {
    std::string text = this->options.service + "." + std::to_string(i);
    text.resize(kRecordBytes, '.');
    answer.body += text;
  }
  return answer;
}

void Server::Register(Deployment& deployment) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->threads.emplace_back([this, &deployment] { this->PingLoop(deployment); });
}

void Server::PingLoop(Deployment& deployment) {
  const int64_t born = UnixMs();
  const std::vector<std::string> controllers = deployment.Controllers();
  size_t next = 0;
  for (int sequence = 1; !this->stopping && this->pinging; ++sequence) {
    const std::string body =
        R"({"service":")" + this->options.service + R"(","address":")" + this->options.address +
        R"(","zone":")" + this->options.zone +
        R"(","version":"v1","slots":4,"state":"ready","warmupLeftMs":0,"sequence":)" +
        std::to_string(sequence) + R"(,"born":)" + std::to_string(born) + "}";
    const Answer answer =
        Call(deployment.At(controllers[next % controllers.size()], kControlPort),
             {.method = "PUT", .path = "/instances/" + this->options.id, .body = body}, 1'000);
    const bool confirmed = answer.status >= 200 && answer.status < 300;
    if (confirmed) {
      ++this->confirmed_pings;
    } else {
      ++next;
    }
    for (int64_t waited = 0; !this->stopping && waited < (confirmed ? kPingIntervalMs : 100);
         waited += 50) {
      SleepMs(50);
    }
  }
}

std::vector<Run> Server::Runs() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->runs;
}

}  // namespace peridotgauge::review
