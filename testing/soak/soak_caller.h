// A caller of the soak: sends requests one after another on a connection that it keeps open until
// the router closes it, and records how each request ended.
//
// Use:
//   SoakConnection connection;
//   if (connection.Open("127.81.3.21:18401")) CallerEnd end = connection.Send(text, Seconds(4));
//
// Contract: blocking; used by one thread. After any end but kAnswered the connection is closed.
#ifndef PERIDOTGAUGE_TESTING_SOAK_CALLER_H_
#define PERIDOTGAUGE_TESTING_SOAK_CALLER_H_

#include <string>

#include "core/types.h"

namespace peridotgauge {

enum class CallerEndKind {
  kAnswered,   // a complete response
  kClosed,     // the connection ended without a complete response
  kTimedOut,   // no complete response in time
  kUnsent,     // the request could not be written completely
  kMalformed,  // bytes that are no response, or more than one
};

struct CallerEnd {
  CallerEndKind kind = CallerEndKind::kUnsent;
  int status = 0;
  bool closes = false;  // the response announces that the connection closes
  bool has_retry_after = false;
  Time sent;  // when the last byte was written
  Time ended;
  std::string detail;
};

class SoakConnection {
 public:
  SoakConnection() = default;
  ~SoakConnection() { this->Close(); }
  SoakConnection(const SoakConnection&) = delete;
  SoakConnection& operator=(const SoakConnection&) = delete;

  bool Open(const Address& address);
  bool IsOpen() const { return this->fd >= 0; }
  // Sends the whole request and reads the response; stores its body in `body` unless that is null.
  CallerEnd Send(const std::string& request, Duration timeout, std::string* body = nullptr);
  void Close();

 private:
  int fd = -1;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_TESTING_SOAK_CALLER_H_
