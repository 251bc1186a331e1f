// Tests of registrations: guards against targets that stay listed after they have gone, and against
// an old registration that replaces a newer one.
#include "../registration.h"

#include <catch2/catch.hpp>

namespace peridotgauge {
namespace {

TargetRecord Record(uint64_t incarnation, uint64_t sequence) {
  return {.target = "s/a",
          .address = "127.0.0.1:9001",
          .service = "s",
          .data_centre = "tre-a",
          .incarnation = incarnation,
          .sequence = sequence,
          .state = TargetState::kServing,
          .slots = 2,
          .connections = 4,
          .holds = {{1, 0, 1}}};
}

RegistrationChange Register(Registrations& registrations, int64_t at, TargetRecord record) {
  const auto change = registrations.Register(TimeAt(at), record);
  REQUIRE(change);
  return *change;
}

TEST_CASE("registrations are leases", "[registration]") {
  Registrations registrations("r1");
  CHECK(Register(registrations, 0, Record(1, 1)) == RegistrationChange::kChanged);

  SECTION("a renewal extends the lease and is no change") {
    CHECK(Register(registrations, 2000, Record(1, 2)) == RegistrationChange::kRenewed);
    CHECK(registrations.Expire(TimeAt(4999)).empty());
    const auto gone = registrations.Expire(TimeAt(5000));
    REQUIRE(gone.size() == 1);
    CHECK(gone[0].state == TargetState::kGone);
    CHECK(gone[0].Supersedes(Record(1, 2)));
    CHECK(registrations.Expire(TimeAt(9000)).empty());
  }
  SECTION("another state, holding or limit is a change") {
    TargetRecord draining = Record(1, 2);
    draining.state = TargetState::kDraining;
    CHECK(Register(registrations, 1, draining) == RegistrationChange::kChanged);
    TargetRecord updated = Record(1, 3);
    updated.holds = {{2, 0, 1}};
    CHECK(Register(registrations, 2, updated) == RegistrationChange::kChanged);
  }
  SECTION("a late registration is ignored and renews nothing") {
    Register(registrations, 1000, Record(2, 1));
    CHECK(Register(registrations, 2000, Record(1, 9)) == RegistrationChange::kStale);
    CHECK(Register(registrations, 2000, Record(2, 1)) == RegistrationChange::kStale);
    CHECK(registrations.Expire(TimeAt(4000)).size() == 1);
  }
  SECTION("two processes that claim one name with one incarnation are told") {
    TargetRecord other = Record(1, 5);
    other.address = "127.0.0.1:9002";
    const auto refused = registrations.Register(TimeAt(1), other);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::kConflict);
  }
  SECTION("a target that registers elsewhere is forgotten without being reported gone") {
    TargetRecord elsewhere = Record(1, 7);
    elsewhere.registrar = "r2";
    registrations.Observe(elsewhere);
    CHECK(registrations.Size() == 0);
    CHECK(registrations.Expire(TimeAt(9000)).empty());
  }
  SECTION("impossible values are refused with the field's name") {
    TargetRecord bad = Record(1, 2);
    bad.holds = {{1, 3, 2}};
    const auto refused = registrations.Register(TimeAt(1), bad);
    REQUIRE_FALSE(refused);
    CHECK_THAT(refused.error().detail, Catch::Matchers::Contains("holds[].shard"));
  }
}

}  // namespace
}  // namespace peridotgauge
