// Tests of single rules of Raft, driven by hand-written messages. Each rule is backed by a second
// one, so random schedules rarely detect that one of them is missing.
#include <catch2/catch.hpp>

#include "state/raft.h"

namespace peridotgauge {
namespace {

RaftMembers Members() { return {{"a", 1, ""}, {"b", 2, ""}, {"c", 3, ""}}; }

// Processes the RaftReady as if writes were synced at once. Returns the messages.
std::vector<RaftMessage> ProcessReady(Raft& raft) {
  RaftReady ready = raft.TakeReady();
  if (ready.write) raft.OnPersisted(TimeAt(5'000), ready.write->sequence);
  std::vector<RaftMessage> out = std::move(ready.messages);
  for (RaftMessage& message : raft.TakeReady().messages) out.push_back(std::move(message));
  return out;
}

// Returns a message from member b to a.
RaftMessage FromB(MessageType type, uint64_t term) {
  RaftMessage message{.type = type, .from = "b", .from_incarnation = 2, .to = "a"};
  message.term = term;
  message.granted = true;
  return message;
}

// Returns the stored state of replica a in term 4 with entries 1 (term 2) and 2 (term 3).
RaftStoredState Stored() {
  RaftStoredState stored;
  stored.hard_state = {.incarnation = 1, .term = 4, .admitted = true};
  stored.snapshot.members = Members();
  stored.entries = {{1, 2, EntryKind::kCommand, "x", {}}, {2, 3, EntryKind::kCommand, "y", {}}};
  return stored;
}

Raft Started() { return Raft({.id = "a", .initial = Members()}, Stored(), TimeAt(0)); }

// Makes the replica the leader of term 5.
void Elect(Raft& raft) {
  raft.Tick(TimeAt(5'000));
  ProcessReady(raft);
  raft.Step(TimeAt(5'000), FromB(MessageType::kPreVoteReply, 5));
  ProcessReady(raft);
  raft.Step(TimeAt(5'000), FromB(MessageType::kVoteReply, 5));
  ProcessReady(raft);
  REQUIRE(raft.Leading());
}

void Acknowledge(Raft& raft, uint64_t index, uint64_t incarnation = 2) {
  RaftMessage reply = FromB(MessageType::kAppendReply, 5);
  reply.from_incarnation = incarnation;
  reply.index = index;
  raft.Step(TimeAt(5'001), reply);
}

uint64_t DataBytes(const std::vector<LogEntry>& entries) {
  uint64_t sum = 0;
  for (const LogEntry& entry : entries) sum += entry.data.size();
  return sum;
}

// Guards against a group without a leader: the only replica with the newest entries has stored a
// member list but not that it is committed, and a majority of the list before it is lost.
TEST_CASE("a candidate learns from a refused pre-vote that a member list is committed", "[raft]") {
  const RaftMembers before = {{"a", 1, ""}, {"b", 7, ""}, {"c", 3, ""}};
  RaftStoredState stored = Stored();
  stored.snapshot.members = before;
  stored.entries.push_back({3, 4, EntryKind::kMembership, {}, Members()});
  Raft raft({.id = "a", .initial = before}, stored, TimeAt(0));
  raft.Tick(TimeAt(5'000));
  ProcessReady(raft);
  raft.Step(TimeAt(5'000), FromB(MessageType::kPreVoteReply, 5));
  ProcessReady(raft);
  REQUIRE(raft.Term() == 4);  // the new incarnation of b does not count in the list before

  RaftMessage refusal = FromB(MessageType::kPreVoteReply, 4);
  refusal.granted = false;
  refusal.index = 3;
  SECTION("if it has the same entry") {
    refusal.log_term = 4;
    raft.Step(TimeAt(5'001), refusal);
    CHECK(raft.CommitIndex() == 3);
    // Each write makes it count the votes again: the pre-vote that b has granted, then the vote.
    while (const auto write = raft.TakeReady().write) {
      raft.OnPersisted(TimeAt(5'001), write->sequence);
    }
    CHECK(raft.Term() == 5);
    raft.Step(TimeAt(5'001), FromB(MessageType::kVoteReply, 5));
    CHECK(raft.Leading());
  }
  SECTION("not if it has another entry there") {
    refusal.log_term = 3;
    raft.Step(TimeAt(5'001), refusal);
    CHECK(raft.CommitIndex() < 3);
  }
}

// Guards against copies of large entries whose total is bounded by a number of entries or messages
// only: of the whole stored log at a restart, of what a receiver has not acknowledged, and of what
// the leader's own disk has not synced.
TEST_CASE("copies of large entries are bounded by their bytes", "[raft]") {
  constexpr size_t kEntryBytes = 512 << 10;
  constexpr uint64_t kEntries = 40;

  SECTION("a restart delivers the stored log in parts") {
    RaftStoredState stored = Stored();
    stored.entries.clear();
    for (uint64_t i = 1; i <= kEntries; ++i) {
      stored.entries.push_back({i, 3, EntryKind::kCommand, std::string(kEntryBytes, 'x'), {}});
    }
    stored.hard_state.commit = kEntries;
    Raft raft({.id = "a", .initial = Members()}, stored, TimeAt(0));
    uint64_t delivered = 0;
    for (uint64_t round = 0; round < kEntries && delivered < kEntries; ++round) {
      const RaftReady ready = raft.TakeReady();
      CHECK(DataBytes(ready.committed) <= kMaxDeliveredBytes);
      for (const LogEntry& entry : ready.committed) CHECK(entry.index == ++delivered);
      CHECK(raft.HasUndelivered() == (delivered < kEntries));
    }
    CHECK(delivered == kEntries);
  }
  SECTION("a read waits until its index is delivered") {
    Raft raft = Started();
    Elect(raft);
    Acknowledge(raft, 3);
    ProcessReady(raft);
    for (uint64_t i = 4; i < 4 + kEntries / 4; ++i) {
      REQUIRE(raft.Propose(TimeAt(5'001), std::string(kEntryBytes, 'x')));
    }
    const RaftReady written = raft.TakeReady();
    raft.OnPersisted(TimeAt(5'001), written.write->sequence);
    const uint64_t last = raft.Log().LastIndex();
    Acknowledge(raft, last);
    const Result<uint64_t> read = raft.RequestRead(TimeAt(5'001));
    REQUIRE(read);
    RaftMessage reply = FromB(MessageType::kHeartbeatReply, 5);
    reply.round = 1'000;
    raft.Step(TimeAt(5'001), reply);
    uint64_t delivered = 0;
    bool confirmed = false;
    for (int round = 0; round < 20 && !confirmed; ++round) {
      const RaftReady ready = raft.TakeReady();
      if (!ready.committed.empty()) delivered = ready.committed.back().index;
      for (const ReadResult& result : ready.reads) confirmed = result.confirmed;
      if (confirmed) CHECK(delivered >= last);
      if (!confirmed) CHECK(raft.HasUndelivered());
    }
    CHECK(confirmed);
  }
  SECTION("a receiver that does not acknowledge gets no more") {
    Raft raft = Started();
    Elect(raft);
    Acknowledge(raft, 3);
    ProcessReady(raft);
    uint64_t sent = 0;
    for (uint64_t i = 0; i < kMaxUncommittedBytes / kEntryBytes - 1; ++i) {
      REQUIRE(raft.Propose(TimeAt(5'001), std::string(kEntryBytes, 'x')));
      for (const RaftMessage& message : ProcessReady(raft)) {
        if (message.to == "b") sent += DataBytes(message.entries);
      }
    }
    CHECK(sent >= kMaxInFlightBytes - kEntryBytes);
    CHECK(sent <= kMaxInFlightBytes + kMaxAppendBytes);
    Acknowledge(raft, raft.Log().LastIndex() - 1);
    uint64_t more = 0;
    for (const RaftMessage& message : ProcessReady(raft)) {
      if (message.to == "b") more += DataBytes(message.entries);
    }
    CHECK(more == kEntryBytes);
  }
  SECTION("a leader whose own disk hangs rejects commands") {
    Raft raft = Started();
    Elect(raft);
    Acknowledge(raft, 3);
    Acknowledge(raft, 3, 3);
    ProcessReady(raft);
    uint64_t accepted = 0;
    while (accepted < 1'000 && raft.Propose(TimeAt(5'001), std::string(kEntryBytes, 'x'))) {
      ++accepted;
      raft.TakeReady();
      // The other two members hold the command, so that it is committed without this disk.
      for (const auto& [id, incarnation] : {std::pair{"b", 2}, std::pair{"c", 3}}) {
        RaftMessage reply = FromB(MessageType::kAppendReply, 5);
        reply.from = id;
        reply.from_incarnation = static_cast<uint64_t>(incarnation);
        reply.index = raft.Log().LastIndex();
        raft.Step(TimeAt(5'001), reply);
      }
      CHECK(raft.CommitIndex() == raft.Log().LastIndex());
    }
    CHECK(accepted * kEntryBytes <= kMaxUncommittedBytes);
    CHECK(accepted * kEntryBytes >= kMaxUncommittedBytes / 2);
  }
}

// Guards against a committed command that a later leader without it overwrites: entries of earlier
// terms are committed only together with an entry of the leader's own term.
TEST_CASE("a leader does not commit entries of earlier terms alone", "[raft]") {
  Raft raft = Started();
  Elect(raft);
  Acknowledge(raft, 2);
  CHECK(raft.CommitIndex() == 0);
  Acknowledge(raft, 3);
  CHECK(raft.CommitIndex() == 3);
}

// Guards against a commit that counts the acknowledgement of an incarnation that is not in the
// member list.
TEST_CASE("acknowledgements of unlisted incarnations do not count", "[raft]") {
  Raft raft = Started();
  Elect(raft);
  RaftMessage probe = FromB(MessageType::kAnnounce, 0);
  probe.from_incarnation = 20;
  raft.Step(TimeAt(5'001), probe);
  Acknowledge(raft, 3, 20);
  CHECK(raft.CommitIndex() == 0);
}

// Guards against admitting a replica that lacks committed entries.
TEST_CASE("a learner is admitted only when it holds all committed entries", "[raft]") {
  Raft raft = Started();
  Elect(raft);
  Acknowledge(raft, 3);
  RaftMessage message = FromB(MessageType::kAnnounce, 0);
  message.from_incarnation = 20;
  raft.Step(TimeAt(5'001), message);
  Acknowledge(raft, 2, 20);
  CHECK(raft.Log().LastIndex() == 3);
  Acknowledge(raft, 3, 20);
  CHECK(raft.Log().LastIndex() == 4);
  CHECK(ContainsMember(raft.Members(), "b", 20));
}

// Guards against electing a leader that lacks committed entries.
TEST_CASE("a candidate with an older log gets no vote", "[raft]") {
  for (MessageType type : {MessageType::kPreVote, MessageType::kVote}) {
    Raft raft = Started();
    RaftMessage request = FromB(type, 9);
    request.index = 7;  // the log is longer, but its last term is lower
    request.log_term = 2;
    raft.Step(TimeAt(5'000), request);
    CHECK_FALSE(ProcessReady(raft).back().granted);
    request.index = 2;
    request.log_term = 3;
    raft.Step(TimeAt(5'000), request);
    CHECK(ProcessReady(raft).back().granted);
  }
}

// Guards against a replica with a replaced disk that processes messages to its lost incarnation.
TEST_CASE("messages to another incarnation are dropped", "[raft]") {
  for (uint64_t incarnation : {1, 10}) {
    Raft raft = Started();
    RaftMessage append = FromB(MessageType::kAppend, 6);
    append.to_incarnation = incarnation;
    raft.Step(TimeAt(1), append);
    CHECK(raft.Term() == (incarnation == 1 ? 6 : 4));
  }
}

// Guards against a vote or an acknowledgement that is lost in a crash after it was sent.
TEST_CASE("votes and acknowledgements are sent only after they are synced", "[raft]") {
  Raft raft = Started();
  const bool vote = GENERATE(true, false);
  CAPTURE(vote);
  RaftMessage message = FromB(vote ? MessageType::kVote : MessageType::kAppend, 6);
  message.index = 2;
  message.log_term = 3;
  if (!vote) message.entries = {{3, 6, EntryKind::kCommand, "z", {}}};
  raft.Step(TimeAt(5'000), message);
  const RaftReady ready = raft.TakeReady();
  REQUIRE(ready.write);
  CHECK(ready.messages.empty());
  CHECK(raft.TakeReady().messages.empty());
  SECTION("never after a storage failure") {
    raft.OnStorageFailure();
    raft.OnPersisted(TimeAt(5'001), ready.write->sequence);
    CHECK(raft.TakeReady().messages.empty());
  }
  SECTION("once synced") {
    raft.OnPersisted(TimeAt(5'001), ready.write->sequence);
    CHECK(raft.TakeReady().messages.size() == 1);
  }
}

// Guards against a replica that holds acknowledged entries and reports to be uninitialized.
TEST_CASE("a learner with stored entries does not report to be uninitialized", "[raft]") {
  RaftOptions options{.id = "b", .initial = {{"a", 0, ""}, {"b", 0, ""}, {"c", 0, ""}}};
  RaftStoredState stored;
  stored.hard_state.incarnation = 7;
  Raft raft(options, stored, TimeAt(0));
  RaftMessage probe{.type = MessageType::kAnnounce, .from = "a", .from_incarnation = 9, .to = "b"};
  const auto reports_uninitialized = [&] {
    raft.Step(TimeAt(1), probe);
    RaftReady ready = raft.TakeReady();
    if (ready.write) raft.OnPersisted(TimeAt(1), ready.write->sequence);
    for (const RaftMessage& message : raft.TakeReady().messages) ready.messages.push_back(message);
    return ready.messages.back().type == MessageType::kAnnounceReply &&
           ready.messages.back().granted;
  };
  CHECK(reports_uninitialized());
  RaftMessage append{.type = MessageType::kAppend, .from = "c", .from_incarnation = 8, .to = "b"};
  append.term = 1;
  append.entries = {{1, 1, EntryKind::kCommand, "x", {}}};
  raft.Step(TimeAt(2), append);
  CHECK_FALSE(reports_uninitialized());
}

// Guards, at the voter and at the candidate, against a vote of a replica that may have lost entries
// that its old incarnation acknowledged.
TEST_CASE("only admitted incarnations in the member list take part in a vote", "[raft]") {
  const auto make = [&](bool admitted) {
    RaftStoredState stored;
    stored.hard_state = {.incarnation = 1, .term = 4, .admitted = admitted};
    stored.snapshot.members = admitted ? Members() : RaftMembers{};
    return Raft({.id = "a", .initial = Members()}, stored, TimeAt(0));
  };
  const auto request = [](MessageType type) {
    RaftMessage message{.type = type, .from = "b", .from_incarnation = 2, .to = "a"};
    message.term = 9;
    return message;
  };
  SECTION("a replica that is not admitted does not answer") {
    for (MessageType type : {MessageType::kPreVote, MessageType::kVote}) {
      Raft unadmitted = make(false);
      unadmitted.Step(TimeAt(5'000), request(type));
      CHECK(ProcessReady(unadmitted).empty());
      Raft voter = make(true);
      voter.Step(TimeAt(5'000), request(type));
      CHECK(ProcessReady(voter).back().granted);
    }
  }
  SECTION("a candidate counts only incarnations in the member list") {
    for (uint64_t incarnation : {2, 20}) {
      Raft raft = make(true);
      raft.Tick(TimeAt(5'000));
      ProcessReady(raft);
      RaftMessage grant = request(MessageType::kPreVoteReply);
      grant.from_incarnation = incarnation;
      grant.granted = true;
      grant.term = 5;
      raft.Step(TimeAt(5'001), grant);
      CHECK(raft.Term() == (incarnation == 2 ? 5 : 4));
      ProcessReady(raft);
      grant.type = MessageType::kVoteReply;
      raft.Step(TimeAt(5'002), grant);
      CHECK(raft.Leading() == (incarnation == 2));
    }
  }
}

// Guards against fields that the encoding of messages omits.
TEST_CASE("encoding and decoding keeps all message fields", "[raft]") {
  RaftMessage message{.type = MessageType::kAppend,
                      .from = "a",
                      .from_incarnation = 1,
                      .from_address = "x",
                      .to = "b",
                      .to_incarnation = 2,
                      .term = 3,
                      .index = 4,
                      .log_term = 5,
                      .commit = 6,
                      .round = 7,
                      .granted = true,
                      .transfer = true,
                      .entries = {{8, 9, EntryKind::kCommand, std::string("\0z", 2), {}},
                                  {10, 9, EntryKind::kMembership, "", {{"c", 11, "y"}}}},
                      .members = {{"d", 12, "w"}},
                      .offset = 13,
                      .total = 14,
                      .checksum = 15,
                      .data = "data"};
  const std::string bytes = EncodeMessage(message);
  CHECK(*DecodeMessage(bytes) == message);
  CHECK_FALSE(DecodeMessage(bytes.substr(0, bytes.size() / 2)));
  CHECK_FALSE(DecodeMessage(""));
}

}  // namespace
}  // namespace peridotgauge
