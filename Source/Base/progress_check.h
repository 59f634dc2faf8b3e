#pragma once

#include "Base/instant.h"

#include <cstddef>
#include <optional>

namespace persimmonshelf {

// Detects a peer that transfers fewer bytes than any usable link would. Counts bytes in windows of
// fixed length, so neither a slow link nor a single lost packet is taken for a stopped peer.
class progress_check
{
public:
  void add(std::size_t bytes) { bytes_ += bytes; }

  // Ends the present window. Called when nothing is awaited from the peer.
  void reset()
  {
    bytes_ = 0;
    since_.reset();
  }

  // True if the window that ended by now had too few bytes. Begins a window if there is none.
  bool is_too_slow(instant now)
  {
    if (!since_) {
      since_ = now;
      bytes_ = 0;
      return false;
    }
    if (now - *since_ < window) {
      return false;
    }
    const bool too_slow = bytes_ < min_window_bytes;
    since_ = now;
    bytes_ = 0;
    return too_slow;
  }

  // The window is longer than any retransmission takes, and 100 bytes/s are below the slowest link
  // that callers use.
  static constexpr duration window = std::chrono::seconds(10);
  static constexpr std::size_t min_window_bytes = 1024;

private:
  std::size_t bytes_ = 0;
  std::optional<instant> since_;
};

}
