#include "sim_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace persimmonshelf::testing {

std::map<std::string, std::size_t>
sim_fleet::end_codes() const
{
  std::map<std::string, std::size_t> codes;
  for (const auto& record : records) {
    ++codes[record->answer ? std::string(name_of(record->answer->code)) : "answer lost"];
  }
  return codes;
}

void
sim_fleet::verify()
{
  auto* primary = group.primary();
  REQUIRE(primary != nullptr);
  std::map<std::string, std::uint64_t> logged;
  // Statements whose effect is in the log. Texts identify them, because sessions never issue the
  // same write twice.
  std::set<std::string> texts;
  const auto& entries = primary->server->log();
  for (std::uint64_t at = 1; at <= entries.last().position.get(); ++at) {
    const auto& entry = entries.at(log_position(at));
    ++logged[entry.request_id.substr(0, entry.request_id.rfind('#'))];
    for (const auto& change : entry.changes) {
      texts.insert(change.operation + " " + change.key + " " + change.value);
    }
  }
  for (const auto& record : records) {
    CAPTURE(record->text);
    CAPTURE(record->instance);
    CAPTURE(record->started.time_since_epoch().count());
    CHECK(record->answers <= 1);
    if (!record->answer) {
      const auto& pauses = at(record->instance).pauses;
      const bool paused = std::any_of(pauses.begin(), pauses.end(), [&](const auto& pause) {
        return pause.first <= record->deadline + caller_give_up_delay &&
               pause.second >= record->started;
      });
      CHECK_MESSAGE((record->closed || paused), "no answer before the deadline");
      continue;
    }
    const auto& answer = *record->answer;
    CAPTURE(answer.request.get());
    CAPTURE(name_of(answer.code));
    CAPTURE(answer.message);
    const auto runs = group.runs(answer.request.get());
    const bool inside = !record->request.transaction.get().empty();
    const bool rolled_back = inside && (answer.code == result_code::transaction_lost ||
                                        answer.code == result_code::transaction_broken);
    if (answer.outcome == run_outcome::not_run) {
      CHECK_MESSAGE(runs == 0, "reported as not run, but ran");
    }
    if (rolled_back && record->request.write) {
      CHECK_MESSAGE(!texts.contains(record->text),
                    "reported as rolled back, but its effect is in the log");
    }
    const bool repeatable =
      record->request.idempotent ||
      (!record->request.write && record->request.operation == caller_operation::statement);
    if (!repeatable) {
      CHECK_MESSAGE(runs <= 1, "ran " << runs << " times");
    }
    const bool ok = answer.outcome == run_outcome::done && answer.code == result_code::ok;
    if (ok && record->request.write && !inside) {
      CHECK_MESSAGE(logged[answer.request.get()] >= 1, "an acknowledged write is missing");
    }
  }
}

}
