#pragma once

#include <cstddef>
#include <cstdint>

namespace persimmonshelf {

// Division of the machine's memory and descriptors among the users of one process.
struct resource_plan
{
  // Bytes that all connections and sessions may hold together.
  std::size_t memory_bytes = 0;
  // Bytes that requests and responses at the listener for peers may hold, and those at the listener
  // for readiness and at the one for metrics.
  std::size_t peer_bytes = 0;
  std::size_t probe_bytes = 0;
  // Kernel buffer for what a caller sends and the process has not read, in bytes.
  std::size_t receive_buffer_bytes = 0;
  // Numbers of accepted connections.
  std::size_t callers = 0;
  std::size_t relays = 0;
  std::size_t peers = 0;
  std::size_t readiness = 0;
  std::size_t metrics = 0;
};

// `memory_bytes` and `descriptors` are the limits of the whole process.
resource_plan
plan_resources(std::uint64_t memory_bytes, std::uint32_t descriptors);

}
