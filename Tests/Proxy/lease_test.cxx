#include <doctest/doctest.h>

#include "Proxy/coordinator_lease.h"
#include "proxy_support.h"

#include <rapidcheck.h>

#include <deque>
#include <memory>
#include <random>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

// The row in a store whose answers and calls may be lost or late.
struct lease_row
{
  std::optional<coordinator_row> row;
  store_version version = revision_of(0);

  bool write(const coordinator_row& next, const store_version& expected)
  {
    if (expected != version) {
      return false;
    }
    row = next;
    version = revision_of(version.revision() + 1);
    return true;
  }
};

struct late_call
{
  instant due;
  coordinator_row row;
  store_version expected;
};

struct lease_holder
{
  lease_holder(const std::string& name, std::uint64_t incarnation, lease_row& shared)
    : store(shared)
    , lease(instance_id(name),
            incarnation_id(incarnation),
            name,
            ms(static_cast<std::int64_t>(incarnation) * 30),
            { [this](const coordinator_row& row, const store_version& expected) {
               on_write(row, expected);
             },
              [](bool, const std::string&) {} })
  {
  }

  void on_write(const coordinator_row& row, const store_version& expected)
  {
    pending = late_call{ instant{}, row, expected };
  }

  lease_row& store;
  std::optional<late_call> pending;
  coordinator_lease lease;
};

}

// Guards against two holders at one time, and so against two coordinators that promote. Covers lost
// answers, calls that take effect seconds later, suspended instances, and leases that are given up.
TEST_CASE("at most one instance holds the lease, whatever calls and answers are lost")
{
  CHECK(rc::check("one holder", [](std::uint32_t seed) {
    std::mt19937 random(seed);
    lease_row store;
    std::vector<std::unique_ptr<lease_holder>> holders;
    for (std::uint64_t i = 1; i <= 3; ++i) {
      holders.push_back(std::make_unique<lease_holder>("i" + std::to_string(i), i, store));
    }
    std::deque<late_call> late;
    std::vector<instant> stalled(holders.size(), at(0));
    std::uint64_t last_token = 0;
    instance_id last_holder;
    for (std::int64_t time = 0; time < 20'000; time += 20) {
      const auto now = at(time);
      while (!late.empty() && late.front().due <= now) {
        store.write(late.front().row, late.front().expected);
        late.pop_front();
      }
      for (std::size_t i = 0; i < holders.size(); ++i) {
        auto& holder = *holders[i];
        if (random() % 400 == 0) {
          stalled[i] = now + ms(static_cast<std::int64_t>(random() % 4000));
        }
        if (now < stalled[i]) {
          continue;
        }
        if (holder.pending) {
          const auto call = std::exchange(holder.pending, std::nullopt);
          const auto fate = random() % 10;
          using write_outcome = coordinator_lease::write_outcome;
          if (fate < 6) {
            const bool written = store.write(call->row, call->expected);
            holder.lease.write_done(
              written ? write_outcome::written : write_outcome::conflict, store.version, now);
          } else if (fate == 6) {
            store.write(call->row, call->expected);
            holder.lease.write_done(write_outcome::unknown, {}, now);
          } else if (fate == 7) {
            late.push_back({ now + ms(3000), call->row, call->expected });
            holder.lease.write_done(write_outcome::unknown, {}, now);
          } else {
            holder.lease.write_done(write_outcome::refused, {}, now);
          }
        }
        if (random() % 4 == 0) {
          holder.lease.observe(store.row, store.version, now, now);
        }
        holder.lease.tick(now);
      }
      // A holder whose lease expired announces it; some of the others receive the announcement.
      for (std::size_t i = 0; i < holders.size(); ++i) {
        auto& lease = holders[i]->lease;
        if (now < stalled[i] || !lease.holds_row() || lease.holds(now)) {
          continue;
        }
        const auto token = lease.token();
        lease.resign();
        for (std::size_t other = 0; other < holders.size(); ++other) {
          if (other != i && random() % 2 == 0) {
            holders[other]->lease.mark_vacant(token);
          }
        }
      }
      std::size_t holding = 0;
      for (const auto& holder : holders) {
        if (holder->lease.holds(now)) {
          ++holding;
          const auto token = holder->lease.token().get();
          RC_ASSERT(token >= last_token);
          const auto name = store.row->holder;
          // A token belongs to one holder.
          RC_ASSERT(token > last_token || last_holder.get().empty() || name == last_holder ||
                    holding == 1);
          last_token = token;
          last_holder = name;
        }
      }
      RC_ASSERT(holding <= 1);
    }
  }));
}

// Guards against a slow takeover: the end of a lease counts from the last renewal that a view
// announced, not from the first read after the holder failed.
TEST_CASE("a takeover counts from the revision that a view announced")
{
  lease_row store;
  lease_holder other("a", 1, store);
  store.write(
    { instance_id("h"), incarnation_id(9), fencing_token(4), "h", short_lease_duration, 1 },
    revision_of(0));
  other.lease.observe_version(revision_of(1), at(1000));
  other.lease.observe(store.row, store.version, at(1700), at(1710));
  other.lease.tick(at(1710));
  CHECK_FALSE(other.pending);
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(short_lease_duration + takeover_margin)
      .count();
  const auto due = 1000 + wait + 40;
  other.lease.observe(store.row, store.version, at(due), at(due));
  other.lease.tick(at(due));
  REQUIRE(other.pending);
  CHECK(other.pending->row.token == fencing_token(5));
}

