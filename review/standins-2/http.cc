// Blocking sockets with timeouts by poll().
#include "review/standins-2/http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>

namespace peridotgauge::review {
namespace {

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

bool WaitFor(int fd, int16_t events, int64_t deadline) {
  pollfd entry{.fd = fd, .events = events, .revents = 0};
  const int64_t left = std::max<int64_t>(deadline - NowMs(), 0);
  return poll(&entry, 1, static_cast<int>(left)) > 0;
}

bool ParseAddress(const std::string& address, sockaddr_in& out) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  out = {};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1)));
  return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

void AppendHeaders(const Headers& headers, std::string& text) {
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
}

}  // namespace

std::string FindHeader(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

Connection::~Connection() {
  if (this->fd >= 0) close(this->fd);
}

int Connect(const std::string& address, int64_t timeout_ms) {
  sockaddr_in remote{};
  if (!ParseAddress(address, remote)) return -1;
  const int64_t deadline = NowMs() + timeout_ms;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return -1;
  int error = 0;
  socklen_t size = sizeof(error);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) != 0 &&
      (errno != EINPROGRESS || !WaitFor(fd, POLLOUT, deadline) ||
       getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

bool Connection::Send(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Connection::ReadMore(int64_t deadline) {
  if (!WaitFor(this->fd, POLLIN, deadline)) return false;
  char bytes[16384];
  const ssize_t count = recv(this->fd, bytes, sizeof(bytes), 0);
  this->ended = count <= 0;
  if (this->ended) return false;
  this->buffer.append(bytes, static_cast<size_t>(count));
  return true;
}

bool Connection::ReadMessage(std::string& start_line, Headers& headers, std::string& body,
                             int64_t timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  size_t end = 0;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->ReadMore(deadline)) return false;
  }
  const std::string head = this->buffer.substr(0, end + 2);
  this->buffer.erase(0, end + 4);
  size_t at = head.find("\r\n");
  start_line = head.substr(0, at);
  headers.clear();
  for (at += 2; at < head.size();) {
    const size_t line_end = head.find("\r\n", at);
    const std::string line = head.substr(at, line_end - at);
    at = line_end + 2;
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const size_t value = line.find_first_not_of(' ', colon + 1);
    headers.emplace_back(line.substr(0, colon),
                         value == std::string::npos ? "" : line.substr(value));
  }
  const size_t length = std::strtoul(FindHeader(headers, "content-length").c_str(), nullptr, 10);
  while (this->buffer.size() < length) {
    if (!this->ReadMore(deadline)) return false;
  }
  body = this->buffer.substr(0, length);
  this->buffer.erase(0, length);
  return true;
}

void Connection::Reset() {
  const linger off{.l_onoff = 1, .l_linger = 0};
  setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
  close(this->fd);
  this->fd = -1;
}

std::string RequestText(const Request& request, const std::string& host) {
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
  if (FindHeader(request.headers, "host").empty()) text += "Host: " + host + "\r\n";
  AppendHeaders(request.headers, text);
  if (!request.body.empty() || request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n" + request.body;
}

std::string AnswerText(const Answer& answer) {
  std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " Status\r\n";
  AppendHeaders(answer.headers, text);
  return text + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

Answer Call(const std::string& address, const Request& request, int64_t timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  Answer answer;
  Connection connection(Connect(address, timeout_ms));
  if (!connection.Valid()) {
    answer.error = "no connection";
    return answer;
  }
  std::string start_line;
  if (!connection.Send(RequestText(request, address)) ||
      !connection.ReadMessage(start_line, answer.headers, answer.body,
                              std::max<int64_t>(deadline - NowMs(), 0))) {
    answer.error = "no answer";
    return answer;
  }
  const size_t space = start_line.find(' ');
  if (space != std::string::npos) answer.status = std::atoi(start_line.c_str() + space + 1);
  return answer;
}

int Listen(const std::string& address) {
  sockaddr_in local{};
  if (!ParseAddress(address, local)) return -1;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
      listen(fd, SOMAXCONN) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int Accept(int listener, int64_t timeout_ms) {
  if (!WaitFor(listener, POLLIN, NowMs() + timeout_ms)) return -1;
  return accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
}

}  // namespace peridotgauge::review
