#include <doctest/doctest.h>

#include "Proxy/coordinator_lease.h"
#include "lease_support.h"

#include <rapidcheck.h>

#include <deque>
#include <memory>
#include <random>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

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