// The store is a hundred times slower. Guards against a lease that is lost and acquired again with
// each renewal, and against a claimant that does not respect the longer lease.
TEST_CASE("the lease is longer while the store is slow, and others wait for its end")
{
  lease_row store;
  lease_holder holder("a", 1, store);
  lease_holder other("b", 2, store);
  holder.lease.observe(std::nullopt, revision_of(0), at(0), at(0));
  holder.lease.observe(std::nullopt, revision_of(0), at(100), at(100));
  holder.lease.tick(at(100));
  std::int64_t time = 100;
  bool held_throughout = true;
  for (int i = 0; i < 10; ++i) {
    REQUIRE(holder.pending);
    const auto call = std::exchange(holder.pending, std::nullopt);
    time += 800;
    const bool written = store.write(call->row, call->expected);
    REQUIRE(written);
    holder.lease.write_done(coordinator_lease::write_outcome::written, store.version, at(time));
    held_throughout = held_throughout && (i < 2 || holder.lease.holds(at(time)));
    for (int n = 0; n < 40 && !holder.pending; ++n) {
      time += 20;
      held_throughout = held_throughout && (i < 2 || holder.lease.holds(at(time)));
      holder.lease.tick(at(time));
    }
  }
  CHECK(held_throughout);
  CHECK(store.row->validity == long_lease_duration);
  other.lease.observe(store.row, store.version, at(time), at(time));
  other.lease.observe(store.row, store.version, at(time + 2000), at(time + 2000));
  other.lease.tick(at(time + 2000));
  CHECK_FALSE(other.pending);
  other.lease.observe(store.row, store.version, at(time + 3400), at(time + 3400));
  other.lease.tick(at(time + 3400));
  CHECK(other.pending);
}

// Guards against a holder that continues because a renewal was in progress while it was suspended.
TEST_CASE("a renewal counts from when it was sent")
{
  lease_row store;
  lease_holder holder("a", 1, store);
  holder.lease.observe(std::nullopt, revision_of(0), at(0), at(0));
  holder.lease.observe(std::nullopt, revision_of(0), at(100), at(100));
  holder.lease.tick(at(100));
  REQUIRE(holder.pending);
  store.write(holder.pending->row, holder.pending->expected);
  holder.lease.write_done(coordinator_lease::write_outcome::written, revision_of(1), at(4000));
  CHECK_FALSE(holder.lease.holds(at(4000)));
}

// Guards against waiting for a lease that its holder has given up.
TEST_CASE("a vacant row is claimed at once")
{
  lease_row store;
  lease_holder other("a", 1, store);
  store.write(
    { instance_id("h"), incarnation_id(9), fencing_token(4), "h", short_lease_duration, 1 },
    revision_of(0));
  other.lease.observe(store.row, store.version, at(0), at(0));
  other.lease.mark_vacant(fencing_token(4));
  other.lease.observe(store.row, store.version, at(60), at(60));
  other.lease.tick(at(60));
  CHECK(other.pending);
}

namespace {

// A row that names another instance.
coordinator_row
row_of(const std::string& holder, std::uint64_t token)
{
  return { instance_id(holder),  incarnation_id(9),
           fencing_token(token), holder,
           short_lease_duration, 1 };
}

std::int64_t
in_ms(duration time)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}

// Guards against a fleet in which nobody ever takes the duty again: the store returned from a copy
// in which the row has a lower revision than every instance has seen (review/10).
TEST_CASE("a row that the store restored is claimed once the longest lease has ended")
{
  lease_row store;
  lease_holder other("a", 1, store);
  other.lease.observe(row_of("h", 5), { store_era(1), 90 }, at(1000), at(1000));
  const auto longest = in_ms(long_lease_duration + takeover_margin) + 30;
  std::optional<coordinator_row> restored;
  SUBCASE("it names another holder")
  {
    restored = row_of("h", 4);
  }
  SUBCASE("it names nobody")
  {
    restored = row_of("", 4);
  }
  SUBCASE("it names an earlier run of this instance")
  {
    restored = row_of("a", 4);
  }
  SUBCASE("it does not exist") {}
  SUBCASE("its holder gave it up before the drill")
  {
    restored = row_of("h", 4);
    other.lease.mark_vacant(fencing_token(4));
  }
  const store_version version(store_era(2), restored ? 40 : 0);
  for (std::int64_t time = 2000; time < 2000 + longest; time += 50) {
    other.lease.observe(restored, version, at(time), at(time));
    other.lease.tick(at(time));
    REQUIRE_FALSE(other.pending);
  }
  other.lease.observe(restored, version, at(2000 + longest), at(2000 + longest));
  other.lease.tick(at(2000 + longest));
  CHECK(other.pending);
}

// Guards against a fleet without a coordinator after each drill, and against a holder that goes on
// under a row which the store has lost.
TEST_CASE("a holder claims the restored row at once while its lease lasts")
{
  lease_row store;
  lease_holder holder("a", 1, store);
  holder.lease.observe(std::nullopt, { store_era(0), 0 }, at(0), at(0));
  holder.lease.observe(std::nullopt, { store_era(0), 0 }, at(100), at(100));
  holder.lease.tick(at(100));
  REQUIRE(holder.pending);
  holder.pending.reset();
  holder.lease.write_done(coordinator_lease::write_outcome::written, { store_era(0), 50 }, at(110));
  REQUIRE(holder.lease.holds(at(200)));
  const auto restored = row_of("h", 4);
  SUBCASE("while it lasts")
  {
    holder.lease.observe(restored, { store_era(1), 30 }, at(200), at(200));
    CHECK_FALSE(holder.lease.holds(at(200)));
    holder.lease.tick(at(200));
    CHECK(holder.pending);
  }
  SUBCASE("not after it has ended")
  {
    holder.lease.resign();
    holder.lease.observe(restored, { store_era(1), 30 }, at(200), at(200));
    holder.lease.tick(at(200));
    CHECK_FALSE(holder.pending);
  }
}
