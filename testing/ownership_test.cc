// Tests of ownership. They guard against two routers that dispatch to one target at the same time,
// and against targets that no router dispatches to after all views have been learned.
#include "core/ownership.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <set>

namespace peridotgauge {
namespace {

RouterRecord Router(const std::string& id, uint64_t incarnation, const std::string& data_centre,
                    bool draining = false) {
  return {.id = id, .incarnation = incarnation, .data_centre = data_centre, .draining = draining};
}

TEST_CASE("owners", "[ownership]") {
  std::vector<RouterRecord> routers;
  routers.reserve(9);
  for (int i = 0; i < 9; ++i) {
    routers.push_back(Router("r" + std::to_string(i), 1, i < 6 ? "tre-a" : "tre-b"));
  }
  std::map<std::string, std::string> owners;
  std::map<std::string, int> load;
  for (int i = 0; i < 600; ++i) {
    const std::string target = "t" + std::to_string(i);
    const RouterRecord* owner = ChooseOwner(target, "tre-a", routers);
    CHECK(owner->data_centre == "tre-a");
    owners[target] = owner->id;
    ++load[owner->id];
  }
  // Guards against an uneven hash; 100 targets per router are expected.
  for (const auto& [id, count] : load) CHECK(count > 50);
  CHECK(load.size() == 6);
  SECTION("a draining router loses its targets and no other router does") {
    routers[2].draining = true;
    for (const auto& [target, id] : owners) {
      const RouterRecord* owner = ChooseOwner(target, "tre-a", routers);
      CHECK((owner->id == id) == (id != "r2"));
    }
  }
  SECTION("routers in other data centres are used only if the local one has none") {
    for (size_t i = 0; i < 6; ++i) routers[i].draining = true;
    CHECK(ChooseOwner("t1", "tre-a", routers)->data_centre == "tre-b");
    for (RouterRecord& router : routers) router.draining = true;
    CHECK(ChooseOwner("t1", "tre-a", routers) == nullptr);
  }
}

TEST_CASE("handover", "[ownership]") {
  const Time start = TimeAt(100'000);
  const Time lease = start + Seconds(100);
  const RouterRecord a = Router("a", 1, "tre-a");
  const RouterRecord b = Router("b", 1, "tre-a");
  Ownership at_a({"a", 1}, Routing::kOwner);
  at_a.UpsertTarget(start, "t", "tre-a");
  CHECK(at_a.LearnView(start, {1, {a}}).empty());
  CHECK(at_a.MayDispatch(start, lease, "t"));
  CHECK_FALSE(at_a.MayDispatch(start, std::nullopt, "t"));
  CHECK_FALSE(at_a.MayDispatch(lease, lease, "t"));
  RouterRecord a_draining = a;
  a_draining.draining = true;
  Ownership at_b({"b", 1}, Routing::kOwner);
  at_b.UpsertTarget(start, "t", "tre-a");
  at_b.LearnView(start, {2, {a, b}});
  const std::vector<Handover> at_join = at_a.LearnView(start, {2, {a, b}});
  const bool moved = !at_join.empty();
  if (!moved) {
    CHECK(at_a.MayDispatch(start, lease, "t"));
    CHECK(at_a.LearnView(start, {3, {a_draining, b}}) == std::vector<Handover>{{"t", "b", true}});
    at_b.LearnView(start, {3, {a_draining, b}});
  }
  CHECK_FALSE(at_a.MayDispatch(start, lease, "t"));
  CHECK_FALSE(at_b.MayDispatch(start, lease, "t"));
  SECTION("the fence ends by timeout") {
    const Time end = start + kHandoverWait;
    CHECK(at_b.NextFenceEnd(start) == end);
    CHECK_FALSE(at_b.MayDispatch(end - Duration(1), lease, "t"));
    CHECK(at_b.MayDispatch(end, lease, "t"));
  }
  SECTION("a release ends the fence early") {
    at_b.OnRelease(start, {at_a.ViewIndex(), "a", {"t"}});
    CHECK(at_b.MayDispatch(start, lease, "t"));
  }
  SECTION("a release for an older view does not end it") {
    at_b.OnRelease(start, {1, "a", {"t"}});
    CHECK_FALSE(at_b.MayDispatch(start, lease, "t"));
  }
  SECTION("direct routing has no owners") {
    Ownership direct({"b", 1}, Routing::kDirect);
    direct.UpsertTarget(start, "t", "tre-a");
    direct.LearnView(start, {2, {a, b}});
    CHECK(direct.OwnerOf("t")->id == "b");
    CHECK(direct.MayDispatch(start, lease, "t"));
  }
}

// Guards against a router that skips views and ignores the routers that owned the target in them.
TEST_CASE("skipped views", "[ownership]") {
  const Time start = TimeAt(100'000);
  const Time lease = start + Seconds(100);
  std::vector<RouterRecord> ranked;  // by descending rank for the target
  ranked.reserve(3);
  for (int i = 0; i < 3; ++i) ranked.push_back(Router("r" + std::to_string(i), 1, "tre-a"));
  for (size_t i = 0; i < ranked.size(); ++i) {
    std::vector<RouterRecord> rest(ranked.begin() + static_cast<ptrdiff_t>(i), ranked.end());
    const RouterRecord* best = ChooseOwner("t", "tre-a", rest);
    std::swap(ranked[i], ranked[i + static_cast<size_t>(best - rest.data())]);
  }
  const RouterRecord& first = ranked[0];
  const RouterRecord& second = ranked[1];
  const RouterRecord& third = ranked[2];
  Ownership at_third({third.id, 1}, Routing::kOwner);
  at_third.UpsertTarget(start, "t", "tre-a");
  at_third.LearnView(start, {1, {third}});
  CHECK(at_third.MayDispatch(start, lease, "t"));
  SECTION("no release if another router may have owned the target in a skipped view") {
    CHECK(at_third.LearnView(start, {3, {first, second, third}}) ==
          std::vector<Handover>{{"t", first.id, false}});
  }
  SECTION("no release from a router whose own fence has not ended") {
    Ownership at_second({second.id, 1}, Routing::kOwner);
    at_second.UpsertTarget(start, "t", "tre-a");
    at_second.LearnView(start, {2, {second, third}});
    CHECK(at_second.LearnView(start, {3, {first, second, third}}) ==
          std::vector<Handover>{{"t", first.id, false}});
  }
  SECTION("the fence is set again if another router may have owned the target in a skipped view") {
    RouterRecord draining = first;
    draining.draining = true;
    CHECK(at_third.LearnView(start, {3, {draining, third}}).empty());
    CHECK_FALSE(at_third.MayDispatch(start, lease, "t"));
    CHECK(at_third.MayDispatch(start + kHandoverWait, lease, "t"));
  }
}

// Guards against two owners after a frozen router has left the list and joined it again with the
// same incarnation, without learning the views in which another router owned its targets.
TEST_CASE("a router that missed its own removal", "[ownership]") {
  const Time start = TimeAt(100'000);
  const Time lease = start + Seconds(100);
  const std::vector<RouterRecord> both = {Router("a", 1, "tre-a"), Router("b", 1, "tre-a")};
  const bool a_owns = ChooseOwner("t", "tre-a", both)->id == "a";
  const RouterRecord& frozen = both[a_owns ? 0 : 1];
  const RouterRecord& other = both[a_owns ? 1 : 0];
  Ownership at_frozen({frozen.id, 1}, Routing::kOwner);
  Ownership at_other({other.id, 1}, Routing::kOwner);
  for (Ownership* ownership : {&at_frozen, &at_other}) {
    ownership->UpsertTarget(start, "t", "tre-a");
    ownership->LearnView(start, {1, both});
  }
  const Time settled = start + kHandoverWait;
  REQUIRE(at_frozen.MayDispatch(settled, lease, "t"));
  at_other.LearnView(settled, {2, {other}});
  REQUIRE(at_other.MayDispatch(settled, lease, "t"));

  const Time thawed = settled + Seconds(10);
  at_frozen.LearnView(thawed, {3, both});
  at_frozen.FenceOwnTargets(thawed);
  CHECK_FALSE(at_frozen.MayDispatch(thawed, lease, "t"));
  SECTION("it may dispatch after the other router has released the target") {
    const auto lost = at_other.LearnView(thawed, {3, both});
    REQUIRE(lost.size() == 1);
    CHECK(lost[0].may_release);
    at_frozen.OnRelease(thawed, {3, other.id, {"t"}});
    CHECK(at_frozen.MayDispatch(thawed, lease, "t"));
    CHECK_FALSE(at_other.MayDispatch(thawed, lease, "t"));
  }
  SECTION("or after the lease of the other router on the older view has ended") {
    CHECK(at_frozen.MayDispatch(thawed + kHandoverWait, lease, "t"));
  }
}

// Guards against owners that depend on earlier views: LearnView() compares only the routers that
// changed, ChooseOwner() compares all.
TEST_CASE("owners after many views", "[ownership]") {
  CHECK(rc::check("equal the choice among all routers", [](uint32_t seed) {
    std::mt19937 random(seed);
    const auto pick = [&](uint32_t n) { return static_cast<uint32_t>(random() % n); };
    std::map<std::string, RouterRecord> routers;
    Ownership ownership({"r0", 1}, Routing::kOwner);
    std::map<std::string, std::string> targets;
    for (uint64_t index = 1; index <= 30; ++index) {
      // Makes up to three changes: join, next incarnation, move, drain or leave.
      for (uint32_t n = pick(3) + 1; n > 0; --n) {
        const std::string id = "r" + std::to_string(pick(8));
        RouterRecord& router = routers[id];
        const std::string data_centre = pick(2) == 0 ? "tre-a" : "tre-b";
        if (router.id.empty() || pick(3) == 0) {
          router = Router(id, router.incarnation + 1, data_centre);
        } else if (pick(3) == 0) {
          router.data_centre = data_centre;
        } else if (!router.draining) {
          router.draining = true;
        } else {
          routers.erase(id);
        }
      }
      const std::string added = "t" + std::to_string(pick(40));
      targets[added] = pick(2) == 0 ? "tre-a" : "tre-b";
      ownership.UpsertTarget(TimeAt(0), added, targets[added]);
      std::vector<RouterRecord> list;
      list.reserve(routers.size());
      for (const auto& [id, router] : routers) list.push_back(router);
      ownership.LearnView(TimeAt(static_cast<int64_t>(index) * 10'000), {index, list});
      for (const auto& [target, data_centre] : targets) {
        const RouterRecord* expected = ChooseOwner(target, data_centre, list);
        const RouterRecord* owner = ownership.OwnerOf(target);
        RC_ASSERT((owner == nullptr) == (expected == nullptr));
        if (owner != nullptr) RC_ASSERT(*owner == *expected);
      }
    }
  }));
}

// Simulates a leader, routers and a network that keep the contract of ownership.h: leases start
// when a sync request is sent, sessions when it arrives, and messages are delayed or lost.
class Simulation {
 public:
  // Events are drawn from the seed, because one case has thousands, too many to draw from
  // RapidCheck.
  explicit Simulation(uint32_t seed) : random(seed) {
    for (int i = 0; i < 4; ++i) this->nodes.push_back({.id = "r" + std::to_string(i)});
    this->unstable = 1 + this->Pick(this->Pick(2) == 0 ? 8 : 60);
  }

  void Step(bool steady) {
    this->now += Millis(50);
    this->stable = steady;
    if (!steady) this->Disturb();
    for (Node& node : this->nodes) this->Sync(node);
    this->RemoveExpired();
    this->DeliverReleases();
    std::map<std::string, std::set<std::string>> dispatchers;
    for (const Node& node : this->nodes) {
      if (!node.ownership) continue;
      for (const char* target : kTargets) {
        if (node.ownership->MayDispatch(this->now, node.lease, target)) {
          dispatchers[target].insert(node.id);
        }
      }
    }
    for (const auto& [target, ids] : dispatchers) RC_ASSERT(ids.size() == 1);
    this->dispatched = dispatchers.size();
  }

  // Restarts routers that are down or draining, so that every target must get an owner.
  void Restart() {
    for (Node& node : this->nodes) {
      if (!node.ownership || node.draining) this->Start(node);
    }
  }
  size_t DispatchedTargets() const { return this->dispatched; }
  uint64_t Releases() const { return this->releases; }
  static constexpr const char* kTargets[] = {"t0", "t1", "t2", "t3", "t4"};

 private:
  struct Call {
    Time sent, arrival, answer, delivery;
    bool arrived = false;
    bool answered = false;
    RouterView view;
  };
  struct Node {
    std::string id;
    uint64_t incarnation = 0;
    bool draining = false;
    std::unique_ptr<Ownership> ownership;  // null: not running
    std::optional<Time> lease;
    std::optional<Call> call;
    Time isolated_until{};
  };
  struct Message {
    Time delivery;
    std::string to;
    TargetRelease release;
  };

  int Pick(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(this->random); }
  Duration Delay() {
    return Millis(!this->stable && this->Pick(4) == 0 ? this->Pick(1'500) : this->Pick(100));
  }

  void Commit() { ++this->view.index; }
  RouterRecord* Member(const Node& node) {
    for (RouterRecord& router : this->view.routers) {
      if (router.id == node.id && router.incarnation == node.incarnation) return &router;
    }
    return nullptr;
  }
  void Erase(const std::string& id) {
    std::erase_if(this->view.routers, [&](const RouterRecord& r) { return r.id == id; });
  }
  void Start(Node& node) {
    ++node.incarnation;
    node.draining = false;
    node.lease.reset();
    node.call.reset();
    node.ownership =
        std::make_unique<Ownership>(RouterIdentity{node.id, node.incarnation}, Routing::kOwner);
    for (const char* target : kTargets) node.ownership->UpsertTarget(this->now, target, "tre-a");
  }
  void Disturb() {
    if (this->Pick(this->unstable) != 0) return;
    Node& node = this->nodes[static_cast<size_t>(this->Pick(4))];
    RouterRecord* member = this->Member(node);
    switch (this->Pick(6)) {
      case 0:
        if (!node.ownership) this->Start(node);
        break;
      case 1:  // crash
        node.ownership.reset();
        break;
      case 2:  // leave: drain
        if (member == nullptr || member->draining) break;
        member->draining = node.draining = true;
        this->Commit();
        break;
      case 3:  // clean leave
        if (member == nullptr || !member->draining || !node.ownership) break;
        node.ownership.reset();
        this->Erase(node.id);
        this->Commit();
        break;
      default:
        node.isolated_until = this->now + Millis(this->Pick(this->Pick(4) == 0 ? 6'000 : 2'000));
    }
  }
  void Sync(Node& node) {
    if (!node.ownership) return;
    const bool lost = (!this->stable && this->Pick(20) == 0) || this->now < node.isolated_until;
    if (!node.call || this->now > node.call->sent + Seconds(3)) {
      const Time arrival = this->now + (lost ? Seconds(10) : this->Delay());
      const Time answer = arrival + Millis(this->Pick(400));
      node.call = {this->now, arrival, answer, answer + this->Delay(), false, false, {}};
    }
    Call& call = *node.call;
    if (!call.arrived && this->now >= call.arrival) this->Arrive(node, call);
    if (!call.answered && this->now >= call.answer) {
      call.answered = true;
      call.view = this->view;
    }
    if (this->now < call.delivery || this->now < node.isolated_until) return;
    this->Deliver(node);
  }
  void Arrive(Node& node, Call& call) {
    call.arrived = true;
    this->sessions[node.id] = this->now;
    if (this->Member(node) != nullptr) return;
    // An incarnation that was removed cannot join again.
    if (this->removed.count({node.id, node.incarnation}) > 0) return;
    this->Erase(node.id);
    this->view.routers.push_back(Router(node.id, node.incarnation, "tre-a"));
    this->Commit();
  }
  void Deliver(Node& node) {
    const Call call = std::move(*node.call);
    node.call.reset();
    for (const Handover& lost : node.ownership->LearnView(this->now, call.view)) {
      if (!lost.may_release || this->Pick(8) == 0) continue;
      ++this->releases;
      this->messages.push_back({this->now + this->Delay(),
                                lost.new_owner,
                                {node.ownership->ViewIndex(), node.id, {lost.target}}});
    }
    if (this->removed.count({node.id, node.incarnation}) > 0) {
      this->Start(node);
      return;
    }
    node.lease = std::max(node.lease.value_or(Time::min()), call.sent + kLeaseLength);
  }
  void RemoveExpired() {
    for (const Node& node : this->nodes) {
      if (this->now <= this->sessions[node.id] + kSessionLength || this->Pick(4) == 0) continue;
      const size_t size = this->view.routers.size();
      for (const RouterRecord& router : this->view.routers) {
        if (router.id == node.id) this->removed.insert({router.id, router.incarnation});
      }
      this->Erase(node.id);
      if (this->view.routers.size() != size) this->Commit();
    }
  }
  void DeliverReleases() {
    std::erase_if(this->messages, [&](const Message& message) {
      if (this->now < message.delivery) return false;
      for (Node& node : this->nodes) {
        if (node.id == message.to && node.ownership) {
          node.ownership->OnRelease(this->now, message.release);
        }
      }
      return true;
    });
  }

  std::mt19937 random;
  Time now = TimeAt(1'000'000);
  int unstable = 0;     // average number of steps between two events
  bool stable = false;  // no events, losses or long delays
  std::vector<Node> nodes;
  RouterView view{.index = 1};
  std::map<std::string, Time> sessions;
  std::set<RouterIdentity> removed;
  std::vector<Message> messages;
  size_t dispatched = 0;
  uint64_t releases = 0;
};

TEST_CASE("at most one router dispatches to a target", "[ownership]") {
  uint64_t releases = 0;
  CHECK(rc::check("random views, delays and losses", [&] {
    Simulation simulation(*rc::gen::arbitrary<uint32_t>());
    for (int i = 0; i < 400; ++i) simulation.Step(false);
    // A node is isolated for up to 6 s.
    for (int i = 0; i < 240; ++i) simulation.Step(true);
    simulation.Restart();
    for (int i = 0; i < 240; ++i) simulation.Step(true);
    RC_ASSERT(simulation.DispatchedTargets() == std::size(Simulation::kTargets));
    releases += simulation.Releases();
  }));
  // Ensures that the property is tested with releases, and not only for the fence.
  CHECK(releases > 50);
}

}  // namespace
}  // namespace peridotgauge
