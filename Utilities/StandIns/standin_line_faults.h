#pragma once

#include "StandIns/standin_line_session.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>

namespace persimmonshelf {

// Draws the faults of the members of a stand-in from a seed. The order in which messages arrive
// differs between runs, so a seed repeats the draws but not a whole run.
class standin_line_faults
{
public:
  static constexpr std::array<std::string_view, 4> codes{ "BUSY", "FAILED", "TIMEOUT", "NOSTMT" };
  // Shares of the messages that are answered with each of the codes, of 1,000.
  using refusals = std::array<unsigned, codes.size()>;
  // Each share is of 1,000 messages. Nothing goes wrong by default.
  struct options
  {
    std::uint64_t seed = 1;
    // RESET, SET, PREPARE, DEALLOC, BEGIN and ROLLBACK.
    refusals session{};
    // READ, WRITE, EXECUTE and COMMIT. Only EXECUTE is answered with NOSTMT.
    refusals statements{};
    // Messages that run, after which the connection closes without an answer.
    unsigned lost = 0;
    // Messages that run, after which the connection closes within the answer.
    unsigned cut = 0;
    // Messages whose answer is complete, after which the connection closes.
    unsigned closed = 0;
    unsigned delayed = 0;
    // Longest delay of an answer.
    std::chrono::milliseconds longest_delay{ 0 };
  };
  enum class ending : std::uint8_t
  {
    // The answer arrives and the connection stays open.
    none,
    lost,
    cut,
    closed,
  };
  // What goes wrong with one message.
  struct fault
  {
    // Code of the refusal; empty for none.
    std::string_view code;
    // True if the statement runs and is answered with the code all the same.
    bool runs = true;
    ending end = ending::none;
    std::chrono::milliseconds delay{ 0 };
  };

  explicit standin_line_faults(const options& rates);

  fault next(const standin_line_statement& statement);
  // A number below the limit, which must be above 0.
  std::size_t below(std::size_t limit);

private:
  bool chance(unsigned per_thousand);

  options options_;
  std::mt19937_64 random_;
};

}
