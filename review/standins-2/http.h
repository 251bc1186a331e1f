// Minimal HTTP/1.1 for stand-ins of clients, operators and servers, with blocking sockets.
//
// Use:
//   Answer answer = Call("127.40.1.1:8224", {.method = "GET", .path = "/config"}, 1000);
//   if (answer.status == 200) ...
#ifndef PERIDOTGAUGE_REVIEW_STANDINS_2_HTTP_H_
#define PERIDOTGAUGE_REVIEW_STANDINS_2_HTTP_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace peridotgauge::review {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first header with that name, or an empty string.
std::string FindHeader(const Headers& headers, const std::string& name);

struct Request {
  std::string method = "GET";
  std::string path = "/";
  Headers headers = {};
  std::string body = {};
};

struct Answer {
  int status = 0;  // 0: there was no complete answer
  Headers headers = {};
  std::string body = {};
  std::string error = {};  // why there was none
};

// A connected or accepted socket. Closed at the end of its life.
class Connection {
 public:
  explicit Connection(int fd) : fd(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Valid() const { return this->fd >= 0; }
  int Fd() const { return this->fd; }
  // Sends all bytes. Returns false on an error.
  bool Send(const std::string& bytes);
  // Reads one message: the start line, the headers and a body with a length. Returns false at the
  // end of the stream, on an error or after the timeout.
  bool ReadMessage(std::string& start_line, Headers& headers, std::string& body,
                   int64_t timeout_ms);
  // Returns true if the last read met the end of the stream or an error, not a timeout.
  bool Ended() const { return this->ended; }
  // Closes with a reset.
  void Reset();

 private:
  bool ReadMore(int64_t deadline);

  int fd;
  bool ended = false;
  std::string buffer;  // bytes received and not yet returned
};

// Connects to "IP:PORT". Returns -1 if that fails.
int Connect(const std::string& address, int64_t timeout_ms);

std::string RequestText(const Request& request, const std::string& host);
std::string AnswerText(const Answer& answer);

// Sends a request on a new connection and returns the answer.
Answer Call(const std::string& address, const Request& request, int64_t timeout_ms);

// Opens a listening socket. Returns -1 if the address cannot be used.
int Listen(const std::string& address);
// Waits up to the timeout for a connection. Returns -1 if none came.
int Accept(int listener, int64_t timeout_ms);

}  // namespace peridotgauge::review

#endif  // PERIDOTGAUGE_REVIEW_STANDINS_2_HTTP_H_
