// Simulates the membership of a whole fleet in one process. Reports the age of the entries in the
// views and the number of bytes that each instance sends. Each message takes 2 ms.

#include "Adapters/peer_frame.h"
#include "Benchmarks/synthetic_fleet.h"
#include "Engine/wire_convert.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace {

using namespace persimmonshelf;

constexpr duration message_delay = std::chrono::milliseconds(2);
constexpr duration step = std::chrono::milliseconds(50);
constexpr std::size_t steps_per_second = 20;

struct message
{
  instant arrives;
  std::size_t from = 0;
  std::size_t to = 0;
  heartbeat beat;

  friend bool operator<(const message& left, const message& right)
  {
    return left.arrives > right.arrives;
  }
};

class simulated_fleet
{
public:
  explicit simulated_fleet(std::size_t size)
    : size_(size)
  {
    const synthetic_fleet names{ size };
    for (std::size_t i = 0; i < size; ++i) {
      indices_[synthetic_fleet::name(i)] = i;
      views_.push_back(std::make_unique<membership>(
        synthetic_fleet::identity(i), [this](auto bound) { return random_() % bound; }));
      views_.back()->apply_platform_list(names.list(), now_);
    }
  }

  void run(duration length)
  {
    const auto end = now_ + length;
    while (now_ < end) {
      now_ += step;
      deliver();
      // Instances send their heartbeats at different times of the second.
      const auto phase =
        static_cast<std::size_t>(now_.time_since_epoch() / step % steps_per_second);
      for (std::size_t i = 0; i < size_; ++i) {
        if (i % steps_per_second == phase && views_[i]->heartbeat_due(now_)) {
          send_heartbeats(i);
        }
      }
    }
  }

  // Prints the ages of all entries of the instance's own zone, and the number of live instances
  // that are wrongly considered silent.
  void report()
  {
    std::vector<std::int64_t> ages;
    std::uint64_t wrongly_silent = 0;
    std::uint64_t wrongly_silent_own_zone = 0;
    std::uint64_t pairs = 0;
    for (std::size_t i = 0; i < size_; ++i) {
      for (const auto& [name, record] : views_[i]->records()) {
        if (name == views_[i]->self().instance) {
          continue;
        }
        ++pairs;
        const bool silent = !views_[i]->is_live(name, now_);
        const bool own_zone = record.entry.zone == views_[i]->self().zone;
        wrongly_silent += silent ? 1 : 0;
        wrongly_silent_own_zone += silent && own_zone ? 1 : 0;
        if (own_zone && record.updated_at) {
          ages.push_back((now_ - *record.updated_at).count() / 1000);
        }
      }
    }
    std::sort(ages.begin(), ages.end());
    const auto quantile = [&](double fraction) {
      return ages[static_cast<std::size_t>(fraction * static_cast<double>(ages.size() - 1))];
    };
    std::cout << "  own zone entries: age p50 " << quantile(0.5) << " ms, p99 " << quantile(0.99)
              << " ms, oldest " << ages.back() << " ms; " << wrongly_silent << " of " << pairs
              << " live instances wrongly considered silent, " << wrongly_silent_own_zone
              << " of them in the own zone" << std::endl;
  }

  std::uint64_t sent_bytes = 0;
  std::uint64_t sent = 0;

private:
  void send(std::size_t from, std::size_t to)
  {
    auto beat = views_[from]->make_heartbeat(synthetic_fleet::name(to), now_);
    wire::envelope envelope;
    envelope.set_sender(synthetic_fleet::name(from).get());
    envelope.set_sender_incarnation(synthetic_fleet::identity(from).incarnation.get());
    envelope.set_clock_us(to_wire(now_));
    *envelope.mutable_beat() = to_wire(beat);
    sent_bytes += encode_frame(envelope).size();
    ++sent;
    in_flight_.push({ now_ + message_delay, from, to, from_wire(envelope.beat()) });
  }

  void send_heartbeats(std::size_t number)
  {
    membership::own_state state;
    state.config_version = config_version(23'000);
    state.key_version = config_version(1'200);
    state.table_read_at = now_ - std::chrono::milliseconds(700);
    views_[number]->set_own_state(state, now_);
    for (const auto& target : views_[number]->heartbeat_targets(now_)) {
      send(number, indices_.at(target.instance));
    }
  }

  void deliver()
  {
    while (!in_flight_.empty() && in_flight_.top().arrives <= now_) {
      const auto next = in_flight_.top();
      in_flight_.pop();
      const bool answer =
        views_[next.to]->receive(synthetic_fleet::name(next.from), next.beat, next.arrives);
      if (answer) {
        send(next.to, next.from);
      }
    }
  }

  std::size_t size_;
  instant now_{ std::chrono::seconds(5000) };
  std::mt19937_64 random_{ 1 };
  std::vector<std::unique_ptr<membership>> views_;
  std::map<instance_id, std::size_t> indices_;
  std::priority_queue<message> in_flight_;
};

void
measure(std::size_t size)
{
  simulated_fleet fleet(size);
  fleet.run(std::chrono::seconds(40));
  for (int i = 0; i < 3; ++i) {
    fleet.sent_bytes = 0;
    fleet.sent = 0;
    constexpr int seconds = 10;
    fleet.run(std::chrono::seconds(seconds));
    std::cout << "instances " << size << ": " << fleet.sent_bytes / size / seconds
              << " bytes/s and "
              << static_cast<double>(fleet.sent) / static_cast<double>(size * seconds)
              << " messages/s sent by each\n";
    fleet.report();
  }
}

}

int
main(int argc, char** argv)
{
  for (int i = 1; i < argc; ++i) {
    measure(std::strtoull(argv[i], nullptr, 10));
  }
  if (argc == 1) {
    measure(21);
    measure(66);
    measure(132);
  }
  return 0;
}
