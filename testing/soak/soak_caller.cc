// Blocking HTTP connections of the soak.
#include "testing/soak/soak_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <optional>

#include "core/address.h"
#include "io/clock.h"

namespace peridotgauge {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

// Returns the value of a header of the response head, or nothing.
std::optional<std::string> HeaderOf(const std::string& head, std::string_view name) {
  for (size_t line = head.find("\r\n"); line != std::string::npos; line = head.find("\r\n", line)) {
    line += 2;
    if (strncasecmp(head.data() + line, name.data(), name.size()) != 0) continue;
    const size_t colon = line + name.size();
    if (colon >= head.size() || head[colon] != ':') continue;
    const size_t start = head.find_first_not_of(' ', colon + 1);
    return head.substr(start, head.find("\r\n", start) - start);
  }
  return std::nullopt;
}

}  // namespace

bool SoakConnection::Open(const Address& address) {
  this->Close();
  const auto endpoint = ParseAddress(address);
  if (!endpoint) return false;
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(endpoint->port);
  if (inet_pton(AF_INET, endpoint->host.c_str(), &to.sin_addr) != 1) return false;
  this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(this->fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return true;
  this->Close();
  return false;
}

void SoakConnection::Close() {
  if (this->fd >= 0) close(this->fd);
  this->fd = -1;
}

CallerEnd SoakConnection::Send(const std::string& request, Duration timeout, std::string* body) {
  CallerEnd end;
  const auto finish = [&](CallerEndKind kind, std::string detail = {}) {
    end.kind = kind;
    end.ended = SteadyNow();
    end.detail = std::move(detail);
    if (kind != CallerEndKind::kAnswered) this->Close();
    return end;
  };
  for (size_t done = 0; done < request.size();) {
    const ssize_t count =
        send(this->fd, request.data() + done, request.size() - done, MSG_NOSIGNAL);
    if (count < 0) return finish(CallerEndKind::kUnsent, std::strerror(errno));
    done += static_cast<size_t>(count);
  }
  end.sent = SteadyNow();
  const Time limit = end.sent + timeout;
  std::string received;
  std::array<char, 16'384> bytes{};
  while (true) {
    const size_t head_end = received.find(kHeadEnd);
    if (head_end != std::string::npos) {
      const std::string head = received.substr(0, head_end + 2);
      if (!head.starts_with("HTTP/1.1 ")) return finish(CallerEndKind::kMalformed, head);
      const auto length = HeaderOf(head, "Content-Length");
      if (!length) return finish(CallerEndKind::kMalformed, "no length: " + head);
      const size_t total = head_end + kHeadEnd.size() + std::strtoull(length->c_str(), nullptr, 10);
      if (received.size() > total) return finish(CallerEndKind::kMalformed, received);
      if (received.size() == total) {
        end.status = std::atoi(head.c_str() + 9);
        end.closes = HeaderOf(head, "Connection").value_or("") == "close";
        end.has_retry_after = HeaderOf(head, "Retry-After").has_value();
        if (body != nullptr) *body = received.substr(head_end + kHeadEnd.size());
        return finish(CallerEndKind::kAnswered);
      }
    }
    pollfd wait{.fd = this->fd, .events = POLLIN, .revents = 0};
    const int64_t left = WholeMillis(limit - SteadyNow());
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) == 0) {
      return finish(CallerEndKind::kTimedOut, std::to_string(received.size()) + " bytes");
    }
    const ssize_t count = recv(this->fd, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return finish(CallerEndKind::kClosed,
                    (count == 0 ? std::string("end") : std::string(std::strerror(errno))) +
                        " after " + std::to_string(received.size()) + " bytes");
    }
    received.append(bytes.data(), static_cast<size_t>(count));
  }
}

}  // namespace peridotgauge
