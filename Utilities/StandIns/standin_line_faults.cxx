#include "StandIns/standin_line_faults.h"

namespace persimmonshelf {

namespace {

using operation = standin_line_statement::operation;

constexpr std::size_t shares = 1000;

bool
may_answer(const standin_line_statement& statement, std::string_view code)
{
  const bool session =
    statement.kind == operation::session || statement.kind == operation::rollback;
  return code != "NOSTMT" || session || statement.text.starts_with("EXECUTE ");
}

}

standin_line_faults::standin_line_faults(const options& rates)
  : options_(rates)
  , random_(rates.seed)
{
}

std::size_t
standin_line_faults::below(std::size_t limit)
{
  return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
}

bool
standin_line_faults::chance(unsigned per_thousand)
{
  return per_thousand > 0 && below(shares) < per_thousand;
}

standin_line_faults::fault
standin_line_faults::next(const standin_line_statement& statement)
{
  fault drawn;
  const bool session =
    statement.kind == operation::session || statement.kind == operation::rollback;
  const auto& rates = session ? options_.session : options_.statements;
  // A member answers STATUS with nothing but a row or BUSY.
  const std::size_t count = statement.kind == operation::status ? 1 : codes.size();
  for (std::size_t i = 0; i < count && drawn.code.empty(); ++i) {
    if (may_answer(statement, codes.at(i)) && chance(rates.at(i))) {
      drawn.code = codes.at(i);
      // A statement may have taken effect when its time is over.
      drawn.runs = drawn.code == "TIMEOUT" && below(2) == 0;
    }
  }
  if (chance(options_.lost)) {
    drawn.end = ending::lost;
  } else if (chance(options_.cut)) {
    drawn.end = ending::cut;
  } else if (chance(options_.closed)) {
    drawn.end = ending::closed;
  }
  if (chance(options_.delayed)) {
    const auto longest = static_cast<std::size_t>(options_.longest_delay.count());
    drawn.delay = std::chrono::milliseconds(below(longest + 1));
  }
  return drawn;
}

}
