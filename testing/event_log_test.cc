// Tests of the event log: guards against a process that waits for the reader of its log, lines
// beyond the budget, and lines that cannot be parsed.
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
  Pipe() { REQUIRE(::pipe(this->ends.data()) == 0); }
  ~Pipe() {
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }
  int WriteEnd() const { return this->ends[1]; }
  std::string ReadAll() const {
    ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    std::string out;
    std::array<char, 4096> part;
    for (ssize_t n; (n = ::read(this->ends[0], part.data(), part.size())) > 0;) {
      out.append(part.data(), static_cast<size_t>(n));
    }
    return out;
  }

 private:
  std::array<int, 2> ends{};
};

TEST_CASE("event log", "[event_log]") {
  const Pipe pipe;
  EventLog log(pipe.WriteEnd());
  SECTION("a line is JSON with typed fields") {
    log.Write(TimeAt(1), 5,
              Event("request_end")
                  .Add("request", "a\"b\\\n\xff")
                  .Add("n", 3)
                  .Add("ok", true)
                  .Add("elapsed_ms", Duration(1'500)));
    const auto line = boost::json::parse(pipe.ReadAll()).as_object();
    CHECK(line.at("time_ms") == 5);
    CHECK(line.at("event") == "request_end");
    CHECK(line.at("n") == 3);
    CHECK(line.at("ok") == true);
    CHECK(line.at("elapsed_ms") == 1.5);
  }
  SECTION("nobody reads: writing returns, and the reader learns later how much was left out") {
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
  SECTION("a burst is cut off, and the budget fills again") {
    for (int i = 0; i < 5'000; ++i) log.Write(TimeAt(1), 0, Event("x"));
    CHECK(log.DroppedLines() == 5'000 - static_cast<uint64_t>(kEventBurst));
    pipe.ReadAll();
    log.Write(TimeAt(1'001), 0, Event("y"));
    CHECK(pipe.ReadAll().find("\"left_out\":4000") != std::string::npos);
  }
}

}  // namespace
}  // namespace peridotgauge
