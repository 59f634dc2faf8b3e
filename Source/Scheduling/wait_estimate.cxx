#include "Scheduling/wait_estimate.h"

#include "Base/stable_hash.h"
#include "Scheduling/waiting_queue.h"

#include <algorithm>
#include <map>

namespace persimmonshelf {

namespace {

// Weights of a new sample. The fast average follows an improvement within about five statements.
// The slow one rises by an eighth of the difference if all of six connections stall once.
constexpr double fast_weight = 0.2;
constexpr double slow_weight = 0.02;
// Fewer samples say little: the first ones include the set-up of sessions.
constexpr std::size_t required_samples = 8;
// Older measurements tell nothing about a queue that exists for less than a second.
constexpr duration longest_sample_age = std::chrono::seconds(5);
// A request is refused early only if its estimated wait exceeds its remaining time by this factor,
// because a request that is refused in error costs more than one that waits in vain.
constexpr double refusal_factor = 2.0;
constexpr double spread_fraction = 0.5;

double
to_microseconds(duration value)
{
  return static_cast<double>(value.count());
}

// True if a request clearly expires before its turn.
bool
expires_before(duration wait, duration remaining)
{
  return to_microseconds(wait) > refusal_factor * to_microseconds(remaining);
}

duration
from_microseconds(double value)
{
  return duration(static_cast<duration::rep>(value));
}

}

void
hold_time_average::record(duration held, instant now)
{
  if (now - recorded_at_ > longest_sample_age) {
    samples_ = 0;
  }
  ++samples_;
  recorded_at_ = now;
  // The first samples count equally.
  const double equal_weight = 1.0 / static_cast<double>(samples_);
  const double held_us = to_microseconds(held);
  fast_us_ += std::max(fast_weight, equal_weight) * (held_us - fast_us_);
  slow_us_ += std::max(slow_weight, equal_weight) * (held_us - slow_us_);
}

std::optional<duration>
hold_time_average::value(instant now) const
{
  if (samples_ < required_samples || now - recorded_at_ > longest_sample_age) {
    return std::nullopt;
  }
  return from_microseconds(std::min(fast_us_, slow_us_));
}

std::optional<group_capacity>
group_capacity::create(const std::vector<member_capacity>& members, duration statement_time)
{
  std::optional<duration> shortest;
  for (const auto& member : members) {
    if (member.hold_time) {
      shortest = std::min(shortest.value_or(*member.hold_time), *member.hold_time);
    }
  }
  if (!shortest) {
    return std::nullopt;
  }
  group_capacity created;
  created.statement_time_ = std::max(statement_time, duration(1));
  for (const auto& member : members) {
    const auto held = std::max(member.hold_time.value_or(*shortest), created.statement_time_);
    const double rate = static_cast<double>(member.connections) / to_microseconds(held);
    if (member.is_usable_primary) {
      created.primary_rate_ += rate;
    }
    if (member.serves_reads) {
      created.read_rate_ += rate;
    }
  }
  return created;
}

std::optional<duration>
group_capacity::wait_behind(std::size_t ahead, bool needs_primary) const
{
  const double rate = needs_primary ? primary_rate_ : read_rate_;
  if (rate <= 0) {
    return std::nullopt;
  }
  return std::max(from_microseconds(static_cast<double>(ahead) / rate), statement_time_);
}

std::vector<unservable_request>
find_unservable(const std::vector<const queued_request*>& ordered,
                const group_capacity& capacity,
                instant now)
{
  std::map<request_class, std::map<bool, std::size_t>> ahead_in_class;
  std::map<bool, std::size_t> ahead;
  for (const auto* request : ordered) {
    ahead_in_class[request->priority];
  }
  const auto class_count = ahead_in_class.size();
  std::vector<unservable_request> found;
  for (const auto* waiting : ordered) {
    const auto& request = *waiting;
    const bool primary = request.requirement.needs_primary;
    auto& in_front = ahead[primary];
    auto& in_front_of_class = ahead_in_class[request.priority][primary];
    // A lower class gets its share of the grants, however many requests are ahead of it.
    const auto with_share =
      (in_front_of_class + 1) * lower_class_interval * std::max<std::size_t>(class_count - 1, 1);
    const auto counted = class_count > 1 ? std::min(in_front, with_share) : in_front;
    const auto wait = capacity.wait_behind(counted, primary);
    const auto remaining = std::chrono::duration_cast<duration>(request.expiry - now);
    // The first request may get the next connection that becomes free, which may be at once.
    if (wait && counted > 0 && expires_before(*wait, remaining)) {
      const auto excess = std::max(*wait - remaining, capacity.statement_time());
      found.push_back({ request.number, *wait, spread_retry(excess, request.number) });
      continue;
    }
    ++in_front;
    ++in_front_of_class;
  }
  return found;
}

bool
all_servable(std::size_t waiting,
             instant earliest_expiry,
             const group_capacity& capacity,
             instant now)
{
  const auto remaining = std::chrono::duration_cast<duration>(earliest_expiry - now);
  const auto served = [&](bool needs_primary) {
    const auto wait = capacity.wait_behind(waiting, needs_primary);
    return !wait || !expires_before(*wait, remaining);
  };
  return served(true) && served(false);
}

duration
spread_retry(duration retry_after, request_number number)
{
  constexpr std::uint64_t steps = 1024;
  const double fraction =
    static_cast<double>(mix_hash(number.get()) % steps) / static_cast<double>(steps);
  return retry_after + from_microseconds(spread_fraction * fraction * to_microseconds(retry_after));
}

}
