// Tests frames of the peer protocol that pass the flatbuffers verification, but make a process keep
// much more than they cost to send: several offsets of a frame may point to the same string or
// table, an empty table of 4 bytes is decoded to an object of hundreds, and requests wait for
// replies that never come. Also tests that frames as large as those of real peers are not refused
// among them.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "flatbuffers/flatbuffers.h"
#include "io/peer.h"
#include "peer_generated.h"
#include "raft_generated.h"
#include "testing/hostile/hostile_crowd.h"
#include "testing/hostile/hostile_deployment.h"

namespace peridotgauge {
namespace {

using flatbuffers::FlatBufferBuilder;
template <typename T>
using Offset = flatbuffers::Offset<T>;

constexpr size_t kPeers = 20;
constexpr Duration kPeerTime = Seconds(2);
// 4,096 references to one string of 64 KiB: 256 MiB when decoded.
constexpr size_t kSharedReferences = 4'096;
constexpr size_t kSharedBytes = 64 << 10;
// Records of a few bytes. Decoded to 100 MiB and more.
constexpr size_t kShortRecords = 400'000;
// 4e10 strings to verify.
constexpr size_t kSharedLists = 200'000;
// Requests that get no reply, of one connection.
constexpr size_t kUnansweredRequests = 50'000;
// Polls of one connection, and the length of one.
constexpr size_t kLongPolls = 500;
constexpr size_t kPollBytes = 16 << 10;

std::string WithLength(const FlatBufferBuilder& builder) {
  const size_t size = builder.GetSize();
  std::string frame;
  for (size_t shift = 0; shift < 32; shift += 8) frame += static_cast<char>(size >> shift);
  return frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
}

template <typename T>
std::string FrameOf(FlatBufferBuilder& builder, wire::Body type, Offset<T> body) {
  builder.Finish(wire::CreateFrame(builder, 1, false, type, body.Union()));
  return WithLength(builder);
}

std::string FrameWithSharedString() {
  FlatBufferBuilder builder;
  const auto text = builder.CreateString(std::string(kSharedBytes, 'x'));
  const auto list = builder.CreateVector(std::vector(kSharedReferences, text));
  const auto command = wire::CreateEndTrial(builder, 1, 1, list);
  return FrameOf(builder, wire::Body::CommandRequest,
                 wire::CreateCommandRequest(builder, wire::CommandBody::EndTrial, command.Union()));
}

std::string FrameWithSharedTable() {
  FlatBufferBuilder builder;
  const std::vector<wire::Holding> holdings(kSharedBytes / sizeof(wire::Holding));
  const auto holds = builder.CreateVectorOfStructs(holdings);
  wire::TargetRecordBuilder record(builder);
  record.add_holds(holds);
  const auto list = builder.CreateVector(std::vector(kSharedReferences, record.Finish()));
  wire::SyncRequestBuilder request(builder);
  request.add_registrations(list);
  return FrameOf(builder, wire::Body::SyncRequest, request.Finish());
}

std::string FrameWithShortRecords() {
  FlatBufferBuilder builder;
  std::vector<Offset<wire::TargetRecord>> records;
  for (size_t i = 0; i < kShortRecords; ++i) {
    records.push_back(wire::TargetRecordBuilder(builder).Finish());
  }
  const auto list = builder.CreateVector(records);
  wire::SyncRequestBuilder request(builder);
  request.add_registrations(list);
  return FrameOf(builder, wire::Body::SyncRequest, request.Finish());
}

// A raft message in a frame of its own: the frame is decoded to about its size.
std::string RaftFrameWithSharedEntry() {
  FlatBufferBuilder message;
  const auto data = message.CreateVector(std::vector<uint8_t>(kSharedBytes, 1));
  raftwire::EntryBuilder entry(message);
  entry.add_data(data);
  const auto list = message.CreateVector(std::vector(kSharedReferences, entry.Finish()));
  raftwire::MessageBuilder root(message);
  root.add_entries(list);
  message.Finish(root.Finish());
  FlatBufferBuilder builder;
  const auto bytes = builder.CreateVector(message.GetBufferPointer(), message.GetSize());
  return FrameOf(builder, wire::Body::RaftEnvelope, wire::CreateRaftEnvelope(builder, bytes));
}

// A list of tables that share a list of empty strings. The verifier checks each string for each
// table; the frame fails only after that, so that it is not decoded.
std::string FrameWithSharedLists() {
  FlatBufferBuilder builder;
  const std::string last = "last";
  const auto invalid = builder.CreateString(last);
  const size_t end_of_invalid = builder.GetSize() - sizeof(flatbuffers::uoffset_t) - last.size();
  const auto text = builder.CreateString("");
  const auto services = builder.CreateVector(std::vector(kSharedLists, text));
  wire::QuarantineRecordBuilder record(builder);
  record.add_services(services);
  const auto list = builder.CreateVector(std::vector(kSharedLists, record.Finish()));
  const auto controllers = builder.CreateVector(std::vector(1, invalid));
  wire::SyncReplyBuilder reply(builder);
  reply.add_quarantine(list);
  reply.add_controllers(controllers);
  std::string frame = FrameOf(builder, wire::Body::SyncReply, reply.Finish());
  frame[frame.size() - end_of_invalid] = 'x';  // in place of the terminator
  return frame;
}

// Lets peers send the frame for a while, and checks the processes while they are there and after.
void AttackPeerPort(const std::string& process, HostilePlan plan) {
  CAPTURE(process);
  HostileDeployment deployment;
  {
    HostileCrowd crowd(deployment.At(process, kPeerPort), kPeers, std::move(plan));
    crowd.Run(kPeerTime);
    CHECK(crowd.SentBytes() > 0);
    CHECK(deployment.Process(process).OpenDescriptors() <= kDescriptors - kDescriptors / 8);
  }
  deployment.Check(process);
}

TEST_CASE("frames that refer to one string many times", "[hostile_clients]") {
  const std::string process = GENERATE("router", "controller");
  AttackPeerPort(process, {.repeat = FrameWithSharedString()});
}

TEST_CASE("frames that refer to one table many times", "[hostile_clients]") {
  const std::string process = GENERATE("router", "controller");
  AttackPeerPort(process, {.repeat = FrameWithSharedTable()});
}

// Guards against a process that verifies one frame for minutes.
TEST_CASE("frames of lists that refer to one list of strings", "[hostile_clients]") {
  const std::string process = GENERATE("router", "controller");
  AttackPeerPort(process, {.repeat = FrameWithSharedLists()});
}

TEST_CASE("frames of very many short records", "[hostile_clients]") {
  const std::string process = GENERATE("router", "controller");
  AttackPeerPort(process, {.repeat = FrameWithShortRecords()});
}

TEST_CASE("raft messages that refer to one entry many times", "[hostile_clients]") {
  AttackPeerPort("controller", {.repeat = RaftFrameWithSharedEntry()});
}

// A long poll waits for a change. The leader must not keep what each of very many polls carries.
TEST_CASE("long polls of peers that send very many", "[hostile_clients]") {
  std::string frames;
  for (size_t id = 1; id <= kLongPolls; ++id) {
    wire::SyncRequestT request;
    request.router = std::make_unique<wire::RouterRecordT>();
    request.router->id = "127.0.0.1";
    request.router->incarnation = 1;
    request.router->data_centre = std::string(kPollBytes, 'x');
    request.wait_ms = 60'000;
    frames += EncodeFrame(id, false, ToBody(std::move(request)));
  }
  AttackPeerPort("controller", {.first = frames});
}

// A router answers no raft message, and a controller none that arrives as a call.
TEST_CASE("requests of peers that are never answered", "[hostile_clients]") {
  const std::string process = GENERATE("router", "controller");
  std::string frames;
  for (size_t id = 1; id <= kUnansweredRequests; ++id) {
    frames += EncodeFrame(id, false, ToBody(wire::RaftEnvelopeT{}));
  }
  AttackPeerPort(process, {.first = frames});
}

}  // namespace
}  // namespace peridotgauge
