#include "Resources/resource_plan.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// A process without callers uses 11 MB at start and up to 30 MB in fleets of 300 instances.
constexpr std::uint64_t process_bytes = 30U << 20U;
// The allocator and copies that live during one handler only use about as much as is accounted.
constexpr std::uint64_t overhead_factor = 2;
// The platform reserves this many descriptors for files.
constexpr std::uint32_t file_descriptors = 200;
// Shares in percent. A fleet has up to 300 instances, each with one connection to the relay port
// and a few to the peers port; on the smallest machine 15 % are 421.
constexpr std::uint32_t relay_percent = 15;
constexpr std::uint32_t peer_percent = 15;
// Connections that the instance opens: to members, carriers, peers, and the store.
constexpr std::uint32_t outgoing_percent = 15;
constexpr std::uint32_t readiness_percent = 2;
constexpr std::uint32_t metrics_percent = 1;
// One probe a second and one reader of the metrics need a few connections.
constexpr std::uint32_t min_probe_connections = 8;
// With less, a message of 1 MiB waits for the kernel's timers between its pieces.
constexpr std::uint64_t min_receive_buffer_bytes = 8U << 10U;
// With more, a link of 10 Mbit/s and 50 ms is not used better.
constexpr std::uint64_t max_receive_buffer_bytes = 64U << 10U;
// A new configuration is sent to all instances at once, and a probe or the metrics need little.
constexpr std::size_t peer_divisor = 4;
constexpr std::size_t probe_divisor = 32;
// The receive buffers of all callers together may hold this part of the budget.
constexpr std::uint64_t receive_buffer_divisor = 4;

}

resource_plan
plan_resources(std::uint64_t memory_bytes, std::uint32_t descriptors)
{
  resource_plan plan;
  const auto process = std::min(process_bytes, memory_bytes / 2);
  const auto budget = static_cast<std::size_t>((memory_bytes - process) / overhead_factor);
  plan.peer_bytes = budget / peer_divisor;
  plan.probe_bytes = budget / probe_divisor;
  plan.memory_bytes = budget - plan.peer_bytes - 2 * plan.probe_bytes;
  const auto usable = descriptors - std::min(file_descriptors, descriptors / 4);
  const auto share = [usable](std::uint32_t percent) { return usable * percent / 100; };
  plan.relays = share(relay_percent);
  plan.peers = share(peer_percent);
  plan.readiness = std::max(share(readiness_percent), min_probe_connections);
  plan.metrics = std::max(share(metrics_percent), min_probe_connections);
  plan.callers =
    usable - plan.relays - plan.peers - plan.readiness - plan.metrics - share(outgoing_percent);
  plan.receive_buffer_bytes = static_cast<std::size_t>(
    std::clamp(plan.memory_bytes / receive_buffer_divisor / std::max<std::size_t>(1, plan.callers),
               min_receive_buffer_bytes,
               max_receive_buffer_bytes));
  return plan;
}

}
