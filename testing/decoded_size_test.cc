// Tests the limit on the memory of decoded messages. Guards against a limit that messages of this
// system reach, against messages that pass it although they share strings or tables, and against
// reading outside of a malformed message.
#include "core/decoded_size.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/config.h"
#include "io/peer.h"
#include "peer_generated.h"
#include "state/directory.h"
#include "state/raft.h"
#include "state/raft_message.h"

namespace peridotgauge {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kRouters = 300;
constexpr size_t kWorkspaces = 1'000;
constexpr size_t kRecordFixedBytes = 160;  // as state/directory.cc counts them

std::unique_ptr<wire::TargetRecordT> Target(const std::string& name, size_t holdings) {
  auto record = std::make_unique<wire::TargetRecordT>();
  record->target = name;
  record->address = "127.100.100.100:10000";
  record->service = "service-of-the-longest";
  record->data_centre = "data-centre-north-1";
  record->registrar = "127.100.100.101:10000";
  record->holds.resize(holdings);
  return record;
}

// A reply with a directory of so many targets that fills kMaxDirectoryBytes.
wire::SyncReplyT FullReply(size_t targets) {
  const size_t bytes = kMaxDirectoryBytes / targets;
  const std::string name = "target-000000000000";
  const size_t texts =
      kRecordFixedBytes + name.size() + 4 * std::string("127.100.100.10:1000").size();
  wire::SyncReplyT reply;
  reply.directory_full = true;
  reply.config_text = std::string(kMaxConfigBytes, 'x');
  for (size_t i = 0; i < targets; ++i) {
    reply.targets.push_back(
        Target(name, bytes > texts ? (bytes - texts) / sizeof(wire::Holding) : 0));
  }
  for (size_t i = 0; i < kRouters; ++i) {
    auto router = std::make_unique<wire::RouterRecordT>();
    router->id = "127.100.100.100:10000";
    router->data_centre = "data-centre-north-1";
    router->http_address = router->peer_address = router->id;
    reply.routers.push_back(std::move(router));
  }
  return reply;
}

TEST_CASE("the largest frames of the system are decoded", "[decoded_size]") {
  SECTION("a full directory") {
    const size_t targets = GENERATE(size_t{100}, size_t{1'000}, kMaxTargets);
    CAPTURE(targets);
    const std::string frame = EncodeFrame(1, true, ToBody(FullReply(targets)));
    REQUIRE(frame.size() <= kMaxFrameBytes);
    const auto size = DecodedSize(std::string_view{frame}.substr(kLengthBytes),
                                  *wire::FrameTypeTable(), kMaxDecodedFrameBytes);
    REQUIRE(size);
    CAPTURE(frame.size(), *size);
    CHECK(*size <= kMaxDecodedFrameBytes / 2);
    CHECK(DecodeFrame(frame.substr(kLengthBytes)));
  }
  SECTION("quotas of all workspaces") {
    wire::QuotaRequestT request;
    for (size_t i = 0; i < kWorkspaces; ++i) {
      auto demand = std::make_unique<wire::QuotaDemandT>();
      demand->workspace = std::string(255, 'w');
      request.demands.push_back(std::move(demand));
    }
    const std::string frame = EncodeFrame(1, false, ToBody(std::move(request)));
    CHECK(DecodeFrame(frame.substr(kLengthBytes)));
  }
}

TEST_CASE("the largest raft messages are decoded", "[decoded_size]") {
  RaftMessage message;
  message.type = MessageType::kAppend;
  message.from = message.to = "127.100.100.100:10000";
  SECTION("one entry") { message.entries.push_back({.data = std::string(kMaxCommandBytes, 'x')}); }
  SECTION("many small entries") {
    // Smaller ones do not occur: a command alone takes this much.
    constexpr size_t kSmallEntry = 32;
    for (size_t i = 0; i < kMaxAppendBytes / kSmallEntry; ++i) {
      message.entries.push_back({.data = std::string(kSmallEntry, 'x')});
    }
  }
  SECTION("a part of a snapshot") { message.data = std::string(kSnapshotChunkBytes, 'x'); }
  const auto decoded = DecodeMessage(EncodeMessage(message));
  REQUIRE(decoded);
  CHECK(decoded->entries == message.entries);
  CHECK(decoded->data == message.data);
}

TEST_CASE("shared parts count for each reference", "[decoded_size]") {
  constexpr size_t kTextBytes = 1'000;
  constexpr size_t kReferences = 1'000;
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString(std::string(kTextBytes, 'x'));
  const auto list = builder.CreateVector(std::vector(kReferences, text));
  wire::SyncReplyBuilder reply(builder);
  reply.add_routers_gone(list);
  const auto body = reply.Finish();
  builder.Finish(wire::CreateFrame(builder, 1, true, wire::Body::SyncReply, body.Union()));
  const std::string_view frame(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                               builder.GetSize());
  const auto size = DecodedSize(frame, *wire::FrameTypeTable(), kMaxDecodedFrameBytes);
  REQUIRE(size);
  CHECK(*size >= kReferences * kTextBytes);
  CHECK_FALSE(DecodedSize(frame, *wire::FrameTypeTable(), kReferences * kTextBytes));
}

// A frame that the verifier accepts must get a size; a malformed one may get one.
TEST_CASE("malformed frames are rejected or have a bounded size", "[decoded_size]") {
  constexpr int kRounds = 20'000;
  wire::SyncRequestT request;
  request.registrations.push_back(Target("target-1", 2));
  request.router = std::make_unique<wire::RouterRecordT>();
  const std::string small = EncodeFrame(1, false, ToBody(std::move(request))).substr(kLengthBytes);
  REQUIRE(DecodeFrame(small));
  std::mt19937 random(1);
  for (int round = 0; round < kRounds; ++round) {
    // An allocation of exactly this size, so that a sanitizer sees each read outside of it.
    std::vector<char> bytes(small.begin(), small.end());
    for (int change = 0; change < 3; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(bytes.size() - random() % 2 * (random() % bytes.size()));
    bytes.shrink_to_fit();
    const auto size =
        DecodedSize({bytes.data(), bytes.size()}, *wire::FrameTypeTable(), kMaxDecodedFrameBytes);
    if (size) CHECK(*size <= kMaxDecodedFrameBytes);
    flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
    if (wire::VerifyFrameBuffer(verifier)) CHECK(size);
  }
}

}  // namespace
}  // namespace peridotgauge
