#pragma once

#include <malloc.h>

#include <cstddef>
#include <cstdint>

namespace persimmonshelf {

// Bytes that the heap has handed out, by the allocator's own count.
inline std::int64_t
heap_bytes()
{
  const auto info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

}
