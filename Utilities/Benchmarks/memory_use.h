#pragma once

#include <malloc.h>

#include <cstddef>
#include <cstdint>

namespace persimmonshelf {

// Allocated heap memory in bytes, as counted by the allocator.
inline std::int64_t
heap_bytes()
{
  const auto info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

}
