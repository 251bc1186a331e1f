// Tests the event log. Guards against blocking on a slow reader, lines above the rate limit, and
// lines that are not valid JSON.
#include "io/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

class Pipe {
 public:
  Pipe() { REQUIRE(::pipe(this->fds.data()) == 0); }
  ~Pipe() {
    ::close(this->fds[0]);
    ::close(this->fds[1]);
  }
  int WriteEnd() const { return this->fds[1]; }
  std::string ReadAll() const {
    ::fcntl(this->fds[0], F_SETFL, O_NONBLOCK);
    std::string out;
    std::array<char, 4096> chunk;
    for (ssize_t n; (n = ::read(this->fds[0], chunk.data(), chunk.size())) > 0;) {
      out.append(chunk.data(), static_cast<size_t>(n));
    }
    return out;
  }

 private:
  std::array<int, 2> fds{};
};

TEST_CASE("event log", "[event_log]") {
  const Pipe pipe;
  EventLog log(pipe.WriteEnd());
  SECTION("a line is JSON with typed fields") {
    log.Write(TimeAt(1), 5,
              Event("request_end")
                  .Add("request", "a\"b\\\n\xff")
                  .Add("n", 3)
                  .Add("share", 2.25)
                  .Add("ok", true)
                  .Add("elapsed_ms", Duration(1'500)));
    const auto line = boost::json::parse(pipe.ReadAll()).as_object();
    CHECK(line.at("time_ms") == 5);
    CHECK(line.at("event") == "request_end");
    CHECK(line.at("n") == 3);
    CHECK(line.at("share") == 2.25);
    CHECK(line.at("ok") == true);
    CHECK(line.at("elapsed_ms") == 1.5);
  }
  SECTION("writes do not block without a reader, and a later line reports the dropped lines") {
    for (int i = 0; i < 100'000; ++i) {
      log.Write(TimeAt(int64_t{10} * i), 0, Event("x").Add("text", std::string(100, 'y')));
    }
    CHECK(log.DroppedLines() > 0);
    std::string text;
    for (int i = 0; i < 100; ++i) {
      text += pipe.ReadAll();
      log.Write(TimeAt(2'000'000 + int64_t{1'000} * i), 0, Event("late"));
    }
    text += pipe.ReadAll();
    CHECK(text.find("\"left_out\":") != std::string::npos);
    CHECK(text.find("late") != std::string::npos);
  }
  SECTION("lines above the burst limit are dropped, and the token bucket refills") {
    for (int i = 0; i < 5'000; ++i) log.Write(TimeAt(1), 0, Event("x"));
    CHECK(log.DroppedLines() == 5'000 - static_cast<uint64_t>(kEventBurst));
    pipe.ReadAll();
    log.Write(TimeAt(1'001), 0, Event("y"));
    CHECK(pipe.ReadAll().find("\"left_out\":4000") != std::string::npos);
  }
}

}  // namespace
}  // namespace peridotgauge
