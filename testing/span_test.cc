// Tests of spans. Guards against traces that are split between processes because a header is parsed
// wrongly, and against lines of the span file that cannot be parsed or are dropped without being
// counted.
#include "core/span.h"

#include <rapidcheck.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "io/span_writer.h"

namespace peridotgauge {
namespace {

TEST_CASE("traceparent", "[span]") {
  constexpr char kHeader[] = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const std::optional<SpanContext> context = ParseTraceparent(kHeader);
  REQUIRE(context);
  CHECK(context->trace == TraceId{0x0af7651916cd43dd, 0x8448eb211c80319c});
  CHECK(context->span == 0xb7ad6b7169203331);
  CHECK(context->sampled);
  CHECK(FormatTraceparent(*context) == kHeader);
  SECTION("malformed headers are rejected") {
    for (const std::string header : {"", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0",
                                     "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                     "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                     "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                                     "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                                     "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
                                     "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01x",
                                     "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}) {
      INFO(header);
      CHECK_FALSE(ParseTraceparent(header));
    }
  }
  SECTION("later versions may have more fields") {
    CHECK(ParseTraceparent("01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x"));
  }
  SECTION("children stay in the trace") {
    SpanIdGenerator ids(1);
    const SpanContext child = ids.ChildOf(*context);
    CHECK(child.trace == context->trace);
    CHECK(child.span != context->span);
    CHECK(ids.NewTrace().trace != ids.NewTrace().trace);
  }
}

TEST_CASE("formatted spans parse to the same span", "[span]") {
  CHECK(rc::check("round trip", [] {
    const auto text = rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    SpanIdGenerator ids(*rc::gen::arbitrary<uint64_t>());
    Span span{.context = ids.NewTrace()};
    span.context.sampled = *rc::gen::arbitrary<bool>();
    span.parent = *rc::gen::arbitrary<uint64_t>();
    span.name = *text;
    span.host = *text;
    span.start_ns = *rc::gen::arbitrary<int64_t>();
    span.end_ns = *rc::gen::arbitrary<int64_t>();
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i) span.attributes.push_back({*text, *text});
    span.status = static_cast<SpanStatus>(*rc::gen::inRange(0, 3));
    span.message = *text;
    const std::string line = ToJsonLine(span);
    RC_ASSERT(line.find('\n') == std::string::npos);
    RC_ASSERT(*ParseSpan(line) == span);
    RC_ASSERT(*ParseTraceparent(FormatTraceparent(span.context)) == span.context);
  }));
  for (const char* line : {"", "[]", "{}", R"({"traceId":"1","spanId":"2"})"}) {
    CHECK_FALSE(ParseSpan(line));
  }
}

TEST_CASE("span writer", "[span]") {
  const std::filesystem::path path = std::filesystem::temp_directory_path() /
                                     ("peridotgauge_span_test." + std::to_string(getpid()));
  const std::filesystem::path rotated = path.string() + ".1";
  std::filesystem::remove(path);
  std::filesystem::remove(rotated);
  SpanIdGenerator ids(1);
  const auto lines_of = [](const std::filesystem::path& file) {
    std::ifstream in(file);
    size_t count = 0;
    for (std::string line; std::getline(in, line); ++count) CHECK(ParseSpan(line));
    return count;
  };
  SECTION("a full buffer drops and counts; a flush writes whole lines") {
    SpanWriter writer(path.string(), 3);
    for (int i = 0; i < 5; ++i) writer.Add({.context = ids.NewTrace()});
    CHECK(writer.Buffered() == 3);
    CHECK(writer.Dropped() == 2);
    CHECK(writer.Flush());
    CHECK(writer.Buffered() == 0);
    CHECK(lines_of(path) == 3);
  }
  SECTION("a large file is rotated") {
    SpanWriter writer(path.string(), 10, 1);
    for (int i = 0; i < 3; ++i) {
      writer.Add({.context = ids.NewTrace()});
      CHECK(writer.Flush());
    }
    CHECK(lines_of(path) == 1);
    CHECK(lines_of(rotated) == 1);
  }
  SECTION("a file that cannot be opened keeps the spans and names the file") {
    SpanWriter writer((path / "missing" / "file").string(), 10);
    writer.Add({.context = ids.NewTrace()});
    const Result<void> flushed = writer.Flush();
    REQUIRE_FALSE(flushed);
    CHECK_THAT(flushed.error().detail, Catch::Matchers::Contains("missing/file"));
    CHECK(writer.Buffered() == 1);
  }
  std::filesystem::remove(path);
  std::filesystem::remove(rotated);
}

}  // namespace
}  // namespace peridotgauge
